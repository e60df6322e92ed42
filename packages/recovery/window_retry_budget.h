#pragma once

#include <deque>
#include <map>

#include "core/strong_id.h"
#include "core/time.h"

namespace savoryglade {

// Bound on the attempts beyond the first, over all daemons, in any window of this length.
struct WindowRetryBudgetOptions {
  Duration window = 10s;
  // Repeats for each request.
  double ratio = 0.2;
  // Repeats besides, for the whole fleet.
  double allowance = 0;
  // Part of the bound that is used, for requests and repeats that fall into different windows.
  double use = 0.8;
};

// Repeated attempts that this daemon may make at each service: the ratio of its own requests and an
// even part of the fleet's allowance, in any window. Needs no message. Not safe to use from several
// threads.
class WindowRetryBudget {
 public:
  explicit WindowRetryBudget(WindowRetryBudgetOptions options) : options_(options) {}

  void SetOptions(WindowRetryBudgetOptions options) { options_ = options; }
  // Sets the number of daemons that share the allowance.
  void SetDaemons(int daemons) { daemons_ = daemons > 0 ? daemons : 1; }

  void OnRequest(const ServiceId& service, TimePoint now);
  // Takes one repeat. Returns false, and takes nothing, if none is left.
  bool Take(const ServiceId& service, TimePoint now);

 private:
  struct History {
    std::deque<TimePoint> requests;
    std::deque<TimePoint> repeats;
  };

  void Expire(std::deque<TimePoint>& instants, TimePoint now) const;

  WindowRetryBudgetOptions options_;
  int daemons_ = 1;
  std::map<ServiceId, History> services_;
};

}  // namespace savoryglade
