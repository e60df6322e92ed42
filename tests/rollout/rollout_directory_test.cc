#include "rollout/rollout_directory.h"

#include <gtest/gtest.h>

#include <limits>
#include <vector>

#include "rollout/response_tracker.h"
#include "routing/software_version.h"

namespace savoryglade::rollout {
namespace {

const ServiceId kService("model");
constexpr std::uint64_t kRoute = 7;
const std::uint64_t kNew = SoftwareVersionKey("v2");
const std::uint64_t kOld = SoftwareVersionKey("v1");
constexpr RolloutBounds kBounds{.exposure_share = 0.1, .exposure_allowance = 50, .rollback = 5s};

TimePoint At(Duration time) { return TimePoint(100s) + time; }

RolloutOrder MakeOrder(std::uint64_t version, const std::string& to = "v2", std::uint64_t era = 1) {
  return {.service = kService, .to = to, .duration = 12s, .version = version, .era = era};
}

RolloutStep MakeStep(RolloutStage stage, double share, std::uint64_t number = 1,
                     std::uint64_t fencing = 1) {
  return {.fencing = fencing, .number = number, .stage = stage, .share = share, .upstreams = 2};
}

class RolloutDirectoryTest : public testing::Test {
 protected:
  RolloutDirectoryTest() {
    for (RolloutDirectory* directory : {&leader_, &other_}) {
      directory->SetBounds(kBounds);
      directory->SetDaemonCount(2);
    }
  }

  // Sends a report that is under way for a while.
  static void Report(const RolloutDirectory& from, RolloutDirectory& to, TimePoint now,
                     Duration delay = Duration::zero()) {
    std::vector<ReportedRollout> reported = from.ReportOf(ReportScope::kDaemon, now);
    for (ReportedRollout& rollout : reported) {
      rollout.order_age += delay;
      if (rollout.step_age) {
        *rollout.step_age += delay;
      }
    }
    to.OnReport(ReportSource::Daemon(DaemonId("peer")), 1, reported, now + delay);
  }

  // Returns the rule on the new version.
  static VersionRule RuleOf(const RolloutDirectory& directory, TimePoint now) {
    for (const VersionRule& rule : directory.RulesOf(kService, now)) {
      if (rule.version == kNew) {
        return rule;
      }
    }
    return {.version = 0, .upstreams = -1};
  }

  RolloutDirectory leader_{1};
  RolloutDirectory other_{2};
};

// Guards against orders that take effect where the settings do not ask for roll-outs.
TEST_F(RolloutDirectoryTest, IsOffWithoutBounds) {
  RolloutDirectory directory(1);
  EXPECT_FALSE(directory.OnOrder(MakeOrder(1), 0s, At(0s)));
  EXPECT_TRUE(directory.RulesOf(kService, At(0s)).empty());
}

// Guards against requests to a new version from a daemon that knows the order but no step.
TEST_F(RolloutDirectoryTest, VersionGetsNothingBeforeAStepIsKnown) {
  other_.OnOrder(MakeOrder(1), 0s, At(0s));
  EXPECT_EQ(RuleOf(other_, At(0s)).upstreams, 0);
  EXPECT_FALSE(other_.Admits(kService, kRoute, 0, At(0s)));
}

// Guards against a step that is followed after its leader has fallen silent, however many daemons
// relay it to each other.
TEST_F(RolloutDirectoryTest, StepExpiresUnlessItsLeaderConfirmsIt) {
  RolloutDirectory third(3);
  third.SetBounds(kBounds);
  leader_.OnOrder(MakeOrder(1), 0s, At(0s));
  leader_.Publish(kService, MakeStep(RolloutStage::kRamp, 0.5), At(0s));
  Report(leader_, other_, At(0s));
  EXPECT_TRUE(other_.Admits(kService, kRoute, 0, At(1s)));
  for (Duration time = 100ms; time < 3s; time += 100ms) {
    Report(other_, third, At(time));
    Report(third, other_, At(time));
  }
  EXPECT_FALSE(other_.Admits(kService, kRoute, 0, At(3s)));
  EXPECT_FALSE(third.Admits(kService, kRoute, 0, At(3s)));
  EXPECT_EQ(RuleOf(other_, At(1s)).valid_until, At(2s));
}

// Guards against a roll-back that a delayed report of an earlier step, or of another leader,
// undoes.
TEST_F(RolloutDirectoryTest, RollBackIsFinal) {
  leader_.OnOrder(MakeOrder(1), 0s, At(0s));
  leader_.Publish(kService, MakeStep(RolloutStage::kRamp, 0.5, 4, 2), At(0s));
  other_.OnOrder(MakeOrder(1), 0s, At(0s));
  other_.Publish(kService, MakeStep(RolloutStage::kRolledBack, 0, 3, 1), At(0s));
  Report(leader_, other_, At(100ms));
  EXPECT_EQ(RuleOf(other_, At(100ms)).upstreams, 0);
  Report(other_, leader_, At(200ms));
  EXPECT_EQ(RuleOf(leader_, At(200ms)).upstreams, 0);
  EXPECT_EQ(RuleOf(leader_, At(60s)).upstreams, 0);
}

// Guards against a completed version that gets nothing once its leader has fallen silent.
TEST_F(RolloutDirectoryTest, CompletedVersionServesWithoutALeader) {
  leader_.OnOrder(MakeOrder(1), 0s, At(0s));
  leader_.Publish(kService, MakeStep(RolloutStage::kCompleted, 1), At(0s));
  Report(leader_, other_, At(100ms));
  EXPECT_EQ(RuleOf(other_, At(60s)).upstreams, std::numeric_limits<int>::max());
  EXPECT_TRUE(RuleOf(other_, At(5s)).exclusive);
  // Versions that are started later without an order are served as now.
  EXPECT_FALSE(RuleOf(other_, At(60s)).exclusive);
}

// Guards against counts and steps of an order that has been replaced, and against requests to the
// version that was abandoned.
TEST_F(RolloutDirectoryTest, ReplacedOrderStartsFromZero) {
  leader_.OnOrder(MakeOrder(1), 0s, At(0s));
  leader_.Publish(kService, MakeStep(RolloutStage::kRamp, 0.5), At(0s));
  leader_.OnRequest(kService, kRoute);
  EXPECT_TRUE(leader_.OnOrder(MakeOrder(2, "v3"), 0s, At(1s)));
  EXPECT_EQ(RuleOf(leader_, At(1s)).upstreams, 0);
  EXPECT_EQ(SumOf(leader_.Find(kService)->ledger.Total()).requests, 0U);
  EXPECT_FALSE(leader_.Find(kService)->confirmed_at);
  // A report of the earlier order changes nothing.
  other_.OnOrder(MakeOrder(1), 0s, At(0s));
  other_.Publish(kService, MakeStep(RolloutStage::kCompleted, 1), At(1s));
  Report(other_, leader_, At(1s));
  EXPECT_FALSE(leader_.Find(kService)->confirmed_at);
  // The abandoned version is ordered anew.
  EXPECT_TRUE(leader_.OnOrder(MakeOrder(3, "v2"), 0s, At(2s)));
  leader_.Publish(kService, MakeStep(RolloutStage::kRamp, 0.5), At(2s));
  EXPECT_EQ(RuleOf(leader_, At(2s)).upstreams, 2);
}

// Guards against a roll-back that is forgotten when the operator writes the order again after the
// store has returned from an older copy.
TEST_F(RolloutDirectoryTest, RollBackOutlivesAReturnOfTheStore) {
  leader_.OnOrder(MakeOrder(5), 0s, At(0s));
  leader_.Publish(kService, MakeStep(RolloutStage::kRolledBack, 0), At(3s));
  EXPECT_FALSE(leader_.OnOrder(MakeOrder(9, "v2", 2), 0s, At(4s)));
  EXPECT_EQ(leader_.Find(kService)->step.stage, RolloutStage::kRolledBack);
  // Within an era it is a new order.
  EXPECT_TRUE(leader_.OnOrder(MakeOrder(10, "v2", 2), 0s, At(5s)));
}

// Guards against a deadline that each daemon counts from when it learns of the order.
TEST_F(RolloutDirectoryTest, OrderAgesWhileItTravels) {
  leader_.OnOrder(MakeOrder(1), 0s, At(0s));
  Report(leader_, other_, At(2s), 300ms);
  EXPECT_EQ(other_.Find(kService)->ordered_at, At(0s));
}

// Guards against counts of a restarted daemon that replace those of its earlier process, and
// against counts twice.
TEST_F(RolloutDirectoryTest, CountsAreSummedByDaemonAndIncarnation) {
  leader_.OnOrder(MakeOrder(1), 0s, At(0s));
  other_.OnOrder(MakeOrder(1), 0s, At(0s));
  for (int i = 0; i < 3; ++i) {
    other_.OnRequest(kService, kRoute);
  }
  Report(other_, leader_, At(1s));
  Report(other_, leader_, At(2s));
  RolloutDirectory restarted(3);
  restarted.SetBounds(kBounds);
  restarted.OnOrder(MakeOrder(1), 0s, At(2s));
  restarted.OnRequest(kService, kRoute);
  leader_.OnReport(ReportSource::Daemon(DaemonId("peer")), 2,
                   restarted.ReportOf(ReportScope::kDaemon, At(3s)), At(3s));
  EXPECT_EQ(SumOf(leader_.Find(kService)->ledger.Total()).requests, 4U);
}

// Guards against more requests to a version without a verdict than the daemon's own requests allow,
// whatever share is published.
TEST_F(RolloutDirectoryTest, GateBoundsTheExposureByItsOwnCount) {
  leader_.OnOrder(MakeOrder(1), 0s, At(0s));
  leader_.Publish(kService, MakeStep(RolloutStage::kCanary, 0.5), At(0s));
  int sent = 0;
  for (std::uint64_t i = 0; i < 1000; ++i) {
    leader_.OnRequest(kService, kRoute);
    if (leader_.Admits(kService, kRoute, i * 0x9E3779B97F4A7C15ULL, At(1s))) {
      leader_.OnSent(kService, kRoute, kNew);
      ++sent;
    }
  }
  EXPECT_GT(sent, 60);
  // A fifth of the allowance is divided by the two daemons, and one is added for rounding.
  EXPECT_LE(sent, 75 + 5 + 1);
}

// Guards against streams of the new version that can't go on between two bursts of requests.
TEST_F(RolloutDirectoryTest, VersionStaysOpenForItsStreamsBetweenBursts) {
  leader_.OnOrder(MakeOrder(1), 0s, At(0s));
  leader_.Publish(kService, MakeStep(RolloutStage::kCanary, 0), At(0s));
  for (std::uint64_t hash = 0; hash < 100; ++hash) {
    leader_.OnRequest(kService, kRoute);
    EXPECT_FALSE(leader_.Admits(kService, kRoute, hash, At(1s)));
  }
  EXPECT_EQ(RuleOf(leader_, At(1s)).upstreams, 2);
}

// Guards against a route whose requests never meet the new version.
TEST_F(RolloutDirectoryTest, RoutesHaveSharesOfTheirOwn) {
  leader_.OnOrder(MakeOrder(1), 0s, At(0s));
  RolloutStep step = MakeStep(RolloutStage::kCanary, 0.0001);
  step.route_shares[kRoute] = 1;
  leader_.Publish(kService, step, At(0s));
  for (int i = 0; i < 100; ++i) {
    leader_.OnRequest(kService, kRoute);
  }
  EXPECT_TRUE(leader_.Admits(kService, kRoute, 1, At(1s)));
  EXPECT_FALSE(leader_.Admits(kService, kRoute + 1, 1, At(1s)));
}

class ResponseTrackerTest : public RolloutDirectoryTest {
 protected:
  ResponseTrackerTest() {
    Learn();
    leader_.OnOrder(MakeOrder(1), 0s, At(0s));
  }

  // Answers requests of the old version in 100 ms.
  void Learn() {
    for (int i = 0; i < 20; ++i) {
      Send(kOld, At(-10s));
      tracker_.OnEnd(&key_, TrackedEnd::kAnswered, At(-10s) + 100ms);
    }
  }
  void Send(std::uint64_t version, TimePoint now) {
    tracker_.OnSent(
        &key_,
        {.service = kService, .route = kRoute, .version = version, .upstream = UpstreamId("u")},
        now);
  }
  ResponseCounts Counts() { return SumOf(leader_.Find(kService)->ledger.Total()).new_version; }

  ResponseTracker tracker_{leader_};
  int key_ = 0;
};

// Guards against slow responses that count only once they have ended, or twice.
TEST_F(ResponseTrackerTest, OverdueResponseCountsAsSlowOnce) {
  Send(kNew, At(1s));
  tracker_.Tick(At(1200ms));
  EXPECT_EQ(Counts().all(), 0U);
  tracker_.Tick(At(1500ms));
  EXPECT_EQ(Counts().slow, 1U);
  tracker_.OnEnd(&key_, TrackedEnd::kFailed, At(2s));
  EXPECT_EQ(Counts().all(), 1U);
}

// Guards against losses of upstreams that count against a version.
TEST_F(ResponseTrackerTest, LostUpstreamsCountAgainstNoVersion) {
  Send(kNew, At(1s));
  tracker_.OnEnd(&key_, TrackedEnd::kBrokenOff, At(1100ms));
  tracker_.OnUpstreamLost(UpstreamId("u"), At(1300ms));
  tracker_.Tick(At(2s));
  EXPECT_EQ(Counts().all(), 0U);
  Send(kNew, At(5s));
  tracker_.OnEnd(&key_, TrackedEnd::kBrokenOff, At(5100ms));
  tracker_.Tick(At(6s));
  EXPECT_EQ(Counts().failed, 1U);
}

TEST_F(ResponseTrackerTest, WithdrawnRequestsCountForNothing) {
  Send(kNew, At(1s));
  tracker_.OnEnd(&key_, TrackedEnd::kNone, At(1100ms));
  Send(kNew, At(1s));
  tracker_.OnEnd(&key_, TrackedEnd::kAnswered, At(1100ms));
  tracker_.Tick(At(3s));
  EXPECT_EQ(Counts(), (ResponseCounts{.good = 1}));
}

}  // namespace
}  // namespace savoryglade::rollout
