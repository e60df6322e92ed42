#pragma once

#include <array>
#include <cstddef>

#include "core/time.h"
#include "routing/route_types.h"

namespace savoryglade {

// Estimates the load of one upstream. This daemon's own load is exact and current. Load reports are
// used only for the load of other daemons: the own load at the time of the report is subtracted,
// and the remainder decays with the age of the report.
class LoadEstimate {
 public:
  // Adds an own attempt with its predicted cost and uncached prompt cost, in seconds of one slot.
  void Start(double cost, double prompt_cost, TimePoint now);

  // Subtracts the prompt cost of an attempt that received its first token.
  void FinishPrompt(double prompt_cost);

  // Removes an own attempt; the prompt cost is zero if FinishPrompt was called.
  void Finish(double cost, double prompt_cost, TimePoint now);

  // Records a load report.
  void OnReport(const LoadReport& report, TimePoint now);

  // Records the latency of an attempt as a multiple of the group's normal latency.
  void OnLatency(double ratio, TimePoint now);

  // Returns the number of own running attempts.
  int running() const { return running_; }

  // Returns the mean predicted cost of the own attempts, or zero without any.
  double mean_cost() const { return running_ > 0 ? cost_ / running_ : 0; }

  // Returns the estimated number of requests of other daemons, decayed by the age of the report.
  double OthersRunning(TimePoint now) const;

  // Returns the own prompt work that is dispatched and not yet answered, in seconds.
  double pending_prompts() const { return prompt_cost_; }

  // Returns the predicted time in seconds until a request with this uncached prompt cost receives
  // its first token, given the number of slots.
  double PredictedWait(double prompt_cost, int slots, TimePoint now) const;

  // Returns the latency as a multiple of the group's normal latency; 1 for small differences. It
  // decays to 1 without new samples, so that an upstream that was slow is used again.
  double LatencyRatioAt(TimePoint now) const;

 private:
  static constexpr std::size_t kHistorySize = 64;

  struct Sample {
    TimePoint when;
    int running = 0;
  };

  double DecayedLatencyRatio(TimePoint now) const;
  int RunningAt(TimePoint when) const;
  void RecordRunning(TimePoint now);

  int running_ = 0;
  double cost_ = 0;
  double prompt_cost_ = 0;
  double latency_ratio_ = 1;
  TimePoint latency_ratio_at_{};
  double typical_cost_ = 0;
  double typical_prompt_ = 0;
  double others_running_ = 0;
  double others_waiting_ = 0;
  TimePoint measured_at_{};
  std::array<Sample, kHistorySize> history_{};
  std::size_t next_sample_ = 0;
};

}  // namespace savoryglade
