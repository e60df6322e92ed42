#pragma once

#include <deque>
#include <map>

#include "core/strong_id.h"
#include "core/time.h"

namespace savoryglade {

// Limits for attempts beyond the first, summed over all daemons, in any window of this length.
struct WindowRetryBudgetOptions {
  Duration window = 10s;
  // Retries per request.
  double ratio = 0.2;
  // Additional retries for the whole fleet.
  double allowance = 0;
  // Fraction of the limit that is used. The rest covers requests and retries that fall into
  // different windows.
  double usable_fraction = 0.8;
};

// Sliding-window retry budget of this daemon, per service: `ratio` of its own requests plus an
// equal share of the fleet's allowance. Needs no messages between daemons. The requests of the last
// half and of the last quarter of the window must pay for the retries in them as well, where they
// are enough for any: callers may go to another daemon, or to the next process of this one, where
// their requests pay for as many retries again. In the first window after its start a daemon uses
// only the part of the allowance that is otherwise held back, because the process before it may
// have used its share. Not thread-safe.
class WindowRetryBudget {
 public:
  // Time for which the number of daemons must stay lower before the allowance is divided among
  // fewer. Until then the missing daemons may be on the other side of a partition.
  static constexpr Duration kShrinkDelay = 600s;

  WindowRetryBudget(WindowRetryBudgetOptions options, TimePoint started_at)
      : options_(options), started_at_(started_at) {}

  void SetOptions(WindowRetryBudgetOptions options) { options_ = options; }
  // Sets the number of daemons that are known to share the allowance.
  void SetDaemonCount(int daemons, TimePoint now);

  void OnRequest(const ServiceId& service, TimePoint now);
  // Consumes retries of the budget. Returns false and consumes none if fewer are left.
  bool TryConsume(const ServiceId& service, TimePoint now, int retries = 1);
  // Returns retries that were consumed at the given instant and are not made. The oldest ones are
  // taken out of the window, because those that were consumed later may have been made. Has no
  // effect once the retries have left the window by themselves.
  void Refund(const ServiceId& service, int retries, TimePoint consumed_at, TimePoint now);

 private:
  struct History {
    std::deque<TimePoint> requests;
    std::deque<TimePoint> retries;
  };

  void Expire(std::deque<TimePoint>& instants, TimePoint now) const;

  WindowRetryBudgetOptions options_;
  TimePoint started_at_;
  int daemons_ = 1;
  // Latest instant at which at least this number of daemons was known.
  TimePoint count_confirmed_at_{};
  std::map<ServiceId, History> services_;
};

}  // namespace savoryglade
