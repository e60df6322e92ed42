#include "routing/load_estimate.h"

#include <algorithm>
#include <cmath>

namespace savoryglade {
namespace {

// 64 samples at this spacing cover 12.8 s, more than twice the report lag of 5 s.
constexpr Duration kSampleSpacing = 200ms;
// Requests of other daemons last about as long as a generation, so a report loses most of its value
// within a few seconds.
constexpr double kReportDecaySeconds = 4.0;
constexpr double kLatencyRatioWeight = 0.1;
constexpr double kLatencyRatioDecaySeconds = 10;
// Smaller differences are caused by wrong predictions. Multiplied by the cost of a long generation,
// they outweighed all prompt work that a cached prefix saves.
constexpr double kLatencyRatioNoise = 1.25;
constexpr double kUtilisationExponent = 4;
constexpr double kAverageCostWeight = 0.05;
constexpr double kMinLatencyRatio = 0.2;
constexpr double kMaxLatencyRatio = 20;

}  // namespace

void LoadEstimate::RecordRunning(TimePoint now) {
  Sample& newest = history_.at((next_sample_ + kHistorySize - 1) % kHistorySize);
  if (now - newest.when < kSampleSpacing) {
    newest.running = running_;
    return;
  }
  history_.at(next_sample_) = {now, running_};
  next_sample_ = (next_sample_ + 1) % kHistorySize;
}

int LoadEstimate::RunningAt(TimePoint when) const {
  for (std::size_t back = 1; back <= kHistorySize; ++back) {
    const Sample& sample = history_.at((next_sample_ + kHistorySize - back) % kHistorySize);
    if (sample.when <= when) {
      return sample.running;
    }
  }
  return running_;
}

void LoadEstimate::Start(double cost, double prompt_cost, TimePoint now) {
  ++running_;
  cost_ += cost;
  prompt_cost_ += prompt_cost;
  typical_cost_ += kAverageCostWeight * (cost - typical_cost_);
  typical_prompt_ += kAverageCostWeight * (prompt_cost - typical_prompt_);
  RecordRunning(now);
}

void LoadEstimate::FinishPrompt(double prompt_cost) {
  prompt_cost_ = std::max(0.0, prompt_cost_ - prompt_cost);
}

void LoadEstimate::Finish(double cost, double prompt_cost, TimePoint now) {
  running_ = std::max(0, running_ - 1);
  cost_ = running_ == 0 ? 0 : std::max(0.0, cost_ - cost);
  prompt_cost_ = running_ == 0 ? 0 : std::max(0.0, prompt_cost_ - prompt_cost);
  RecordRunning(now);
}

void LoadEstimate::OnReport(const LoadReport& report, TimePoint now) {
  measured_at_ = now - report.age;
  const int own = RunningAt(measured_at_);
  const int total = std::max(0, report.running) + std::max(0, report.waiting);
  others_running_ = std::max(0, total - own);
  const double share = total > 0 ? others_running_ / total : 0;
  others_waiting_ = std::max(0, report.waiting) * share;
}

void LoadEstimate::OnLatency(double ratio, TimePoint now) {
  latency_ratio_ = DecayedLatencyRatio(now);
  latency_ratio_ += kLatencyRatioWeight *
                    (std::clamp(ratio, kMinLatencyRatio, kMaxLatencyRatio) - latency_ratio_);
  latency_ratio_at_ = now;
}

double LoadEstimate::DecayedLatencyRatio(TimePoint now) const {
  return 1 + (latency_ratio_ - 1) *
                 std::exp(-ToSeconds(now - latency_ratio_at_) / kLatencyRatioDecaySeconds);
}

double LoadEstimate::LatencyRatioAt(TimePoint now) const {
  const double decayed_ratio = DecayedLatencyRatio(now);
  return decayed_ratio > kLatencyRatioNoise || decayed_ratio < 1 / kLatencyRatioNoise
             ? decayed_ratio
             : 1;
}

double LoadEstimate::OthersRunning(TimePoint now) const {
  if (others_running_ <= 0) {
    return 0;
  }
  return others_running_ * std::exp(-ToSeconds(now - measured_at_) / kReportDecaySeconds);
}

double LoadEstimate::PredictedWait(double prompt_cost, int slots, TimePoint now) const {
  const double others = OthersRunning(now);
  const double decay = others_running_ > 0 ? others / others_running_ : 0;
  const double capacity = std::max(1, slots);
  const double utilisation = std::min(1.5, (running_ + others + 1) / capacity);
  const double slot_work = (cost_ + others * typical_cost_) / capacity;
  // Requests rarely wait for a slot while most are free, so the slot term grows steeply with the
  // utilisation. Prompts are computed one after another, so their work adds up in full.
  return slot_work * std::pow(utilisation, kUtilisationExponent) + prompt_cost_ +
         others_waiting_ * decay * typical_prompt_ + prompt_cost;
}

}  // namespace savoryglade
