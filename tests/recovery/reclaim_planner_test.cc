#include "recovery/reclaim_planner.h"

#include <string>
#include <vector>

#include "gtest/gtest.h"

namespace savoryglade {
namespace {

const ServiceId kService("assistant");
const FailureDomainId kBrescia("brescia");
const FailureDomainId kVerona("verona");

class ReclaimPlannerTest : public ::testing::Test {
 protected:
  static Notice DomainNotice(TimePoint when) {
    return {NoticeScope::kFailureDomain, kBrescia.value(), when};
  }

  static Destination MakeDestination(const std::string& name, std::size_t free_slots) {
    return {UpstreamId(name),        kService, VmId("vm-" + name), kVerona, free_slots,
            std::uint64_t{10} << 30, 1e9};
  }

  // Creates a request with 1,000 context tokens per 100 MB of KV cache.
  static DepartingRequest MakeRequest(std::uint64_t request_id, Duration remaining,
                                      std::uint64_t megabytes) {
    return {request_id, kService, UpstreamId("u"), megabytes * 10, remaining, megabytes * 1000000};
  }

  std::vector<ReclaimStep> Plan(const std::vector<DepartingRequest>& requests,
                                const std::vector<Destination>& destinations) {
    return planner_.Plan({{UpstreamId("u"), VmId("vm-u"), kBrescia, 1e9}}, requests, destinations,
                         now_);
  }

  ReclaimPlanner planner_{{}};
  TimePoint now_{};
};

// Guards against moving requests that would complete in time, and against leaving requests that
// would not.
TEST_F(ReclaimPlannerTest, ShortRequestFinishesAndLongRequestMovesWithKvCache) {
  planner_.OnNotice(DomainNotice(now_ + 10s), now_);
  const auto steps =
      Plan({MakeRequest(1, 7s, 100), MakeRequest(2, 9s, 100)}, {MakeDestination("v", 4)});
  ASSERT_EQ(steps.size(), 2U);
  const bool moves_first = steps[0].request_id == 2;
  const ReclaimStep& finishing = steps[moves_first ? 1 : 0];
  const ReclaimStep& moving = steps[moves_first ? 0 : 1];
  EXPECT_EQ(finishing.request_id, 1U);
  EXPECT_EQ(finishing.action, ReclaimAction::kFinish);
  EXPECT_EQ(moving.request_id, 2U);
  EXPECT_EQ(moving.action, ReclaimAction::kMove);
  EXPECT_EQ(moving.destination, UpstreamId("v"));
  EXPECT_LE(moving.end, now_ + 8s);
}

// Guards against transfers that the departure cuts off: requests that do not fit on the link are
// resumed from their tokens, and moves that save the most recomputation go first.
TEST_F(ReclaimPlannerTest, RequestThatDoesNotFitOnLinkIsResumed) {
  planner_.OnNotice(DomainNotice(now_ + 2s), now_);
  DepartingRequest cheap = MakeRequest(1, 60s, 1000);
  cheap.context_tokens = 100;
  const auto steps = Plan({cheap, MakeRequest(2, 60s, 1000)}, {MakeDestination("v", 4)});
  ASSERT_EQ(steps.size(), 2U);
  for (const ReclaimStep& step : steps) {
    EXPECT_EQ(step.action, step.request_id == 2 ? ReclaimAction::kMove : ReclaimAction::kResume);
  }
}

// Guards against two transfers planned on one link at the same time.
TEST_F(ReclaimPlannerTest, MovesOnOneLinkAreSequential) {
  planner_.OnNotice(DomainNotice(now_ + 10s), now_);
  const auto steps = Plan({MakeRequest(1, 60s, 900), MakeRequest(2, 60s, 900)},
                          {MakeDestination("v", 1), MakeDestination("w", 1)});
  ASSERT_EQ(steps.size(), 2U);
  EXPECT_GE(steps[1].begin, steps[0].end);
  EXPECT_NE(steps[0].destination, steps[1].destination);
}

// Guards against moving requests to a destination that is also leaving.
TEST_F(ReclaimPlannerTest, DepartingDestinationIsNotUsed) {
  planner_.OnNotice(DomainNotice(now_ + 10s), now_);
  planner_.OnNotice({NoticeScope::kVm, "vm-v", now_ + 60s}, now_);
  const auto steps =
      Plan({MakeRequest(1, 60s, 100)}, {MakeDestination("v", 4), MakeDestination("w", 1)});
  ASSERT_EQ(steps.size(), 1U);
  EXPECT_EQ(steps[0].destination, UpstreamId("w"));
}

// Guards against overcommitting a destination's slots, and against losing the KV cache for lack of
// a slot: the request keeps running while the link has spare time, and is then moved to wait for a
// slot.
TEST_F(ReclaimPlannerTest, RequestWithoutFreeSlotWaitsThenMoves) {
  planner_.OnNotice(DomainNotice(now_ + 10s), now_);
  const std::vector<DepartingRequest> requests = {MakeRequest(1, 60s, 900)};
  EXPECT_EQ(Plan(requests, {MakeDestination("v", 0)}).front().action, ReclaimAction::kWait);
  now_ += 8s;
  const ReclaimStep step = Plan(requests, {MakeDestination("v", 0)}).front();
  EXPECT_EQ(step.action, ReclaimAction::kMove);
  EXPECT_TRUE(step.waits_for_slot);
}

// Guards against losing the KV cache of a request that runs longer than predicted: it is moved at
// the last possible start time of its move.
TEST_F(ReclaimPlannerTest, RequestBeyondPredictionMovesAtLastPossibleTime) {
  planner_.OnNotice(DomainNotice(now_ + 10s), now_);
  EXPECT_EQ(Plan({MakeRequest(1, 500ms, 900)}, {MakeDestination("v", 0)}).front().action,
            ReclaimAction::kFinish);
  now_ += 8s;
  EXPECT_EQ(Plan({MakeRequest(1, 500ms, 900)}, {MakeDestination("v", 0)}).front().action,
            ReclaimAction::kMove);
}

// Guards against a second dispatch of a may-not-repeat request.
TEST_F(ReclaimPlannerTest, PinnedRequestIsNotMoved) {
  planner_.OnNotice(DomainNotice(now_ + 10s), now_);
  DepartingRequest pinned = MakeRequest(1, 60s, 100);
  pinned.pinned = true;
  EXPECT_EQ(Plan({pinned}, {MakeDestination("v", 4)}).front().action, ReclaimAction::kFinish);
}

// Guards against a late copy of a notice that extends the remaining time.
TEST_F(ReclaimPlannerTest, DuplicateNoticeDoesNotExtendTime) {
  EXPECT_TRUE(planner_.OnNotice(DomainNotice(now_ + 10s), now_));
  EXPECT_FALSE(planner_.OnNotice(DomainNotice(now_ + 13s), now_ + 3s));
  EXPECT_TRUE(planner_.OnNotice(DomainNotice(now_ + 8s), now_));
  EXPECT_EQ(planner_.DepartureTime(VmId("vm-u"), kBrescia), now_ + 8s);
}

// Guards against a VM that gets no requests after its notice was withdrawn, and against a late copy
// of the withdrawn notice. A new notice is accepted.
TEST_F(ReclaimPlannerTest, WithdrawnNoticeKeepsVmInUse) {
  planner_.OnNotice(DomainNotice(now_ + 10s), now_);
  Notice withdrawal = DomainNotice(now_ + 10s);
  withdrawal.withdrawn = true;
  EXPECT_TRUE(planner_.OnNotice(withdrawal, now_));
  EXPECT_FALSE(planner_.IsLeaving(VmId("vm-u"), kBrescia));
  EXPECT_FALSE(planner_.OnNotice(DomainNotice(now_ + 11s), now_ + 1s));
  EXPECT_TRUE(Plan({MakeRequest(1, 60s, 100)}, {MakeDestination("v", 4)}).empty());
  EXPECT_TRUE(planner_.OnNotice(DomainNotice(now_ + 60s), now_ + 50s));
  EXPECT_TRUE(planner_.IsLeaving(VmId("vm-u"), kBrescia));
}

// Guards against a late notice or withdrawal that makes a lost VM appear available.
TEST_F(ReclaimPlannerTest, NoticeForLostVmIsIgnored) {
  EXPECT_TRUE(planner_.OnGone(NoticeScope::kVm, "vm-u", now_));
  EXPECT_FALSE(planner_.OnGone(NoticeScope::kVm, "vm-u", now_));
  EXPECT_FALSE(planner_.OnNotice({NoticeScope::kVm, "vm-u", now_ + 10s}, now_));
  EXPECT_FALSE(planner_.OnNotice({NoticeScope::kVm, "vm-u", now_ + 10s, true}, now_));
  EXPECT_TRUE(planner_.IsLeaving(VmId("vm-u"), kBrescia));
  const auto steps = Plan({MakeRequest(1, 60s, 100)}, {MakeDestination("v", 4)});
  ASSERT_EQ(steps.size(), 1U);
  EXPECT_EQ(steps[0].action, ReclaimAction::kResume);
}

// Guards against new VMs that get no requests because their failure domain was lost before.
TEST_F(ReclaimPlannerTest, RestartedDomainAcceptsRequests) {
  planner_.OnNotice(DomainNotice(now_ + 10s), now_);
  planner_.OnGone(NoticeScope::kFailureDomain, kBrescia.value(), now_ + 10s);
  EXPECT_TRUE(planner_.IsLeaving(VmId("vm-new"), kBrescia));
  planner_.OnStarted(VmId("vm-new"), kBrescia, now_ + 70s);
  EXPECT_FALSE(planner_.IsLeaving(VmId("vm-new"), kBrescia));
}

// Guards against unbounded memory use.
TEST_F(ReclaimPlannerTest, OldNoticesExpire) {
  planner_.OnNotice(DomainNotice(now_ + 10s), now_);
  planner_.Expire(now_ + 610s);
  EXPECT_EQ(planner_.size(), 0U);
}

// Guards against streams that are cut off when their entry VM leaves, and against queued requests
// that it still dispatches.
TEST_F(ReclaimPlannerTest, EntryVmHandsOverStreamsInTime) {
  std::vector<HeldRequest> held = {{1, true, 1s}, {2, false, 3s}, {3, false, 60s, true}};
  for (std::uint64_t request_id = 10; request_id < 10010; ++request_id) {
    held.push_back({request_id, false, 60s});
  }
  const auto steps = planner_.PlanDrain(held, now_ + 10s, now_);
  ASSERT_EQ(steps.size(), held.size());
  EXPECT_EQ(steps[0].action, DrainAction::kRefuse);
  EXPECT_EQ(steps[1].action, DrainAction::kRelayToEnd);
  EXPECT_EQ(steps[2].action, DrainAction::kRelayToEnd);
  EXPECT_EQ(steps[3].action, DrainAction::kHandOver);
  EXPECT_LE(steps.back().begin, now_ + 7500ms);
}

}  // namespace
}  // namespace savoryglade
