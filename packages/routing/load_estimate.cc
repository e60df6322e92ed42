#include "routing/load_estimate.h"

#include <algorithm>
#include <cmath>

namespace savoryglade {
namespace {

// 64 samples at this spacing reach back 12.8 s, more than twice the lag of 5 s that reports have.
constexpr Duration kSampleSpacing = 200ms;
// Work of other daemons lasts about as long as a generation, so a report loses most of its meaning
// within a few seconds.
constexpr double kReportLifetime = 4.0;
constexpr double kPaceWeight = 0.1;
constexpr double kPaceLifetime = 10;
// Smaller differences come from wrong predictions. Multiplied by the cost of a long generation,
// they outweighed the whole prompt work that a cached prefix saves.
constexpr double kPaceNoise = 1.25;
constexpr double kUtilisationPower = 4;
constexpr double kTypicalWeight = 0.05;
constexpr double kLowestPace = 0.2;
constexpr double kHighestPace = 20;

}  // namespace

void LoadEstimate::Remember(TimePoint now) {
  Sample& newest = history_.at((next_sample_ + kHistory - 1) % kHistory);
  if (now - newest.when < kSampleSpacing) {
    newest.running = running_;
    return;
  }
  history_.at(next_sample_) = {now, running_};
  next_sample_ = (next_sample_ + 1) % kHistory;
}

int LoadEstimate::RunningAt(TimePoint when) const {
  for (std::size_t back = 1; back <= kHistory; ++back) {
    const Sample& sample = history_.at((next_sample_ + kHistory - back) % kHistory);
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
  typical_cost_ += kTypicalWeight * (cost - typical_cost_);
  typical_prompt_ += kTypicalWeight * (prompt_cost - typical_prompt_);
  Remember(now);
}

void LoadEstimate::FinishPrompt(double prompt_cost) {
  prompt_cost_ = std::max(0.0, prompt_cost_ - prompt_cost);
}

void LoadEstimate::Finish(double cost, double prompt_cost, TimePoint now) {
  running_ = std::max(0, running_ - 1);
  cost_ = running_ == 0 ? 0 : std::max(0.0, cost_ - cost);
  prompt_cost_ = running_ == 0 ? 0 : std::max(0.0, prompt_cost_ - prompt_cost);
  Remember(now);
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
  pace_ = AgedPace(now);
  pace_ += kPaceWeight * (std::clamp(ratio, kLowestPace, kHighestPace) - pace_);
  pace_at_ = now;
}

double LoadEstimate::AgedPace(TimePoint now) const {
  return 1 + (pace_ - 1) * std::exp(-ToSeconds(now - pace_at_) / kPaceLifetime);
}

double LoadEstimate::PaceAt(TimePoint now) const {
  const double pace = AgedPace(now);
  return pace > kPaceNoise || pace < 1 / kPaceNoise ? pace : 1;
}

double LoadEstimate::OthersRunning(TimePoint now) const {
  if (others_running_ <= 0) {
    return 0;
  }
  return others_running_ * std::exp(-ToSeconds(now - measured_at_) / kReportLifetime);
}

double LoadEstimate::PredictedWait(double prompt_cost, int slots, TimePoint now) const {
  const double others = OthersRunning(now);
  const double fade = others_running_ > 0 ? others / others_running_ : 0;
  const double capacity = std::max(1, slots);
  const double utilisation = std::min(1.5, (running_ + others + 1) / capacity);
  const double slot_work = (cost_ + others * typical_cost_) / capacity;
  // A slot is rarely waited for while most are free, so the slot term falls steeply with the
  // utilisation. Prompts are computed one after another, so their work adds up in full.
  return slot_work * std::pow(utilisation, kUtilisationPower) + prompt_cost_ +
         others_waiting_ * fade * typical_prompt_ + prompt_cost;
}

}  // namespace savoryglade
