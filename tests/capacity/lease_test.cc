#include "capacity/lease.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/event_queue.h"
#include "provider/memory_platform.h"

namespace savoryglade::capacity {
namespace {

using provider::CommitStatus;
using provider::MemoryPlatform;

// Candidates for one lease on the virtual clock, with a platform that can fail.
class LeaseTest : public testing::Test {
 protected:
  LeaseTest() {
    for (const char* name : {"a", "b"}) {
      leases_.push_back(std::make_unique<Lease>("verona", DaemonId(name), 1, LeaseOptions{}));
      paused_.push_back(false);
    }
    Tick();
  }

  void Tick() {
    int holders = 0;
    for (std::size_t i = 0; i < leases_.size(); ++i) {
      if (paused_[i]) {
        continue;
      }
      Lease& lease = *leases_[i];
      holders += lease.IsHeld(clock_.now()) ? 1 : 0;
      if (auto operation = lease.Tick(clock_.now())) {
        Run(lease, *operation);
      }
    }
    EXPECT_LE(holders, 1) << ToSeconds(clock_.now().time_since_epoch());
    clock_.After(100ms, [this] { Tick(); });
  }

  void Run(Lease& lease, const Lease::Operation& operation) {
    if (const auto* commit = std::get_if<Lease::CommitRow>(&operation)) {
      platform_.Commit(commit->transaction, [this, &lease](CommitStatus status) {
        lease.OnCommit(status, clock_.now());
      });
      return;
    }
    platform_.Read("lease/verona", [this, &lease](const provider::ReadResult& row) {
      lease.OnRead(row, clock_.now());
    });
  }

  // Replaces the row of the lease, or removes it.
  void WriteRow(std::optional<std::string> value) {
    platform_.Commit({.writes = {{"lease/verona", std::move(value)}}},
                     [](CommitStatus status) { EXPECT_EQ(status, CommitStatus::kCommitted); });
  }

  void RunFor(Duration duration) { clock_.RunUntil(clock_.now() + duration); }
  bool IsHeldBy(std::size_t i) { return leases_[i]->IsHeld(clock_.now()); }

  EventQueue clock_;
  MemoryPlatform platform_{[this](Duration d, auto f) { clock_.After(d, std::move(f)); }};
  std::vector<std::unique_ptr<Lease>> leases_;
  std::vector<bool> paused_;
};

TEST_F(LeaseTest, OneOfTwoCandidatesHoldsTheLeaseAndRenewsIt) {
  RunFor(60s);
  EXPECT_TRUE(IsHeldBy(0));
  EXPECT_FALSE(IsHeldBy(1));
  EXPECT_EQ(leases_[0]->fencing(), 1U);
}

// Guards against a holder that resumes after its lease expired and continues to act on it.
TEST_F(LeaseTest, PausedHolderLosesTheLeaseWhenItResumes) {
  RunFor(20s);
  paused_[0] = true;
  RunFor(25s);
  EXPECT_TRUE(IsHeldBy(1));
  EXPECT_FALSE(IsHeldBy(0));
  EXPECT_EQ(leases_[1]->fencing(), 2U);
  paused_[0] = false;
  RunFor(60s);
  EXPECT_TRUE(IsHeldBy(1));
  EXPECT_FALSE(IsHeldBy(0));
}

// Guards against losing the lease because the response to one renewal was lost.
TEST_F(LeaseTest, LostRenewalResponseIsResolvedByReading) {
  RunFor(20s);
  platform_.SetFaults({.lose_answers = true});
  RunFor(6s);
  platform_.SetFaults({});
  RunFor(30s);
  EXPECT_TRUE(IsHeldBy(0));
  EXPECT_EQ(leases_[0]->fencing(), 1U);
}

// Guards against duties that nobody performs for the length of a lease after a planned stop.
TEST_F(LeaseTest, ReleasedLeaseIsAcquiredBeforeItsDurationEnds) {
  RunFor(20s);
  ASSERT_TRUE(IsHeldBy(0));
  leases_[0]->Release(clock_.now());
  EXPECT_FALSE(IsHeldBy(0));
  EXPECT_TRUE(leases_[0]->releasing());
  RunFor(5s);
  EXPECT_FALSE(leases_[0]->releasing());
  EXPECT_TRUE(IsHeldBy(1));
  EXPECT_EQ(leases_[1]->fencing(), 2U);
}

// Guards against a fencing token that is given twice, because the table has lost the row with it.
TEST_F(LeaseTest, TokensOfLaterAcquisitionsExceedTheFloor) {
  RunFor(20s);
  ASSERT_TRUE(IsHeldBy(0));
  for (const auto& lease : leases_) {
    lease->SetFencingFloor(100);
  }
  RunFor(20s);
  EXPECT_TRUE(IsHeldBy(0));
  EXPECT_EQ(leases_[0]->fencing(), 1U);
  leases_[0]->Release(clock_.now());
  RunFor(5s);
  EXPECT_TRUE(IsHeldBy(1));
  EXPECT_EQ(leases_[1]->fencing(), 101U);
}

TEST_F(LeaseTest, ReleasingAnUnheldLeaseHasNoEffect) {
  RunFor(20s);
  leases_[1]->Release(clock_.now());
  EXPECT_FALSE(leases_[1]->releasing());
  RunFor(20s);
  EXPECT_TRUE(IsHeldBy(0));
}

// Guards against a holder that continues through an outage during which it cannot renew.
TEST_F(LeaseTest, LeaseExpiresInOutageAndIsAcquiredAfterwards) {
  RunFor(20s);
  platform_.SetFaults({.outage = true});
  RunFor(20s);
  EXPECT_FALSE(IsHeldBy(0));
  EXPECT_FALSE(IsHeldBy(1));
  platform_.SetFaults({});
  RunFor(30s);
  EXPECT_TRUE(IsHeldBy(0) || IsHeldBy(1));
}

// Guards against a new holder that sends an order to an engine that ignores fencing tokens while an
// order of the previous holder is still pending.
TEST_F(LeaseTest, NewHolderWaitsForOrdersOfThePreviousHolder) {
  TimePoint first_held_at;
  paused_[1] = true;
  RunFor(5s);
  paused_[1] = false;
  paused_[0] = true;
  while (!IsHeldBy(1)) {
    RunFor(100ms);
  }
  first_held_at = clock_.now();
  EXPECT_FALSE(leases_[1]->IsSafeWithoutFencing(first_held_at));
  EXPECT_TRUE(leases_[1]->IsSafeWithoutFencing(first_held_at + LeaseOptions{}.order_timeout));
}

// Guards against a daemon that acts in an incarnation that others have declared dead.
TEST_F(LeaseTest, HigherIncarnationGivesUpTheLease) {
  RunFor(20s);
  leases_[0]->SetIncarnation(2);
  EXPECT_FALSE(IsHeldBy(0));
  RunFor(40s);
  EXPECT_TRUE(IsHeldBy(0) || IsHeldBy(1));
  EXPECT_EQ(leases_[0]->row().fencing, 2U);
}

// Guards against a deadline that counts from a later write than the one that took effect: the first
// renewal takes effect while the holder is paused between its read and its second renewal.
TEST_F(LeaseTest, DeadlineCountsFromTheWriteThatTookEffect) {
  Lease lease("milan", DaemonId("a"), 1, {});
  const TimePoint start{};
  const auto row_of = [](const Lease::Operation& operation) {
    return *std::get<Lease::CommitRow>(operation).transaction.writes[0].value;
  };
  ASSERT_TRUE(std::holds_alternative<Lease::ReadRow>(*lease.Tick(start)));
  lease.OnRead(provider::Row{}, start);
  const std::string taken = row_of(*lease.Tick(start));
  lease.OnCommit(CommitStatus::kCommitted, start);
  lease.Tick(start + 5s);
  lease.OnRead(provider::Row{.value = taken, .version = 1}, start + 5s);
  const std::string first = row_of(*lease.Tick(start + 5s));
  lease.OnCommit(CommitStatus::kUnknown, start + 7s);
  lease.Tick(start + 7s);
  lease.OnRead(provider::Row{.value = taken, .version = 1}, start + 7s);
  const std::string second = row_of(*lease.Tick(start + 17s));
  EXPECT_NE(first, second);
  lease.OnCommit(CommitStatus::kConflict, start + 17s);
  lease.Tick(start + 17s);
  lease.OnRead(provider::Row{.value = first, .version = 2}, start + 17s);
  EXPECT_FALSE(lease.IsHeld(start + 17s));
}

// Guards against a holder name that contains a space, and against truncated rows.
TEST(LeaseRowTest, FormattedRowParsesToTheSameValue) {
  const LeaseRow row = {.holder = DaemonId("daemon 1"),
                        .incarnation = 5,
                        .fencing = 6,
                        .attempt = 7,
                        .duration = 15s};
  EXPECT_EQ(ParseLeaseRow(FormatLeaseRow(row)), row);
  EXPECT_FALSE(ParseLeaseRow("5 6 7").has_value());
  EXPECT_FALSE(ParseLeaseRow("").has_value());
}

// Guards against fencing tokens that are used twice after the store has returned from a copy in
// which an earlier holder has the lease.
TEST_F(LeaseTest, RowOfAnEarlierHolderThatReturnsDoesNotRepeatTokens) {
  RunFor(20s);
  ASSERT_TRUE(IsHeldBy(0));
  const std::string earlier = FormatLeaseRow(leases_[0]->row());
  paused_[0] = true;
  RunFor(25s);
  ASSERT_EQ(leases_[1]->fencing(), 2U);
  paused_[0] = false;
  RunFor(5s);
  WriteRow(earlier);
  RunFor(60s);
  EXPECT_TRUE(IsHeldBy(0) || IsHeldBy(1));
  EXPECT_GT(leases_[IsHeldBy(0) ? 0 : 1]->fencing(), 2U);
}

// As above, with a copy from before the first holder.
TEST_F(LeaseTest, RowThatIsLostDoesNotRepeatTokens) {
  RunFor(20s);
  ASSERT_EQ(leases_[0]->fencing(), 1U);
  WriteRow(std::nullopt);
  RunFor(60s);
  EXPECT_TRUE(IsHeldBy(0) || IsHeldBy(1));
  EXPECT_GT(leases_[IsHeldBy(0) ? 0 : 1]->fencing(), 1U);
}

// Guards against a candidate that never read the row of the last holder and repeats its token.
TEST_F(LeaseTest, TokensOfPeersAreNotRepeated) {
  paused_[1] = true;
  leases_[0]->RaiseFencing(41);
  RunFor(30s);
  ASSERT_TRUE(IsHeldBy(0));
  EXPECT_EQ(leases_[0]->fencing(), 42U);
}

}  // namespace
}  // namespace savoryglade::capacity
