#pragma once

#include <cstdint>
#include <map>

#include "core/time.h"
#include "rollout/rollout_types.h"

namespace savoryglade::rollout {

struct EvidenceOptions {
  // Sum of the log-likelihood ratio from which the new version counts as bad. With 12, about four
  // bad responses in a row are needed; measured over 1,000 seeded courses each, see
  // docs/design/rollouts.md.
  double bad_score = 12;
  // Score from which a version without a verdict does not count as good.
  double doubtful_score = 4;
  // Fewest responses of the new version, and of its bad ones, for either verdict.
  std::uint32_t min_responses = 5;
  std::uint32_t min_bad = 4;
  // Fraction of bad responses by which a bad version exceeds the old one.
  double excess = 0.4;
  // Smallest and greatest assumed fraction of bad responses of the old version. The smallest one
  // also stands for routes whose old version has not been seen to fail yet.
  double min_base = 0.02;
  double max_base = 0.6;
  // Time in which the weight of the old version's responses halves.
  Duration half_life = 3s;
};

// Compares the responses of the new version with those of the old one on the same route and over
// the same time, by a cumulative-sum test on each route and on their sum: the log-likelihood ratio
// of "as the old version" and "worse by the excess" is summed and never falls below zero, so that
// good responses before a late fault do not hide it. Handles versions that are bad from the start,
// after some seconds, or on one route. Not thread-safe.
class RolloutEvidence {
 public:
  explicit RolloutEvidence(EvidenceOptions options) : options_(options) {}

  // Takes the fleet's counts since the order. Counts that have fallen, because their reporter has
  // changed, add nothing. The weight of the new version's slow responses, up to 1, allows for
  // upstreams that are more loaded than those of the old version; failures count in full.
  void Update(const CountsByRoute& counts, TimePoint now, double slow_weight = 1);

  bool IsBad() const { return is_bad_; }
  // Returns true if enough responses of the new version were no worse than those of the old one.
  bool LooksGood() const;
  // Returns true if the new version has been sent requests whose responses do not show that it is
  // as good as the old one.
  bool IsDoubtful() const { return score() >= options_.doubtful_score; }
  // Highest score of a route or of all of them.
  double score() const;
  double ScoreOf(std::uint64_t route) const;
  // Responses of the new version, as far as counted.
  const ResponseCounts& new_responses() const { return new_responses_; }

 private:
  struct Test {
    double score = 0;
    // Responses of the old version, with decayed weights.
    double old_all = 0;
    double old_bad = 0;
    // Bad responses of the new version since the score was zero.
    std::uint32_t bad = 0;
  };

  void Decay(TimePoint now);
  void Advance(Test& test, double prior, const ResponseCounts& old_delta,
               const ResponseCounts& new_delta, double slow_weight);
  double BaseOf(const Test& test, double prior) const;

  EvidenceOptions options_;
  TimePoint updated_at_{};
  CountsByRoute seen_;
  std::map<std::uint64_t, Test> routes_;
  Test all_;
  ResponseCounts new_responses_;
  bool is_bad_ = false;
};

}  // namespace savoryglade::rollout
