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
  static Notice DomainLeaves(TimePoint when) {
    return {NoticeScope::kFailureDomain, kBrescia.value(), when};
  }

  static Destination Staying(const std::string& name, std::size_t free_slots) {
    return {UpstreamId(name),        kService, VmId("vm-" + name), kVerona, free_slots,
            std::uint64_t{10} << 30, 1e9};
  }

  // 1,000 tokens for each 100 MB.
  static DepartingRequest Work(std::uint64_t request_id, Duration remaining,
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

// Guards against a move of work that would have ended in time, and against waiting for work that
// does not.
TEST_F(ReclaimPlannerTest, ShortWorkFinishesAndLongWorkMovesWithItsCache) {
  planner_.OnNotice(DomainLeaves(now_ + 10s), now_);
  const auto steps = Plan({Work(1, 7s, 100), Work(2, 9s, 100)}, {Staying("v", 4)});
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

// Guards against transfers that the notice cuts off: what does not fit is resumed from its tokens,
// and what spares the most recomputation goes first.
TEST_F(ReclaimPlannerTest, WhatDoesNotFitOnTheLinkIsResumed) {
  planner_.OnNotice(DomainLeaves(now_ + 2s), now_);
  DepartingRequest cheap = Work(1, 60s, 1000);
  cheap.context_tokens = 100;
  const auto steps = Plan({cheap, Work(2, 60s, 1000)}, {Staying("v", 4)});
  ASSERT_EQ(steps.size(), 2U);
  for (const ReclaimStep& step : steps) {
    EXPECT_EQ(step.action, step.request_id == 2 ? ReclaimAction::kMove : ReclaimAction::kResume);
  }
}

// Guards against two transfers that are planned on one link at the same time.
TEST_F(ReclaimPlannerTest, MovesShareTheLinkOneAfterTheOther) {
  planner_.OnNotice(DomainLeaves(now_ + 10s), now_);
  const auto steps =
      Plan({Work(1, 60s, 900), Work(2, 60s, 900)}, {Staying("v", 1), Staying("w", 1)});
  ASSERT_EQ(steps.size(), 2U);
  EXPECT_GE(steps[1].begin, steps[0].end);
  EXPECT_NE(steps[0].destination, steps[1].destination);
}

// Guards against work that is moved to a place that leaves too.
TEST_F(ReclaimPlannerTest, NothingMovesToADestinationThatLeaves) {
  planner_.OnNotice(DomainLeaves(now_ + 10s), now_);
  planner_.OnNotice({NoticeScope::kVm, "vm-v", now_ + 60s}, now_);
  const auto steps = Plan({Work(1, 60s, 100)}, {Staying("v", 4), Staying("w", 1)});
  ASSERT_EQ(steps.size(), 1U);
  EXPECT_EQ(steps[0].destination, UpstreamId("w"));
}

// Guards against more work at a destination than it has slots, and against the loss of the KV cache
// because of that: while the link has time the request runs on, later it is parked.
TEST_F(ReclaimPlannerTest, WithoutASlotWorkWaitsAndIsParkedAtLast) {
  planner_.OnNotice(DomainLeaves(now_ + 10s), now_);
  const std::vector<DepartingRequest> requests = {Work(1, 60s, 900)};
  EXPECT_EQ(Plan(requests, {Staying("v", 0)}).front().action, ReclaimAction::kWait);
  now_ += 8s;
  const ReclaimStep step = Plan(requests, {Staying("v", 0)}).front();
  EXPECT_EQ(step.action, ReclaimAction::kMove);
  EXPECT_TRUE(step.waits_for_slot);
}

// Guards against the loss of the KV cache of a request that was predicted to finish and runs on:
// what is still there at the last possible begin of its move is moved.
TEST_F(ReclaimPlannerTest, LateFinisherMovesAtTheLastChance) {
  planner_.OnNotice(DomainLeaves(now_ + 10s), now_);
  EXPECT_EQ(Plan({Work(1, 500ms, 900)}, {Staying("v", 0)}).front().action, ReclaimAction::kFinish);
  now_ += 8s;
  EXPECT_EQ(Plan({Work(1, 500ms, 900)}, {Staying("v", 0)}).front().action, ReclaimAction::kMove);
}

// Guards against a second dispatch of a may-not-repeat request.
TEST_F(ReclaimPlannerTest, FixedWorkStaysWhereItIs) {
  planner_.OnNotice(DomainLeaves(now_ + 10s), now_);
  DepartingRequest pinned = Work(1, 60s, 100);
  pinned.pinned = true;
  EXPECT_EQ(Plan({pinned}, {Staying("v", 4)}).front().action, ReclaimAction::kFinish);
}

// Guards against a late second copy of a notice that lengthens the time left.
TEST_F(ReclaimPlannerTest, SecondCopyOfANoticeDoesNotLengthenTheTime) {
  EXPECT_TRUE(planner_.OnNotice(DomainLeaves(now_ + 10s), now_));
  EXPECT_FALSE(planner_.OnNotice(DomainLeaves(now_ + 13s), now_ + 3s));
  EXPECT_TRUE(planner_.OnNotice(DomainLeaves(now_ + 8s), now_));
  EXPECT_EQ(planner_.DepartureTime(VmId("vm-u"), kBrescia), now_ + 8s);
}

// Guards against a VM that gets no work any more after its notice was withdrawn, and against a late
// copy of the withdrawn notice. A new notice counts.
TEST_F(ReclaimPlannerTest, WithdrawnNoticeLeavesTheVmInUse) {
  planner_.OnNotice(DomainLeaves(now_ + 10s), now_);
  Notice withdrawal = DomainLeaves(now_ + 10s);
  withdrawal.withdrawn = true;
  EXPECT_TRUE(planner_.OnNotice(withdrawal, now_));
  EXPECT_FALSE(planner_.IsLeaving(VmId("vm-u"), kBrescia));
  EXPECT_FALSE(planner_.OnNotice(DomainLeaves(now_ + 11s), now_ + 1s));
  EXPECT_TRUE(Plan({Work(1, 60s, 100)}, {Staying("v", 4)}).empty());
  EXPECT_TRUE(planner_.OnNotice(DomainLeaves(now_ + 60s), now_ + 50s));
  EXPECT_TRUE(planner_.IsLeaving(VmId("vm-u"), kBrescia));
}

// Guards against a VM that seems to stay because a late notice or withdrawal came after it had
// gone.
TEST_F(ReclaimPlannerTest, NoticeForAGoneVmChangesNothing) {
  EXPECT_TRUE(planner_.OnGone(NoticeScope::kVm, "vm-u", now_));
  EXPECT_FALSE(planner_.OnGone(NoticeScope::kVm, "vm-u", now_));
  EXPECT_FALSE(planner_.OnNotice({NoticeScope::kVm, "vm-u", now_ + 10s}, now_));
  EXPECT_FALSE(planner_.OnNotice({NoticeScope::kVm, "vm-u", now_ + 10s, true}, now_));
  EXPECT_TRUE(planner_.IsLeaving(VmId("vm-u"), kBrescia));
  const auto steps = Plan({Work(1, 60s, 100)}, {Staying("v", 4)});
  ASSERT_EQ(steps.size(), 1U);
  EXPECT_EQ(steps[0].action, ReclaimAction::kResume);
}

// Guards against new VMs of a failure domain that get no work because the domain was lost before.
TEST_F(ReclaimPlannerTest, ReturnedDomainTakesWorkAgain) {
  planner_.OnNotice(DomainLeaves(now_ + 10s), now_);
  planner_.OnGone(NoticeScope::kFailureDomain, kBrescia.value(), now_ + 10s);
  EXPECT_TRUE(planner_.IsLeaving(VmId("vm-new"), kBrescia));
  planner_.OnStarted(VmId("vm-new"), kBrescia, now_ + 70s);
  EXPECT_FALSE(planner_.IsLeaving(VmId("vm-new"), kBrescia));
}

// Guards against memory without end.
TEST_F(ReclaimPlannerTest, OldNoticesAreForgotten) {
  planner_.OnNotice(DomainLeaves(now_ + 10s), now_);
  planner_.Expire(now_ + 610s);
  EXPECT_EQ(planner_.size(), 0U);
}

// Guards against streams that a leaving entry VM cuts off, and against queued work that it still
// takes.
TEST_F(ReclaimPlannerTest, EntryVmHandsItsStreamsOverInTime) {
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
