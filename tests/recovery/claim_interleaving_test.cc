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

// Guards against an order of messages around one request that runs it twice or makes "not run"
// false: all orders of 13 steps with one fault of any kind and one step of time. The bench runs 18
// steps.
TEST(ClaimInterleavingTest, NoOrderWithOneFaultRunsTwice) {
  ClaimModelChecker checker({.faults = 1, .time_steps = 1, .depth = 13});
  checker.Run();
  EXPECT_EQ(Join(checker.violation_trace()), "");
  EXPECT_TRUE(checker.saw_answer_after_takeover());
  EXPECT_TRUE(checker.saw_may_have_run());
  EXPECT_TRUE(checker.saw_not_run());
  RecordProperty("states", std::to_string(checker.states()));
}

// Guards against a fault late in a takeover, which needs more steps: all orders without a fault, to
// their end.
TEST(ClaimInterleavingTest, NoOrderWithoutFaultsRunsTwice) {
  ClaimModelChecker checker({.faults = 0, .time_steps = 1, .depth = 100});
  checker.Run();
  EXPECT_EQ(Join(checker.violation_trace()), "");
  EXPECT_FALSE(checker.reached_depth());
  EXPECT_TRUE(checker.saw_answer_after_takeover());
  RecordProperty("states", std::to_string(checker.states()));
}

// The same with two faults of any kind and two steps of time, to 8 steps.
TEST(ClaimInterleavingTest, NoOrderWithTwoFaultsRunsTwice) {
  ClaimModelChecker checker({.faults = 2, .time_steps = 2, .depth = 8});
  checker.Run();
  EXPECT_EQ(Join(checker.violation_trace()), "");
  RecordProperty("states", std::to_string(checker.states()));
}

// Shows why a token needs the nonce of its process: with the incarnation alone, a process whose
// clock was set back takes the claims of its predecessor for its own and lets them be taken over.
TEST(ClaimInterleavingTest, RepeatedIncarnationWithoutNonceRunsTwice) {
  ClaimModelChecker checker({.use_nonce = false, .faults = 1, .time_steps = 0, .depth = 18});
  checker.Run();
  ASSERT_FALSE(checker.violation_trace().empty());
  EXPECT_EQ(checker.violation_trace().back(), "=> run twice");
}

// Shows why a resend must be marked: while the table is out of reach, "not run" for a resend is
// false if the first sending has run.
TEST(ClaimInterleavingTest, UnmarkedResendGetsFalseNotRun) {
  ClaimModelChecker checker({.mark_resends = false, .faults = 1, .time_steps = 0, .depth = 18});
  checker.Run();
  ASSERT_FALSE(checker.violation_trace().empty());
  EXPECT_EQ(checker.violation_trace().back(), "=> false not_run");
}

}  // namespace
}  // namespace savoryglade
