#include "membership/feed_reorder_buffer.h"

#include <gtest/gtest.h>

#include <string>

namespace savoryglade {
namespace {

FeedUpdate Update(std::uint64_t after, std::uint64_t position) {
  return {.after = after, .position = position};
}

std::vector<std::uint64_t> Positions(const std::vector<FeedUpdate>& updates) {
  std::vector<std::uint64_t> positions;
  positions.reserve(updates.size());
  for (const FeedUpdate& update : updates) {
    positions.push_back(update.position);
  }
  return positions;
}

TEST(FeedReorderBufferTest, ContinuousUpdatesAreReleasedAtOnce) {
  FeedReorderBuffer buffer;
  EXPECT_EQ(Positions(buffer.Insert(Update(5, 9), 7)), (std::vector<std::uint64_t>{9}));
  EXPECT_EQ(Positions(buffer.Insert(Update(9, 9), 9)), (std::vector<std::uint64_t>{9}));
  EXPECT_TRUE(buffer.Insert(Update(1, 4), 9).empty());
}

// Guards against every daemon reading all changes itself, with thousands of registrations over slow
// links: a daemon's own read ends before the updates received meanwhile, so each of them leaves a
// gap.
TEST(FeedReorderBufferTest, UpdatesReceivedDuringAReadAreReleasedAfterIt) {
  FeedReorderBuffer buffer;
  EXPECT_TRUE(buffer.Insert(Update(20, 30), 5).empty());
  EXPECT_TRUE(buffer.Insert(Update(30, 40), 5).empty());
  EXPECT_EQ(Positions(buffer.Release(25)), (std::vector<std::uint64_t>{30, 40}));
  EXPECT_EQ(Positions(buffer.Insert(Update(40, 50), 40)), (std::vector<std::uint64_t>{50}));
}

// Guards against applying the updates that follow a lost datagram.
TEST(FeedReorderBufferTest, UpdatesAfterAGapAreHeldUntilItIsClosed) {
  FeedReorderBuffer buffer;
  EXPECT_TRUE(buffer.Insert(Update(20, 30), 10).empty());
  EXPECT_TRUE(buffer.Release(19).empty());
  EXPECT_EQ(Positions(buffer.Insert(Update(10, 20), 10)), (std::vector<std::uint64_t>{20, 30}));
}

TEST(FeedReorderBufferTest, NumberOfBufferedUpdatesIsBounded) {
  FeedReorderBuffer buffer;
  for (std::uint64_t i = 0; i < 1000; ++i) {
    buffer.Insert(Update(100 + i, 101 + i), 5);
  }
  EXPECT_LE(buffer.Release(2000).size(), 32U);
}

// Guards against updates too large for a datagram, for example after a thousand registrations.
TEST(FeedReorderBufferTest, LargeUpdateIsSplitIntoConsecutiveParts) {
  FeedUpdate update = Update(10, 2000);
  for (std::uint64_t version = 1000; version > 10; --version) {
    update.changes.push_back({.id = UpstreamId(std::to_string(version)), .version = version});
  }
  FeedReorderBuffer buffer;
  std::uint64_t position = 10;
  std::size_t changes = 0;
  for (const FeedUpdate& part : SplitFeedUpdate(update, 200)) {
    EXPECT_LE(part.changes.size(), 200U);
    for (const FeedUpdate& released : buffer.Insert(part, position)) {
      position = released.position;
      changes += released.changes.size();
    }
  }
  EXPECT_EQ(position, 2000U);
  EXPECT_EQ(changes, 990U);
}

TEST(FeedReorderBufferTest, EmptyUpdateStaysOnePart) {
  const std::vector<FeedUpdate> parts = SplitFeedUpdate(Update(10, 20), 200);
  ASSERT_EQ(parts.size(), 1U);
  EXPECT_EQ(parts[0].position, 20U);
}

}  // namespace
}  // namespace savoryglade
