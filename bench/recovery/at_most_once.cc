
#include <cstdint>
#include <string>
#include <vector>

#include "bench/recovery/measures.h"
#include "tests/recovery/claim_history.h"
#include "tests/recovery/claim_model_checker.h"

namespace savoryglade {
namespace {

constexpr int kGroups = 10;
constexpr int kHistoriesPerGroup = 1000;

// Returns the sums over the histories of one group of seeds. The baseline uses tokens without a
// nonce and does not mark resends, as in an earlier version of the design.
ClaimHistoryResult RunGroup(int group, bool use_baseline) {
  ClaimHistoryResult sum;
  for (int n = 0; n < kHistoriesPerGroup; ++n) {
    ClaimHistoryOptions options;
    options.seed = static_cast<std::uint64_t>(group) * kHistoriesPerGroup + n + 1;
    options.use_nonce = !use_baseline;
    options.mark_resends = !use_baseline;
    const ClaimHistoryResult result = ClaimHistory(options).Run();
    sum.requests += result.requests;
    sum.run_twice += result.run_twice;
    sum.false_not_run += result.false_not_run;
    sum.wrong_answers += result.wrong_answers;
    sum.answered += result.answered;
    sum.not_run += result.not_run;
    sum.may_have_run += result.may_have_run;
    sum.may_have_run_unrun += result.may_have_run_unrun;
    sum.no_outcome += result.no_outcome;
    for (const auto& [reason, count] : result.unrun_reasons) {
      sum.unrun_reasons[reason] += count;
    }
    sum.table_writes += result.table_writes;
  }
  return sum;
}

}  // namespace

void MeasureAtMostOnce() {
  std::vector<ClaimHistoryResult> before;
  std::vector<ClaimHistoryResult> after;
  for (int group = 0; group < kGroups; ++group) {
    before.push_back(RunGroup(group, true));
    after.push_back(RunGroup(group, false));
  }
  const auto print = [&](const char* name, int ClaimHistoryResult::*field, bool share) {
    std::vector<Sample> samples;
    for (int group = 0; group < kGroups; ++group) {
      const auto value = [&](const ClaimHistoryResult& result) {
        return share ? 100.0 * (result.*field) / result.requests : 1.0 * (result.*field);
      };
      samples.push_back({value(before[group]), value(after[group]),
                         static_cast<std::uint64_t>(group) * kHistoriesPerGroup + 1});
    }
    const Better better =
        field == &ClaimHistoryResult::answered ? Better::kLarger : Better::kSmaller;
    const char* unit = share                                        ? "percent"
                       : field == &ClaimHistoryResult::table_writes ? "transactions"
                                                                    : "requests";
    PrintSamples("at-most-once", name, unit, samples, better);
  };
  print("run twice", &ClaimHistoryResult::run_twice, false);
  print("false not_run", &ClaimHistoryResult::false_not_run, false);
  print("wrong answers", &ClaimHistoryResult::wrong_answers, false);
  print("ends with the answer", &ClaimHistoryResult::answered, true);
  print("ends not_run", &ClaimHistoryResult::not_run, true);
  print("ends may_have_run", &ClaimHistoryResult::may_have_run, true);
  print("ends may_have_run without a run", &ClaimHistoryResult::may_have_run_unrun, true);
  print("ends without an outcome", &ClaimHistoryResult::no_outcome, true);
  for (const Reason reason :
       {Reason::kUpstreamLost, Reason::kClaimedElsewhere, Reason::kPlatformUnavailable}) {
    std::vector<Sample> samples;
    for (int group = 0; group < kGroups; ++group) {
      const auto share = [&](ClaimHistoryResult& result) {
        return 100.0 * result.unrun_reasons[reason] / result.requests;
      };
      samples.push_back({share(before[group]), share(after[group]),
                         static_cast<std::uint64_t>(group) * kHistoriesPerGroup + 1});
    }
    PrintSamples("at-most-once",
                 "ends may_have_run without a run, " + std::string(ToString(reason)), "percent",
                 samples);
  }
  print("table transactions", &ClaimHistoryResult::table_writes, false);
}

void MeasureClaimInterleavings() {
  constexpr int kDepth = 18;
  ClaimModelChecker checker({.faults = 1, .time_steps = 1, .depth = kDepth});
  checker.Run();
  PrintSamples("claim-interleavings", "states to 18 steps with one fault", "states",
               {{0, static_cast<double>(checker.states()), 0}});
  PrintSamples("claim-interleavings", "run twice or false not_run", "traces",
               {{0, checker.violation_trace().empty() ? 0.0 : 1.0, 0}});
}

}  // namespace savoryglade
