#include "recovery/crash_registry.h"

#include <gtest/gtest.h>

namespace savoryglade {
namespace {

TimePoint At(Duration time) { return TimePoint(100s) + time; }

TEST(CrashRegistryTest, RefusesRequestThatCrashedThreeUpstreams) {
  CrashRegistry crashes;
  crashes.OnLoss(7, 1, At(0s));
  crashes.OnLoss(7, 2, At(1s));
  EXPECT_FALSE(crashes.IsRefused(7, At(1s)));
  crashes.OnLoss(7, 3, At(2s));
  EXPECT_TRUE(crashes.IsRefused(7, At(2s)));
  EXPECT_FALSE(crashes.IsRefused(8, At(2s)));
}

// Guards against refusing a request because a single upstream lost several of its connections.
TEST(CrashRegistryTest, UpstreamCountsOncePerRequest) {
  CrashRegistry crashes;
  for (int i = 0; i < 5; ++i) {
    crashes.OnLoss(7, 1, At(0s));
  }
  EXPECT_FALSE(crashes.IsRefused(7, At(0s)));
}

TEST(CrashRegistryTest, CompleteAnswerClearsRequest) {
  CrashRegistry crashes;
  crashes.OnLoss(7, 1, At(0s));
  crashes.OnLoss(7, 2, At(0s));
  EXPECT_TRUE(crashes.OnAnswer(7, At(0s)));
  crashes.OnLoss(7, 3, At(0s));
  EXPECT_FALSE(crashes.IsRefused(7, At(0s)));
}

TEST(CrashRegistryTest, PeerRecordsCount) {
  CrashRegistry here;
  CrashRegistry there;
  here.OnLoss(7, 1, At(0s));
  there.OnLoss(7, 2, At(0s));
  there.OnLoss(7, 3, At(0s));
  for (const CrashRecord& record : there.SelectForReport(8, At(0s))) {
    here.OnPeerRecord(record, At(1s));
  }
  EXPECT_TRUE(here.IsRefused(7, At(1s)));
}

// Guards against records that never expire because two daemons keep sending them to each other.
TEST(CrashRegistryTest, RepeatedRecordsDoNotExtendRefusal) {
  CrashRegistry crashes;
  const CrashRecord record{.request = 7, .losses = {{1}, {2}, {3}}};
  crashes.OnPeerRecord(record, At(0s));
  crashes.OnPeerRecord(record, At(50s));
  EXPECT_TRUE(crashes.IsRefused(7, At(50s)));
  EXPECT_FALSE(crashes.IsRefused(7, At(61s)));
}

// Guards against a request that is repeated slowly enough never to be refused.
TEST(CrashRegistryTest, CrashesThatAreMinutesApartCount) {
  CrashRegistry crashes;
  crashes.OnLoss(7, 1, At(0s));
  crashes.OnLoss(8, 1, At(119s));
  crashes.OnLoss(7, 2, At(120s));
  crashes.OnLoss(8, 2, At(239s));
  crashes.OnLoss(7, 3, At(240s));
  EXPECT_TRUE(crashes.IsRefused(7, At(240s)));
}

// Guards against refusing a harmless request for ever because several upstreams were lost together.
TEST(CrashRegistryTest, RefusalEndsAndOneMoreLossDoublesIt) {
  CrashRegistry crashes;
  for (std::uint64_t upstream = 1; upstream <= 12; ++upstream) {
    crashes.OnLoss(7, upstream, At(0s));
  }
  EXPECT_EQ(crashes.RemainingRefusal(7, At(0s)), 60s);
  EXPECT_FALSE(crashes.IsRefused(7, At(61s)));
  crashes.OnLoss(7, 20, At(61s));
  EXPECT_EQ(crashes.RemainingRefusal(7, At(61s)), 120s);
  EXPECT_FALSE(crashes.IsRefused(7, At(182s)));
  EXPECT_TRUE(crashes.OnAnswer(7, At(182s)));
  crashes.OnLoss(7, 21, At(190s));
  EXPECT_FALSE(crashes.IsRefused(7, At(190s)));
}

// Guards against a request that runs more often than the bound allows because each refusal is
// followed by several runs.
TEST(CrashRegistryTest, RequestThatIsRepeatedEverySecondRunsEightTimesInAnHour) {
  CrashRegistry crashes;
  int runs = 0;
  for (Duration time = Duration::zero(); time < 1h; time += 1s) {
    if (!crashes.IsRefused(7, At(time))) {
      crashes.OnLoss(7, static_cast<std::uint64_t>(++runs), At(time));
    }
  }
  EXPECT_EQ(runs, 3 + 5);
}

TEST(CrashRegistryTest, AnswerSeenByOneDaemonDiscardsTheLossesOfAll) {
  CrashRegistry here;
  CrashRegistry there;
  here.OnLoss(7, 1, At(0s));
  here.OnLoss(7, 2, At(0s));
  there.OnLoss(7, 3, At(0s));
  EXPECT_TRUE(there.OnAnswer(7, At(2s)));
  for (const CrashRecord& record : there.SelectForReport(8, At(2s))) {
    EXPECT_TRUE(here.OnPeerRecord(record, At(2s)));
  }
  EXPECT_EQ(here.LossCount(7), 0U);
  // A report that was delayed does not bring the losses back.
  EXPECT_FALSE(here.OnPeerRecord({.request = 7, .losses = {{.upstream = 1, .age = 2s}}}, At(2s)));
  here.OnLoss(7, 4, At(10s));
  EXPECT_EQ(here.LossCount(7), 1U);
}

// Guards against records that daemons revive by sending each other what has expired.
TEST(CrashRegistryTest, ExpiredRecordsOfPeersAreIgnored) {
  CrashRegistry crashes;
  EXPECT_FALSE(
      crashes.OnPeerRecord({.request = 7, .losses = {{.upstream = 1, .age = 601s}}}, At(0s)));
  EXPECT_EQ(crashes.size(), 0U);
}

TEST(CrashRegistryTest, DaemonStoresItsRepeatedLossesUntilTheStoredRecordIsComplete) {
  CrashRegistry crashes;
  crashes.OnLoss(7, 1, At(0s));
  EXPECT_TRUE(crashes.SelectForStorage(At(0s)).empty());
  crashes.OnLoss(7, 2, At(0s));
  ASSERT_EQ(crashes.SelectForStorage(At(0s)).size(), 1U);
  crashes.OnStored(crashes.SelectForStorage(At(0s)).front());
  EXPECT_TRUE(crashes.SelectForStorage(At(0s)).empty());
  // Another daemon has overwritten the record with what it knew.
  EXPECT_TRUE(crashes.OnStoredRecord({.request = 7, .losses = {{2}, {3}}}, At(0s)));
  const std::vector<CrashRecord> selected = crashes.SelectForStorage(At(0s));
  ASSERT_EQ(selected.size(), 1U);
  EXPECT_EQ(selected.front().losses.size(), 3U);
  crashes.OnStored(selected.front());
  // An answer removes the stored record.
  crashes.OnAnswer(7, At(1s));
  ASSERT_EQ(crashes.SelectForStorage(At(1s)).size(), 1U);
  EXPECT_TRUE(crashes.SelectForStorage(At(1s)).front().losses.empty());
  crashes.OnStored(crashes.SelectForStorage(At(1s)).front());
  EXPECT_TRUE(crashes.SelectForStorage(At(1s)).empty());
}

TEST(CrashRegistryTest, DaemonDoesNotStoreLossesOfOthers) {
  CrashRegistry crashes;
  crashes.OnPeerRecord({.request = 7, .losses = {{1}, {2}, {3}}}, At(0s));
  EXPECT_TRUE(crashes.IsRefused(7, At(0s)));
  EXPECT_TRUE(crashes.SelectForStorage(At(0s)).empty());
}

// Guards against losses that are forgotten one at a time when all daemons are restarted.
TEST(CrashRegistryTest, SingleLossIsStoredUnlessAnAnswerFollowsSoon) {
  CrashRegistry crashes;
  crashes.OnLoss(7, 1, At(0s));
  crashes.OnLoss(8, 1, At(0s));
  EXPECT_TRUE(crashes.OnAnswer(8, At(300ms)));
  const std::vector<CrashRecord> selected = crashes.SelectForStorage(At(1s));
  ASSERT_EQ(selected.size(), 1U);
  EXPECT_EQ(selected.front().request, 7U);
  crashes.OnStored(selected.front());
  EXPECT_TRUE(crashes.SelectForStorage(At(2s)).empty());
  crashes.OnAnswer(7, At(3s));
  EXPECT_TRUE(crashes.SelectForStorage(At(3s)).empty());
  EXPECT_EQ(crashes.NextStorageAt(), TimePoint::max());
}

// Guards against reports that carry old records for as long as these are kept.
TEST(CrashRegistryTest, UnchangedRecordsLeaveTheReportsUnlessRefused) {
  CrashRegistry crashes;
  for (std::uint64_t request = 1; request <= 20; ++request) {
    crashes.OnLoss(request, 1, At(0s));
  }
  crashes.OnLoss(7, 2, At(0s));
  crashes.OnLoss(7, 3, At(0s));
  for (int report = 0; report < 4; ++report) {
    EXPECT_EQ(crashes.SelectForReport(48, At(1s)).size(), 20U);
  }
  const std::vector<CrashRecord> later = crashes.SelectForReport(48, At(2s));
  ASSERT_EQ(later.size(), 1U);
  EXPECT_EQ(later.front().request, 7U);
  crashes.OnLoss(9, 2, At(3s));
  EXPECT_EQ(crashes.SelectForReport(48, At(3s)).size(), 2U);
}

TEST(CrashRegistryTest, NumberOfRecordsIsBounded) {
  CrashRegistry crashes;
  for (std::uint64_t request = 0; request < 10'000; ++request) {
    crashes.OnLoss(request, 1, At(std::chrono::milliseconds(request)));
  }
  EXPECT_EQ(crashes.SelectForReport(100'000, At(10s)).size(), 4096U);
}

// Guards against a part of prompts that ends more than five upstreams.
TEST(PartCrashRegistryTest, PartIsRefusedAfterFiveLosses) {
  CrashRegistry crashes(kPartCrashPolicy);
  for (std::uint64_t upstream = 1; upstream <= 4; ++upstream) {
    crashes.OnLoss(7, upstream, At(0s));
  }
  EXPECT_FALSE(crashes.IsRefused(7, At(0s)));
  crashes.OnLoss(7, 5, At(1s));
  EXPECT_TRUE(crashes.IsRefused(7, At(1s)));
  EXPECT_TRUE(crashes.IsRefused(7, At(500s)));
}

// Guards against refusing a part of sound requests that ran beside the crashing ones.
TEST(PartCrashRegistryTest, AnsweredPartCollectsNoLosses) {
  CrashRegistry crashes(kPartCrashPolicy);
  EXPECT_FALSE(crashes.OnAnswer(7, At(0s)));
  for (std::uint64_t upstream = 1; upstream <= 9; ++upstream) {
    crashes.OnLoss(7, upstream, At(1s));
  }
  EXPECT_EQ(crashes.LossCount(7), 0U);
  EXPECT_TRUE(crashes.SelectForReport(10, At(1s)).empty());
}

// Guards against a part that is never refused because it was answered long ago.
TEST(PartCrashRegistryTest, AnAnswerIsForgotten) {
  CrashRegistry crashes(kPartCrashPolicy);
  crashes.OnAnswer(7, At(0s));
  crashes.OnAnswer(8, At(61s));
  crashes.OnAnswer(8, At(122s));
  for (std::uint64_t upstream = 1; upstream <= 5; ++upstream) {
    crashes.OnLoss(7, upstream, At(123s));
  }
  EXPECT_TRUE(crashes.IsRefused(7, At(123s)));
}

// Guards against a verdict on losses that only one daemon saw, while others have answers.
TEST(PartCrashRegistryTest, AnswerAtAPeerDiscardsTheLosses) {
  CrashRegistry here(kPartCrashPolicy);
  CrashRegistry there(kPartCrashPolicy);
  there.OnAnswer(7, At(0s));
  for (std::uint64_t upstream = 1; upstream <= 5; ++upstream) {
    here.OnLoss(7, upstream, At(1s));
  }
  EXPECT_TRUE(here.IsRefused(7, At(1s)));
  EXPECT_FALSE(there.OnPeerRecord(here.SelectForReport(1, At(1s)).front(), At(1s)));
  const std::vector<CrashRecord> reported = there.SelectForReport(1, At(1s));
  ASSERT_EQ(reported.size(), 1U);
  EXPECT_TRUE(here.OnPeerRecord(reported.front(), At(1s)));
  EXPECT_FALSE(here.IsRefused(7, At(1s)));
  here.OnLoss(7, 6, At(2s));
  EXPECT_EQ(here.LossCount(7), 0U);
}

}  // namespace
}  // namespace savoryglade
