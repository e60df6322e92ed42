#include "rollout/rollout_evidence.h"

#include <algorithm>
#include <cmath>

namespace savoryglade::rollout {
namespace {

// Weight of the fleet's fraction of bad responses against those of one route, in responses.
constexpr double kPriorWeight = 20;

std::uint32_t Increase(std::uint32_t before, std::uint32_t after) {
  return after > before ? after - before : 0;
}

ResponseCounts Increase(const ResponseCounts& before, const ResponseCounts& after) {
  return {.good = Increase(before.good, after.good),
          .failed = Increase(before.failed, after.failed),
          .slow = Increase(before.slow, after.slow)};
}

}  // namespace

double RolloutEvidence::BaseOf(const Test& test, double prior) const {
  const double base = (test.old_bad + prior * kPriorWeight) / (test.old_all + kPriorWeight);
  return std::clamp(base, options_.min_base, options_.max_base);
}

void RolloutEvidence::Decay(TimePoint now) {
  const double elapsed = updated_at_ == TimePoint{} ? 0 : ToSeconds(now - updated_at_);
  const double factor = std::exp2(-elapsed / ToSeconds(options_.half_life));
  updated_at_ = now;
  const auto decay = [factor](Test& test) {
    test.old_all *= factor;
    test.old_bad *= factor;
  };
  decay(all_);
  for (auto& [route, test] : routes_) {
    decay(test);
  }
}

void RolloutEvidence::Advance(Test& test, double prior, const ResponseCounts& old_delta,
                              const ResponseCounts& new_delta, double slow_weight) {
  test.old_all += old_delta.all();
  test.old_bad += old_delta.bad();
  const double base = BaseOf(test, prior);
  const double worse = base + options_.excess * (1 - base);
  test.score += (new_delta.failed + slow_weight * new_delta.slow) * std::log(worse / base) +
                new_delta.good * std::log((1 - worse) / (1 - base));
  test.bad += new_delta.bad();
  if (test.score <= 0) {
    test.score = 0;
    test.bad = 0;
  }
  is_bad_ = is_bad_ || (test.score >= options_.bad_score && test.bad >= options_.min_bad);
}

void RolloutEvidence::Update(const CountsByRoute& counts, TimePoint now, double slow_weight) {
  Decay(now);
  ResponseCounts old_sum;
  ResponseCounts new_sum;
  std::map<std::uint64_t, std::pair<ResponseCounts, ResponseCounts>> deltas;
  for (const auto& [route, count] : counts) {
    RouteCounts& seen = seen_[route];
    const ResponseCounts old_delta = Increase(seen.old_version, count.old_version);
    const ResponseCounts new_delta = Increase(seen.new_version, count.new_version);
    seen.RaiseTo(count);
    old_sum.Add(old_delta);
    new_sum.Add(new_delta);
    deltas[route] = {old_delta, new_delta};
  }
  new_responses_.Add(new_sum);
  Advance(all_, options_.min_base, old_sum, new_sum, slow_weight);
  const double prior = BaseOf(all_, options_.min_base);
  for (const auto& [route, delta] : deltas) {
    Advance(routes_[route], prior, delta.first, delta.second, slow_weight);
  }
}

double RolloutEvidence::score() const {
  double highest = all_.score;
  for (const auto& [route, test] : routes_) {
    highest = std::max(highest, test.score);
  }
  return highest;
}

double RolloutEvidence::ScoreOf(std::uint64_t route) const {
  const auto found = routes_.find(route);
  return found == routes_.end() ? 0 : found->second.score;
}

bool RolloutEvidence::LooksGood() const {
  return !is_bad_ && !IsDoubtful() && new_responses_.all() >= options_.min_responses;
}

}  // namespace savoryglade::rollout
