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

TEST(RegistrationViewTest, OnlyChangedRecordsAreReturned) {
  RegistrationView view({});
  EXPECT_EQ(view.Apply({Registered(1)}, false, At(0s)).size(), 1U);
  // A heartbeat changes only the version of the row.
  EXPECT_TRUE(view.Apply({Registered(2)}, false, At(0s)).empty());
  EXPECT_EQ(view.Apply({Registered(3, true)}, false, At(0s)).size(), 1U);
}

TEST(RegistrationViewTest, WithoutAnOutageARemovedRegistrationIsRemovedAtOnce) {
  RegistrationView view({});
  view.Apply({Registered(1)}, false, At(0s));
  const auto applied = view.Apply({Removed(2)}, false, At(1s));
  ASSERT_EQ(applied.size(), 1U);
  EXPECT_FALSE(applied[0].record);
}

// Guards against losing all upstreams when their registrations expire during an outage of the
// store.
TEST(RegistrationViewTest, ARegistrationThatExpiresInAnOutageIsDoubtfulUntilItReturns) {
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

// Guards against sending work for too long to an upstream that stopped while this daemon could not
// reach the store: its registration was really removed.
TEST(RegistrationViewTest, ARegistrationThatStaysMissingExpiresAfterTheSettleTime) {
  RegistrationView view({.settle_time = 2s});
  view.Apply({Registered(1)}, false, At(0s));
  view.OnStoreFailure();
  view.OnStoreFailure();
  view.Apply({Removed(2)}, false, At(6s));
  EXPECT_TRUE(view.Expire(At(7900ms)).empty());
  EXPECT_EQ(view.Expire(At(8s)).size(), 1U);
  EXPECT_TRUE(view.Expire(At(9s)).empty());
}

TEST(RegistrationViewTest, ARemovalAfterTheSettleTimeTakesEffectAtOnce) {
  RegistrationView view({.settle_time = 2s});
  view.Apply({Registered(1)}, false, At(0s));
  view.OnStoreFailure();
  view.Apply({}, false, At(6s));
  const auto applied = view.Apply({Removed(2)}, false, At(8s));
  ASSERT_EQ(applied.size(), 1U);
  EXPECT_FALSE(applied[0].record);
}

// Guards against keeping an upstream that announced its shutdown because of an outage of the store.
TEST(RegistrationViewTest, ALeavingUpstreamIsRemovedAtOnceEvenInAnOutage) {
  RegistrationView view({});
  view.Apply({Registered(1, true)}, false, At(0s));
  view.OnStoreFailure();
  const auto applied = view.Apply({Removed(2)}, false, At(1s));
  ASSERT_EQ(applied.size(), 1U);
  EXPECT_FALSE(applied[0].record);
}

// Guards against an upstream that stays doubtful forever because the daemon that found its
// registration missing has stopped.
TEST(RegistrationViewTest, ARegistrationMarkedDoubtfulByAnotherDaemonExpires) {
  RegistrationView view({.settle_time = 2s});
  RegistrationChange doubtful_change = Registered(2);
  doubtful_change.record->doubtful = true;
  view.Apply({Registered(1)}, false, At(0s));
  EXPECT_EQ(view.Apply({doubtful_change}, false, At(1s)).size(), 1U);
  EXPECT_TRUE(view.Expire(At(2900ms)).empty());
  EXPECT_EQ(view.Expire(At(3s)).size(), 1U);
}

TEST(RegistrationViewTest, AFullListingRemovesMissingRegistrations) {
  RegistrationView view({});
  view.Apply({Registered(1)}, false, At(0s));
  EXPECT_EQ(view.Apply({}, true, At(1s)).size(), 1U);
}

// Guards against losing an upstream that registered after a full listing was read, and that another
// daemon had already reported.
TEST(RegistrationViewTest, AFullListingKeepsNewerRegistrations) {
  RegistrationView view({});
  view.Apply({Registered(7)}, false, At(0s));
  EXPECT_TRUE(view.Apply({}, true, At(1s), 6).empty());
  EXPECT_EQ(view.Apply({}, true, At(2s), 8).size(), 1U);
}

// Guards against a stale read that restores a registration that has changed since.
TEST(RegistrationViewTest, AnOutdatedChangeIsIgnored) {
  RegistrationView view({});
  view.Apply({Registered(5, true)}, false, At(0s));
  EXPECT_TRUE(view.Apply({Registered(4)}, false, At(0s)).empty());
}

// Guards against sending work to an upstream whose notice an older copy of the store lacks.
TEST(RegistrationViewTest, AnOlderCopyDoesNotTakeBackANotice) {
  RegistrationView view({});
  RegistrationChange leaving = Registered(5, true);
  leaving.record->started_ms = 70;
  RegistrationChange ready = Registered(6);
  ready.record->started_ms = 70;
  view.Apply({leaving}, false, At(0s));
  EXPECT_TRUE(view.Apply({ready}, true, At(1s)).empty());
  // A later process under the same name may be ready.
  ready.record->started_ms = 71;
  ready.version = 7;
  EXPECT_EQ(view.Apply({ready}, false, At(2s)).size(), 1U);
}

}  // namespace
}  // namespace savoryglade
