#include "membership/feed_reorder_buffer.h"

#include <gtest/gtest.h>

#include <string>

namespace savoryglade {
namespace {

FeedUpdate News(std::uint64_t after, std::uint64_t position) {
  return {.after = after, .position = position};
}

std::vector<std::uint64_t> Positions(const std::vector<FeedUpdate>& news) {
  std::vector<std::uint64_t> positions;
  positions.reserve(news.size());
  for (const FeedUpdate& item : news) {
    positions.push_back(item.position);
  }
  return positions;
}

TEST(FeedReorderBufferTest, NewsThatGoOnAreTaken) {
  FeedReorderBuffer gaps;
  EXPECT_EQ(Positions(gaps.Insert(News(5, 9), 7)), (std::vector<std::uint64_t>{9}));
  EXPECT_EQ(Positions(gaps.Insert(News(9, 9), 9)), (std::vector<std::uint64_t>{9}));
  EXPECT_TRUE(gaps.Insert(News(1, 4), 9).empty());
}

// Load pattern: thousands of registrations over slow links. An own read ended before the news that
// came meanwhile, and the next ones left a gap again, so that every daemon read everything.
TEST(FeedReorderBufferTest, NewsThatCameDuringAReadAreTakenBehindIt) {
  FeedReorderBuffer gaps;
  EXPECT_TRUE(gaps.Insert(News(20, 30), 5).empty());
  EXPECT_TRUE(gaps.Insert(News(30, 40), 5).empty());
  EXPECT_EQ(Positions(gaps.Release(25)), (std::vector<std::uint64_t>{30, 40}));
  EXPECT_EQ(Positions(gaps.Insert(News(40, 50), 40)), (std::vector<std::uint64_t>{50}));
}

// Guards against applying news behind a datagram that was lost.
TEST(FeedReorderBufferTest, NewsBehindAGapWait) {
  FeedReorderBuffer gaps;
  EXPECT_TRUE(gaps.Insert(News(20, 30), 10).empty());
  EXPECT_TRUE(gaps.Release(19).empty());
  EXPECT_EQ(Positions(gaps.Insert(News(10, 20), 10)), (std::vector<std::uint64_t>{20, 30}));
}

TEST(FeedReorderBufferTest, WaitingNewsAreBounded) {
  FeedReorderBuffer gaps;
  for (std::uint64_t i = 0; i < 1000; ++i) {
    gaps.Insert(News(100 + i, 101 + i), 5);
  }
  EXPECT_LE(gaps.Release(2000).size(), 32U);
}

// Guards against news that are too large for a datagram, when a thousand upstreams register.
TEST(FeedReorderBufferTest, LargeNewsAreDividedIntoPartsThatFollowEachOther) {
  FeedUpdate news = News(10, 2000);
  for (std::uint64_t version = 1000; version > 10; --version) {
    news.changes.push_back({.id = UpstreamId(std::to_string(version)), .version = version});
  }
  FeedReorderBuffer gaps;
  std::uint64_t position = 10;
  std::size_t changes = 0;
  for (const FeedUpdate& part : SplitFeedUpdate(news, 200)) {
    EXPECT_LE(part.changes.size(), 200U);
    for (const FeedUpdate& taken : gaps.Insert(part, position)) {
      position = taken.position;
      changes += taken.changes.size();
    }
  }
  EXPECT_EQ(position, 2000U);
  EXPECT_EQ(changes, 990U);
}

TEST(FeedReorderBufferTest, EmptyNewsStayOnePart) {
  const std::vector<FeedUpdate> parts = SplitFeedUpdate(News(10, 20), 200);
  ASSERT_EQ(parts.size(), 1U);
  EXPECT_EQ(parts[0].position, 20U);
}

}  // namespace
}  // namespace savoryglade
