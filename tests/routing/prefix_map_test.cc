#include "routing/prefix_map.h"

#include <cmath>
#include <cstdint>
#include <vector>

#include "gtest/gtest.h"

namespace savoryglade {
namespace {

using Kind = CacheEvent::Kind;
const TimePoint kNow{};

using Hashes = std::vector<std::uint64_t>;

std::vector<std::uint64_t> Prompt(std::uint64_t first, std::size_t blocks) {
  std::vector<std::uint64_t> hashes;
  for (std::size_t i = 0; i < blocks; ++i) {
    hashes.push_back(first + i);
  }
  return hashes;
}

// Guards against prefix affinity that ignores the length of the match.
TEST(PrefixMapTest, MatchIsTheLongestRecordedPrefix) {
  PrefixMap map(1000);
  const auto prompt = Prompt(100, 37);
  for (std::size_t held = 0; held <= prompt.size(); ++held) {
    const auto upstream = static_cast<UpstreamNumber>(held);
    map.Record(std::span(prompt).first(held), upstream, kNow);
    EXPECT_EQ(map.Match(prompt, upstream).blocks, held);
  }
}

// Guards against choosing an upstream for blocks that it has evicted.
TEST(PrefixMapTest, EvictedBlocksNoLongerMatch) {
  PrefixMap map(1000);
  const auto prompt = Prompt(100, 10);
  map.OnEvent(1, {.sequence = 1, .kind = Kind::kStored, .hashes = prompt}, kNow);
  map.OnEvent(1, {.sequence = 2, .kind = Kind::kEvicted, .hashes = {108, 109}}, kNow);
  EXPECT_EQ(map.Match(prompt, 1).blocks, 8U);
}

// Guards against full trust in entries after an eviction event may have been lost.
TEST(PrefixMapTest, EntriesAreTrustedLessAfterAGapUntilConfirmed) {
  PrefixMap map(1000);
  const auto prompt = Prompt(100, 10);
  const auto other = Prompt(500, 10);
  map.OnEvent(1, {.sequence = 1, .kind = Kind::kStored, .hashes = prompt}, kNow);
  map.OnEvent(2, {.sequence = 1, .kind = Kind::kStored, .hashes = prompt}, kNow);
  EXPECT_DOUBLE_EQ(map.Match(prompt, 1).trust, 1);
  EXPECT_EQ(map.OnEvent(1, {.sequence = 4, .kind = Kind::kStored, .hashes = {}}, kNow), 0U);
  EXPECT_EQ(map.OnEvent(1, {.sequence = 5, .kind = Kind::kStored, .hashes = other}, kNow + 4s), 2U);
  EXPECT_LT(map.Match(prompt, 1).trust, 1);
  EXPECT_DOUBLE_EQ(map.Match(other, 1).trust, 1);
  EXPECT_DOUBLE_EQ(map.Match(prompt, 2).trust, 1);
  map.Record(prompt, 1, kNow);
  EXPECT_DOUBLE_EQ(map.Match(prompt, 1).trust, 1);
}

// Guards against a late stored event that restores a block whose eviction is already recorded.
TEST(PrefixMapTest, LateStoredEventDoesNotUndoAnEviction) {
  PrefixMap map(1000);
  map.OnEvent(1, {.sequence = 1, .kind = Kind::kStored, .hashes = {7}}, kNow);
  map.OnEvent(1, {.sequence = 3, .kind = Kind::kEvicted, .hashes = {7}}, kNow);
  map.OnEvent(1, {.sequence = 2, .kind = Kind::kStored, .hashes = {7}}, kNow);
  EXPECT_EQ(map.Match(Hashes{7}, 1).blocks, 0U);
}

// Guards against reducing trust for events that were only reordered, which made daemons lose the
// upstream of a conversation.
TEST(PrefixMapTest, ReorderedEventIsAppliedAndKeepsTrust) {
  PrefixMap map(1000);
  map.OnEvent(1, {.sequence = 1, .kind = Kind::kStored, .hashes = {7}}, kNow);
  map.OnEvent(1, {.sequence = 3, .kind = Kind::kStored, .hashes = {9}}, kNow);
  map.OnEvent(1, {.sequence = 2, .kind = Kind::kStored, .hashes = {8}}, kNow + 1s);
  EXPECT_EQ(map.OnEvent(1, {.sequence = 4, .kind = Kind::kStored, .hashes = {}}, kNow + 9s), 0U);
  EXPECT_EQ(map.Match(Hashes{8}, 1).blocks, 1U);
  EXPECT_DOUBLE_EQ(map.Match(Hashes{7}, 1).trust, 1);
}

// Guards against a repeated event that restores a block evicted since.
TEST(PrefixMapTest, RepeatedEventHasNoEffect) {
  PrefixMap map(1000);
  map.OnEvent(1, {.sequence = 1, .kind = Kind::kStored, .hashes = {7}}, kNow);
  map.OnEvent(1, {.sequence = 2, .kind = Kind::kEvicted, .hashes = {7}}, kNow);
  map.OnEvent(1, {.sequence = 1, .kind = Kind::kStored, .hashes = {7}}, kNow);
  EXPECT_EQ(map.Match(Hashes{7}, 1).blocks, 0U);
}

// Guards against a late eviction that removes a block which was stored again after it.
TEST(PrefixMapTest, LateEvictionDoesNotRemoveANewerEntry) {
  PrefixMap map(1000);
  map.OnEvent(1, {.sequence = 1, .kind = Kind::kStored, .hashes = {7}}, kNow);
  map.OnEvent(1, {.sequence = 3, .kind = Kind::kStored, .hashes = {7}}, kNow);
  map.OnEvent(1, {.sequence = 2, .kind = Kind::kEvicted, .hashes = {7}}, kNow);
  EXPECT_EQ(map.Match(Hashes{7}, 1).blocks, 1U);
}

// Guards against ignoring all events of an engine that restarted and counts from the start again.
TEST(PrefixMapTest, RestartedEngineBeginsANewSequence) {
  PrefixMap map(1000);
  map.OnEvent(1, {.sequence = 50000, .kind = Kind::kStored, .hashes = {7}}, kNow);
  map.OnEvent(1, {.sequence = 1, .kind = Kind::kStored, .hashes = {8}}, kNow);
  EXPECT_EQ(map.Match(Hashes{7}, 1).blocks, 0U);
  EXPECT_EQ(map.Match(Hashes{8}, 1).blocks, 1U);
  EXPECT_EQ(map.OnEvent(1, {.sequence = 2, .kind = Kind::kStored, .hashes = {9}}, kNow), 0U);
  map.OnEvent(1, {.sequence = 3, .kind = Kind::kCleared, .hashes = {}}, kNow);
  EXPECT_EQ(map.Match(Hashes{8}, 1).blocks, 0U);
}

// Guards against a map that grows with every prompt.
TEST(PrefixMapTest, MemoryIsBoundedAndRecentEntriesStay) {
  PrefixMap map(1000);
  const auto hot = Prompt(1, 20);
  for (std::uint64_t i = 1; i <= 1000; ++i) {
    map.Record(Prompt(i * 1000, 20), 1, kNow);
    map.Record(hot, 2, kNow);
    EXPECT_LE(map.size(), 1002U);
  }
  EXPECT_EQ(map.Match(hot, 2).blocks, 20U);
  EXPECT_EQ(map.Match(Prompt(1000, 20), 1).blocks, 0U);
}

// Guards against records of a cleared upstream that hide shorter prefixes of other upstreams.
TEST(PrefixMapTest, HoldersOfAClearedUpstreamAreNotFound) {
  PrefixMap map(1000);
  const auto prompt = Prompt(1, 10);
  map.Record(prompt, 1, kNow);
  map.Record(std::span(prompt).first(4), 2, kNow);
  map.Clear(1);
  PrefixMap::PromptLookup lookup;
  map.Lookup(prompt, lookup);
  EXPECT_EQ(lookup.holders(), std::vector<UpstreamNumber>{2});
  EXPECT_EQ(lookup.matched_blocks(), 4U);
}

// Guards against a lost event in the middle of a prompt that hides the later blocks of the same
// upstream.
TEST(PrefixMapTest, BlocksBehindALostEventStillMatch) {
  PrefixMap map(1000);
  const auto prompt = Prompt(1, 40);
  const auto part = [&](std::size_t first, std::size_t count) {
    const auto blocks = std::span(prompt).subspan(first, count);
    return Hashes(blocks.begin(), blocks.end());
  };
  map.OnEvent(1, {.sequence = 1, .kind = Kind::kStored, .hashes = part(0, 5)}, kNow);
  map.OnEvent(1, {.sequence = 3, .kind = Kind::kStored, .hashes = part(35, 3)}, kNow);
  EXPECT_EQ(map.Match(prompt, 1).blocks, 38U);
}

// Guards against a lookup time that grows with the length of the prompt.
TEST(PrefixMapTest, LongPromptsMatchToWithinAnInterval) {
  PrefixMap map(10000);
  const auto prompt = Prompt(1, 2000);
  map.Record(std::span(prompt).first(1000), 1, kNow);
  EXPECT_GE(map.Match(prompt, 1).blocks, 960U);
  EXPECT_LE(map.Match(prompt, 1).blocks, 1000U);
}

// Guards against sending conversations to an engine that evicts them before their next turn.
TEST(PrefixMapTest, RetentionTimeIsMeasuredFromEvictions) {
  PrefixMap map(1000);
  const auto prompt = Prompt(1, 10);
  EXPECT_TRUE(std::isinf(map.RetentionSeconds(1)));
  map.OnEvent(1, {.sequence = 1, .kind = Kind::kStored, .hashes = prompt}, kNow);
  map.OnEvent(1, {.sequence = 2, .kind = Kind::kEvicted, .hashes = prompt}, kNow + 5s);
  EXPECT_DOUBLE_EQ(map.RetentionSeconds(1), 5);
  EXPECT_TRUE(std::isinf(map.RetentionSeconds(2)));
}

}  // namespace
}  // namespace savoryglade
