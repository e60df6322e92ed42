#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "soak/history.h"

namespace savoryglade::soak {
namespace {

constexpr std::size_t kDaemon = 0;

// Play in which one daemon is told to stop and ends a stream that an upstream runs.
class LostCheckTest : public testing::Test {
 protected:
  void At(Duration offset) { now_ = start_ + offset; }

  void Stop(Duration offset) {
    At(offset);
    history_.AddEvent(EventKind::kTerm, kDaemon, "SIGTERM");
  }

  void Exit(Duration offset) {
    At(offset);
    history_.AddEvent(EventKind::kExit, kDaemon, "exited with wait status 0");
  }

  void Run(Duration from, Duration to) {
    At(from);
    const std::size_t run = history_.BeginRun("stream", {.upstream = "upstream", .version = "v1"});
    At(to);
    history_.EndRun("stream", run);
  }

  // Returns the rules that a stream breaks whose caller sees its end at this time.
  std::vector<std::string> RulesBroken(Duration sent, Duration noticed, bool timed_out = false) {
    history_.AddAttempt({.id = "stream",
                         .type = &kCallTypes[2],
                         .daemon = kDaemon,
                         .sent = true,
                         .sent_at = start_ + sent,
                         .ended_at = start_ + noticed,
                         .deadline = start_ + 20s,
                         .status = 200,
                         .timed_out = timed_out});
    std::vector<std::string> rules;
    for (const Violation& violation : CheckPromises(history_, bounds_)) {
      rules.push_back(violation.rule);
    }
    return rules;
  }

 private:
  TimePoint start_ = TimePoint() + 1h;
  TimePoint now_ = start_;
  History history_{[this] { return now_; }};
  PromiseBounds bounds_ = {.grace = 6s, .retry_allowance = 10};
};

// Guards against a caller that reads slowly being taken for one whose stream ended after the exit.
TEST_F(LostCheckTest, StreamInterruptedInTheLastSixthOfTheGracePeriodIsNoticedLate) {
  Stop(10s);
  Run(12s, 15500ms);
  Exit(15600ms);
  EXPECT_TRUE(RulesBroken(12s, 19s).empty());
}

// Guards against a late reader excusing a stream that was cut early.
TEST_F(LostCheckTest, StreamCutBeforeTheLastSixthIsLostHoweverLateItIsNoticed) {
  Stop(10s);
  Run(12s, 14500ms);
  Exit(15600ms);
  EXPECT_EQ(RulesBroken(12s, 19s), std::vector<std::string>{"LOST"});
}

// Guards against a late reader excusing a request that the daemon took late in its drain.
TEST_F(LostCheckTest, StreamSentLateInTheDrainIsLost) {
  Stop(10s);
  Run(13500ms, 15500ms);
  Exit(15600ms);
  EXPECT_EQ(RulesBroken(13500ms, 19s), std::vector<std::string>{"LOST"});
}

// Guards against a deadline that passes after the daemon's exit excusing a stream that it cut.
TEST_F(LostCheckTest, StreamCutBeforeItsDeadlineIsLostThoughItIsNoticedBehindIt) {
  Stop(10s);
  Run(13500ms, 15500ms);
  Exit(15600ms);
  EXPECT_EQ(RulesBroken(13500ms, 21s), std::vector<std::string>{"LOST"});
}

// Guards against taking a caller that reads too slowly for its deadline for one whose connection
// ended with its daemon.
TEST_F(LostCheckTest, StreamThatIsStillDeliveredAtItsDeadlineIsNotLost) {
  Stop(10s);
  Run(13500ms, 14500ms);
  Exit(15600ms);
  EXPECT_TRUE(RulesBroken(13500ms, 20s, true).empty());
}

}  // namespace
}  // namespace savoryglade::soak
