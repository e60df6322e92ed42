#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "tests/recovery/claim_model_checker.h"

namespace savoryglade {
namespace {

std::string Join(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines) {
    text += line + "\n";
  }
  return text;
}

// Guards against a message order that runs one request twice or makes kNotRun false. Covers all
// orders of 13 steps with one fault of any kind and one time step. The benchmark covers 18 steps.
TEST(ClaimInterleavingTest, NoOrderWithOneFaultRunsTwice) {
  ClaimModelChecker checker({.faults = 1, .time_steps = 1, .depth = 13});
  checker.Run();
  EXPECT_EQ(Join(checker.violation_trace()), "");
  EXPECT_TRUE(checker.saw_answer_after_takeover());
  EXPECT_TRUE(checker.saw_may_have_run());
  EXPECT_TRUE(checker.saw_not_run());
  RecordProperty("states", std::to_string(checker.states()));
}

// Guards against errors late in a takeover, which need more steps. Covers all complete orders
// without a fault.
TEST(ClaimInterleavingTest, NoOrderWithoutFaultsRunsTwice) {
  ClaimModelChecker checker({.faults = 0, .time_steps = 1, .depth = 100});
  checker.Run();
  EXPECT_EQ(Join(checker.violation_trace()), "");
  EXPECT_FALSE(checker.reached_depth());
  EXPECT_TRUE(checker.saw_answer_after_takeover());
  RecordProperty("states", std::to_string(checker.states()));
}

// Covers all orders of 8 steps with two faults of any kind and two time steps.
TEST(ClaimInterleavingTest, NoOrderWithTwoFaultsRunsTwice) {
  ClaimModelChecker checker({.faults = 2, .time_steps = 2, .depth = 8});
  checker.Run();
  EXPECT_EQ(Join(checker.violation_trace()), "");
  RecordProperty("states", std::to_string(checker.states()));
}

// Shows that a token needs the nonce of its process: with the incarnation alone, a process whose
// clock was set back treats the claims of its predecessor as its own and allows their takeover.
TEST(ClaimInterleavingTest, RepeatedIncarnationWithoutNonceRunsTwice) {
  ClaimModelChecker checker({.use_nonce = false, .faults = 1, .time_steps = 0, .depth = 18});
  checker.Run();
  ASSERT_FALSE(checker.violation_trace().empty());
  EXPECT_EQ(checker.violation_trace().back(), "=> run twice");
}

// Shows that a resend must be marked: while the table is unavailable, kNotRun for a resend is false
// if the first submission has run.
TEST(ClaimInterleavingTest, UnmarkedResendGetsFalseNotRun) {
  ClaimModelChecker checker({.mark_resends = false, .faults = 1, .time_steps = 0, .depth = 18});
  checker.Run();
  ASSERT_FALSE(checker.violation_trace().empty());
  EXPECT_EQ(checker.violation_trace().back(), "=> false not_run");
}

}  // namespace
}  // namespace savoryglade
