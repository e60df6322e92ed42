#include "membership/registration_view.h"

#include <gtest/gtest.h>

namespace savoryglade {
namespace {

const UpstreamId kWorker("worker");

TimePoint At(Duration time) { return TimePoint(100s) + time; }

RegistrationChange Present(std::uint64_t version, bool leaving = false) {
  return {.id = kWorker,
          .record = UpstreamRecord{.id = kWorker, .service = ServiceId("a"), .leaving = leaving},
          .version = version};
}

RegistrationChange Gone(std::uint64_t version) { return {.id = kWorker, .version = version}; }

TEST(RegistrationViewTest, TellsOnlyWhatChanges) {
  RegistrationView view({});
  EXPECT_EQ(view.Apply({Present(1)}, false, At(0s)).size(), 1U);
  // A heartbeat changes nothing but the version of the row.
  EXPECT_TRUE(view.Apply({Present(2)}, false, At(0s)).empty());
  EXPECT_EQ(view.Apply({Present(3, true)}, false, At(0s)).size(), 1U);
}

TEST(RegistrationViewTest, AnUpstreamThatLeavesInQuietTimesIsGoneAtOnce) {
  RegistrationView view({});
  view.Apply({Present(1)}, false, At(0s));
  const auto news = view.Apply({Gone(2)}, false, At(1s));
  ASSERT_EQ(news.size(), 1U);
  EXPECT_FALSE(news[0].record);
}

// Guards against losing all upstreams when their registrations expire while the store is down.
TEST(RegistrationViewTest, ARegistrationThatExpiresInADisturbanceIsDoubtfulForAWhile) {
  RegistrationView view({.settle = 2s});
  view.Apply({Present(1)}, false, At(0s));
  view.OnStoreFailure();
  const auto news = view.Apply({Gone(2)}, false, At(6s));
  ASSERT_EQ(news.size(), 1U);
  ASSERT_TRUE(news[0].record);
  EXPECT_TRUE(news[0].record->doubtful);
  EXPECT_TRUE(view.Expire(At(7s)).empty());
  // It registers again in time.
  const auto back = view.Apply({Present(3)}, false, At(7s));
  ASSERT_EQ(back.size(), 1U);
  EXPECT_FALSE(back[0].record->doubtful);
  EXPECT_TRUE(view.Expire(At(20s)).empty());
}

// Guards against work for an upstream that left while this daemon was cut off from the store: its
// removal was real, and it was kept for too long after the cut.
TEST(RegistrationViewTest, ARegistrationThatStaysMissingIsGoneSoonAfterTheStoreAnswers) {
  RegistrationView view({.settle = 2s});
  view.Apply({Present(1)}, false, At(0s));
  view.OnStoreFailure();
  view.OnStoreFailure();
  view.Apply({Gone(2)}, false, At(6s));
  EXPECT_TRUE(view.Expire(At(7900ms)).empty());
  EXPECT_EQ(view.Expire(At(8s)).size(), 1U);
  EXPECT_TRUE(view.Expire(At(9s)).empty());
}

TEST(RegistrationViewTest, AnswersAfterTheTimeToSettleAreTrusted) {
  RegistrationView view({.settle = 2s});
  view.Apply({Present(1)}, false, At(0s));
  view.OnStoreFailure();
  view.Apply({}, false, At(6s));
  const auto news = view.Apply({Gone(2)}, false, At(8s));
  ASSERT_EQ(news.size(), 1U);
  EXPECT_FALSE(news[0].record);
}

// Guards against an upstream that gave notice and is kept because the store was disturbed.
TEST(RegistrationViewTest, ALeavingUpstreamIsGoneEvenInADisturbance) {
  RegistrationView view({});
  view.Apply({Present(1, true)}, false, At(0s));
  view.OnStoreFailure();
  const auto news = view.Apply({Gone(2)}, false, At(1s));
  ASSERT_EQ(news.size(), 1U);
  EXPECT_FALSE(news[0].record);
}

// Guards against an upstream that stays in doubt for ever because another daemon, which saw that
// its registration was missing, has ended.
TEST(RegistrationViewTest, AnUpstreamThatAnotherDaemonDoubtsIsGoneInTime) {
  RegistrationView view({.settle = 2s});
  RegistrationChange doubt = Present(2);
  doubt.record->doubtful = true;
  view.Apply({Present(1)}, false, At(0s));
  EXPECT_EQ(view.Apply({doubt}, false, At(1s)).size(), 1U);
  EXPECT_TRUE(view.Expire(At(2900ms)).empty());
  EXPECT_EQ(view.Expire(At(3s)).size(), 1U);
}

TEST(RegistrationViewTest, AWholeListingRemovesWhatItDoesNotName) {
  RegistrationView view({});
  view.Apply({Present(1)}, false, At(0s));
  EXPECT_EQ(view.Apply({}, true, At(1s)).size(), 1U);
}

// Guards against losing an upstream that another daemon has read of while this one was reading all
// registrations, which were older.
TEST(RegistrationViewTest, AWholeListingKeepsWhatIsNewer) {
  RegistrationView view({});
  view.Apply({Present(7)}, false, At(0s));
  EXPECT_TRUE(view.Apply({}, true, At(1s), 6).empty());
  EXPECT_EQ(view.Apply({}, true, At(2s), 8).size(), 1U);
}

// Guards against a stale read that brings back a registration that has changed since.
TEST(RegistrationViewTest, OldNewsChangesNothing) {
  RegistrationView view({});
  view.Apply({Present(5, true)}, false, At(0s));
  EXPECT_TRUE(view.Apply({Present(4)}, false, At(0s)).empty());
}

}  // namespace
}  // namespace savoryglade
