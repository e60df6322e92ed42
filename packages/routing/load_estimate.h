#pragma once

#include <array>
#include <cstddef>

#include "core/time.h"
#include "routing/route_types.h"

namespace savoryglade {

// Work of one upstream as seen by this daemon. Own work is exact and current. Reports are used only
// for the work of other daemons: the own share at the time of the report is subtracted, and the
// rest fades with its age.
class LoadEstimate {
 public:
  // Counts an own attempt with its predicted cost and uncached prompt cost, in seconds of one slot.
  void Start(double cost, double prompt_cost, TimePoint now);

  // Takes back the prompt cost of an attempt whose first token came.
  void FinishPrompt(double prompt_cost);

  // Takes back an own attempt; the prompt cost is zero if FinishPrompt was called.
  void Finish(double cost, double prompt_cost, TimePoint now);

  // Takes a load report.
  void OnReport(const LoadReport& report, TimePoint now);

  // Learns the observed latency of an attempt as a multiple of what is usual in the group.
  void OnLatency(double ratio, TimePoint now);

  // Returns the number of own attempts.
  int running() const { return running_; }

  // Returns the mean predicted cost of the own attempts, or zero without any.
  double mean_cost() const { return running_ > 0 ? cost_ / running_ : 0; }

  // Returns the estimated number of requests of other daemons, after ageing.
  double OthersRunning(TimePoint now) const;

  // Returns the own prompt work that was dispatched and not yet answered, in seconds.
  double pending_prompts() const { return prompt_cost_; }

  // Returns the predicted time in seconds until a request with this uncached prompt cost would get
  // its first token, given the number of slots.
  double PredictedWait(double prompt_cost, int slots, TimePoint now) const;

  // Returns the latency as a multiple of what is usual in the group; 1 for small differences. It
  // returns to 1 without recent observations, so that an upstream that was slow is tried again.
  double PaceAt(TimePoint now) const;

 private:
  static constexpr std::size_t kHistory = 64;

  struct Sample {
    TimePoint when;
    int running = 0;
  };

  double AgedPace(TimePoint now) const;
  int RunningAt(TimePoint when) const;
  void Remember(TimePoint now);

  int running_ = 0;
  double cost_ = 0;
  double prompt_cost_ = 0;
  double pace_ = 1;
  TimePoint pace_at_{};
  double typical_cost_ = 0;
  double typical_prompt_ = 0;
  double others_running_ = 0;
  double others_waiting_ = 0;
  TimePoint measured_at_{};
  std::array<Sample, kHistory> history_{};
  std::size_t next_sample_ = 0;
};

}  // namespace savoryglade
