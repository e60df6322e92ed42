#include "membership/registration_view.h"

#include <gtest/gtest.h>

namespace savoryglade {
namespace {

const UpstreamId kWorker("worker");

TimePoint At(Duration time) { return TimePoint(100s) + time; }

RegistrationChange Registered(std::uint64_t version, bool leaving = false) {
  return {.id = kWorker,
          .record = UpstreamRecord{.id = kWorker, .service = ServiceId("a"), .leaving = leaving},
          .version = version};
}

RegistrationChange Removed(std::uint64_t version) { return {.id = kWorker, .version = version}; }

TEST(RegistrationViewTest, TellsOnlyWhatChanges) {
  RegistrationView view({});
  EXPECT_EQ(view.Apply({Registered(1)}, false, At(0s)).size(), 1U);
  // A heartbeat changes nothing but the version of the row.
  EXPECT_TRUE(view.Apply({Registered(2)}, false, At(0s)).empty());
  EXPECT_EQ(view.Apply({Registered(3, true)}, false, At(0s)).size(), 1U);
}

TEST(RegistrationViewTest, AnUpstreamThatLeavesInQuietTimesIsGoneAtOnce) {
  RegistrationView view({});
  view.Apply({Registered(1)}, false, At(0s));
  const auto applied = view.Apply({Removed(2)}, false, At(1s));
  ASSERT_EQ(applied.size(), 1U);
  EXPECT_FALSE(applied[0].record);
}

// Guards against losing all upstreams when their registrations expire while the store is down.
TEST(RegistrationViewTest, ARegistrationThatExpiresInADisturbanceIsDoubtfulForAWhile) {
  RegistrationView view({.settle_time = 2s});
  view.Apply({Registered(1)}, false, At(0s));
  view.OnStoreFailure();
  const auto applied = view.Apply({Removed(2)}, false, At(6s));
  ASSERT_EQ(applied.size(), 1U);
  ASSERT_TRUE(applied[0].record);
  EXPECT_TRUE(applied[0].record->doubtful);
  EXPECT_TRUE(view.Expire(At(7s)).empty());
  // It registers again in time.
  const auto back = view.Apply({Registered(3)}, false, At(7s));
  ASSERT_EQ(back.size(), 1U);
  EXPECT_FALSE(back[0].record->doubtful);
  EXPECT_TRUE(view.Expire(At(20s)).empty());
}

// Guards against work for an upstream that left while this daemon was cut off from the store: its
// removal was real, and it was kept for too long after the cut.
TEST(RegistrationViewTest, ARegistrationThatStaysMissingIsGoneSoonAfterTheStoreAnswers) {
  RegistrationView view({.settle_time = 2s});
  view.Apply({Registered(1)}, false, At(0s));
  view.OnStoreFailure();
  view.OnStoreFailure();
  view.Apply({Removed(2)}, false, At(6s));
  EXPECT_TRUE(view.Expire(At(7900ms)).empty());
  EXPECT_EQ(view.Expire(At(8s)).size(), 1U);
  EXPECT_TRUE(view.Expire(At(9s)).empty());
}

TEST(RegistrationViewTest, AnswersAfterTheTimeToSettleAreTrusted) {
  RegistrationView view({.settle_time = 2s});
  view.Apply({Registered(1)}, false, At(0s));
  view.OnStoreFailure();
  view.Apply({}, false, At(6s));
  const auto applied = view.Apply({Removed(2)}, false, At(8s));
  ASSERT_EQ(applied.size(), 1U);
  EXPECT_FALSE(applied[0].record);
}

// Guards against an upstream that gave notice and is kept because the store was disturbed.
TEST(RegistrationViewTest, ALeavingUpstreamIsGoneEvenInADisturbance) {
  RegistrationView view({});
  view.Apply({Registered(1, true)}, false, At(0s));
  view.OnStoreFailure();
  const auto applied = view.Apply({Removed(2)}, false, At(1s));
  ASSERT_EQ(applied.size(), 1U);
  EXPECT_FALSE(applied[0].record);
}

// Guards against an upstream that stays in doubt for ever because another daemon, which saw that
// its registration was missing, has ended.
TEST(RegistrationViewTest, AnUpstreamThatAnotherDaemonDoubtsIsGoneInTime) {
  RegistrationView view({.settle_time = 2s});
  RegistrationChange doubtful_change = Registered(2);
  doubtful_change.record->doubtful = true;
  view.Apply({Registered(1)}, false, At(0s));
  EXPECT_EQ(view.Apply({doubtful_change}, false, At(1s)).size(), 1U);
  EXPECT_TRUE(view.Expire(At(2900ms)).empty());
  EXPECT_EQ(view.Expire(At(3s)).size(), 1U);
}

TEST(RegistrationViewTest, AWholeListingRemovesWhatItDoesNotName) {
  RegistrationView view({});
  view.Apply({Registered(1)}, false, At(0s));
  EXPECT_EQ(view.Apply({}, true, At(1s)).size(), 1U);
}

// Guards against losing an upstream that another daemon has read of while this one was reading all
// registrations, which were older.
TEST(RegistrationViewTest, AWholeListingKeepsWhatIsNewer) {
  RegistrationView view({});
  view.Apply({Registered(7)}, false, At(0s));
  EXPECT_TRUE(view.Apply({}, true, At(1s), 6).empty());
  EXPECT_EQ(view.Apply({}, true, At(2s), 8).size(), 1U);
}

// Guards against a stale read that brings back a registration that has changed since.
TEST(RegistrationViewTest, OldNewsChangesNothing) {
  RegistrationView view({});
  view.Apply({Registered(5, true)}, false, At(0s));
  EXPECT_TRUE(view.Apply({Registered(4)}, false, At(0s)).empty());
}

}  // namespace
}  // namespace savoryglade
