#include "tests/recovery/claim_history.h"

#include <cstdint>
#include <fstream>
#include <string>
#include <vector>

#include "gtest/gtest.h"

namespace savoryglade {
namespace {

// Guards against a second run, a false kNotRun or a wrong answer in histories with crashes, message
// loss, duplication and reordering, pauses and table outages. The benchmark runs 10,000 histories.
TEST(ClaimHistoryTest, SeededHistoriesRunRequestsAtMostOnce) {
  int answered = 0;
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    ClaimHistoryOptions options;
    options.seed = seed;
    const ClaimHistoryResult result = ClaimHistory(options).Run();
    ASSERT_EQ(result.run_twice, 0) << "seed " << seed;
    ASSERT_EQ(result.false_not_run, 0) << "seed " << seed;
    ASSERT_EQ(result.wrong_answers, 0) << "seed " << seed;
    answered += result.answered;
  }
  EXPECT_GT(answered, 0);
}

// Guards against unnecessary refusals: without faults, every request is answered.
TEST(ClaimHistoryTest, EveryRequestIsAnsweredWithoutFaults) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    const ClaimHistoryResult result = ClaimHistory({.seed = seed,
                                                    .loss_probability = 0,
                                                    .duplication_probability = 0,
                                                    .crash_probability = 0,
                                                    .pause_probability = 0,
                                                    .outage_probability = 0,
                                                    .ideal_conditions = true})
                                          .Run();
    ASSERT_EQ(result.answered, result.requests) << "seed " << seed;
  }
}

// Guards against unintended changes in the order or outcome of a whole session with crashes, pauses
// and resends. The golden file contains the trace of the session.
TEST(ClaimHistoryTest, SessionTraceMatchesGoldenFile) {
  const ClaimHistoryResult result = ClaimHistory({.seed = 79, .keep_trace = true}).Run();
  std::ifstream file(SAVORYGLADE_SOURCE_DIR "/tests/recovery/golden/claim_history_79.txt");
  ASSERT_TRUE(file);
  std::vector<std::string> golden;
  for (std::string line; std::getline(file, line);) {
    golden.push_back(line);
  }
  EXPECT_EQ(result.trace, golden);
}

}  // namespace
}  // namespace savoryglade
