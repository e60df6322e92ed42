#include "recovery/crash_registry.h"

#include <gtest/gtest.h>

namespace savoryglade {
namespace {

TimePoint At(Duration time) { return TimePoint(100s) + time; }

TEST(CrashRegistryTest, RefusesRequestThatCrashedThreeUpstreams) {
  CrashRegistry crashes;
  crashes.OnCrash(7, 1, At(0s));
  crashes.OnCrash(7, 2, At(1s));
  EXPECT_FALSE(crashes.IsRefused(7, At(1s)));
  crashes.OnCrash(7, 3, At(2s));
  EXPECT_TRUE(crashes.IsRefused(7, At(2s)));
  EXPECT_FALSE(crashes.IsRefused(8, At(2s)));
}

// Guards against refusing a request because a single upstream lost several of its connections.
TEST(CrashRegistryTest, UpstreamCountsOncePerRequest) {
  CrashRegistry crashes;
  for (int i = 0; i < 5; ++i) {
    crashes.OnCrash(7, 1, At(0s));
  }
  EXPECT_FALSE(crashes.IsRefused(7, At(0s)));
}

TEST(CrashRegistryTest, CompleteAnswerClearsRequest) {
  CrashRegistry crashes;
  crashes.OnCrash(7, 1, At(0s));
  crashes.OnCrash(7, 2, At(0s));
  crashes.OnCompleted(7);
  crashes.OnCrash(7, 3, At(0s));
  EXPECT_FALSE(crashes.IsRefused(7, At(0s)));
}

TEST(CrashRegistryTest, PeerRecordsCount) {
  CrashRegistry here;
  CrashRegistry there;
  here.OnCrash(7, 1, At(0s));
  there.OnCrash(7, 2, At(0s));
  there.OnCrash(7, 3, At(0s));
  for (const CrashRecord& record : there.RecentRecords(8, At(0s))) {
    here.OnPeerRecord(record, At(1s));
  }
  EXPECT_TRUE(here.IsRefused(7, At(1s)));
}

// Guards against records that never expire because two daemons keep sending them to each other.
TEST(CrashRegistryTest, RepeatedRecordsDoNotExtendRefusal) {
  CrashRegistry crashes;
  const CrashRecord record{.request = 7, .upstreams = {1, 2, 3}};
  crashes.OnPeerRecord(record, At(0s));
  crashes.OnPeerRecord(record, At(50s));
  EXPECT_TRUE(crashes.IsRefused(7, At(50s)));
  EXPECT_FALSE(crashes.IsRefused(7, At(61s)));
}

// Guards against a request that is repeated slowly enough never to be refused.
TEST(CrashRegistryTest, CrashesThatAreMinutesApartCount) {
  CrashRegistry crashes;
  crashes.OnCrash(7, 1, At(0s));
  crashes.OnCrash(8, 1, At(119s));
  crashes.OnCrash(7, 2, At(120s));
  crashes.OnCrash(8, 2, At(239s));
  crashes.OnCrash(7, 3, At(240s));
  EXPECT_TRUE(crashes.IsRefused(7, At(240s)));
}

TEST(CrashRegistryTest, NumberOfRecordsIsBounded) {
  CrashRegistry crashes;
  for (std::uint64_t request = 0; request < 10'000; ++request) {
    crashes.OnCrash(request, 1, At(std::chrono::milliseconds(request)));
  }
  EXPECT_EQ(crashes.RecentRecords(100'000, At(10s)).size(), 4096U);
}

}  // namespace
}  // namespace savoryglade
