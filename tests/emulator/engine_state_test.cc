#include "emulator/engine_state.h"

#include <set>
#include <string>

#include "gtest/gtest.h"

namespace savoryglade {
namespace {

constexpr TimePoint kStart{};

GenerationRequest MakeRequest(const std::string& id, std::int64_t tokens,
                              std::int64_t priority = 0) {
  return {.id = id,
          .prompt = std::string(256, 'p') + id,
          .seed = "1",
          .max_tokens = tokens,
          .priority = priority};
}

// Guards against generating the tokens of a resent request twice.
TEST(EngineStateTest, SubmitWithKnownIdReturnsExistingGeneration) {
  EngineState state({.time_to_first_token = Duration::zero()});
  const auto first = state.Submit(MakeRequest("a", 4), kStart);
  state.Step(kStart + 5ms);
  EXPECT_EQ(state.Submit(MakeRequest("a", 4), kStart + 6ms), first);
  for (int i = 0; i < 10; ++i) {
    state.Step(kStart + 10ms);
  }
  EXPECT_EQ(state.Submit(MakeRequest("a", 4), kStart + 11ms), first);
  EXPECT_EQ(state.counts().generated_tokens, 4U);
  EXPECT_EQ(state.counts().attached, 2U);
}

// Guards against exceeding the batch limit and against ignoring priorities.
TEST(EngineStateTest, FullBatchAdmitsHighestPriorityNext) {
  EngineState state({.time_to_first_token = Duration::zero(), .max_batch_size = 2});
  const auto a = state.Submit(MakeRequest("a", 2), kStart);
  const auto b = state.Submit(MakeRequest("b", 100), kStart);
  const auto low = state.Submit(MakeRequest("low", 2), kStart);
  const auto high = state.Submit(MakeRequest("high", 2, 1), kStart);
  EXPECT_EQ(state.running(), 2U);
  EXPECT_EQ(state.waiting(), 2U);
  state.Step(kStart + 5ms);
  EXPECT_TRUE(a->complete());
  EXPECT_TRUE(high->admitted);
  EXPECT_FALSE(low->admitted);
  EXPECT_EQ(state.running(), 2U);
}

// Guards against ending a generation as soon as its reader disconnects, and against keeping a
// generation without a reader forever.
TEST(EngineStateTest, GenerationWithoutReaderExpiresAfterRetentionPeriod) {
  EngineState state({.time_to_first_token = Duration::zero(), .retention_period = 30s});
  const auto generation = state.Submit(MakeRequest("a", 1000), kStart);
  state.AddReader(*generation, nullptr);
  state.Step(kStart + 100s);
  state.RemoveReader(*generation, kStart + 100s);
  state.Step(kStart + 129s);
  EXPECT_EQ(state.Find("a"), generation);
  state.Step(kStart + 130s);
  EXPECT_EQ(state.Find("a"), nullptr);
  EXPECT_EQ(state.counts().expired, 1U);
  EXPECT_FALSE(state.busy());
}

// Guards against counting tokens of evicted blocks as cached.
TEST(EngineStateTest, EvictedBlocksAreNotCountedAsCached) {
  EngineState state({.time_to_first_token = Duration::zero(), .cache_capacity_blocks = 4});
  const auto first = state.Submit(MakeRequest("a", 1), kStart);
  EXPECT_EQ(first->cached_tokens, 0U);
  // The first 256 bytes are equal: 4 blocks of 64 bytes with 16 tokens each. The rest of the prompt
  // fills no block and is not cached.
  const auto second = state.Submit(MakeRequest("b", 1), kStart);
  EXPECT_EQ(second->cached_tokens, 64U);
  GenerationRequest other = MakeRequest("c", 1);
  other.prompt = std::string(256, 'q');
  state.Submit(other, kStart);
  const auto third = state.Submit(MakeRequest("d", 1), kStart);
  EXPECT_EQ(third->cached_tokens, 0U);
}

// Guards against cache events that are reported without the delay and the losses of a real engine.
TEST(EngineStateTest, CacheEventsAreDelayedAndPartlyLost) {
  PrefixCache cache(1000, 0.2, 7);
  std::vector<std::uint64_t> blocks;
  for (std::uint64_t i = 1; i <= 500; ++i) {
    blocks.push_back(i);
  }
  cache.LookupAndInsert(blocks, kStart + 1s);
  EXPECT_TRUE(cache.EventsAfter(0, kStart + 999ms).empty());
  const auto events = cache.EventsAfter(0, kStart + 1s);
  EXPECT_GT(events.size(), 300U);
  EXPECT_LT(events.size(), 500U);
  std::set<std::uint64_t> sequences;
  for (const PrefixCacheEvent& event : events) {
    sequences.insert(event.sequence);
  }
  EXPECT_EQ(sequences.size(), events.size());
  EXPECT_EQ(cache.EventsAfter(events.back().sequence, kStart + 1s).size(), 0U);
}

// Guards against a migrated generation that continues differently from the original.
TEST(EngineStateTest, ImportedGenerationContinuesAtExportedPosition) {
  EngineState source({.time_to_first_token = Duration::zero()});
  EngineState target({.time_to_first_token = Duration::zero()});
  const auto from = source.Submit(MakeRequest("a", 8), kStart);
  source.Step(kStart + 5ms);
  ASSERT_TRUE(target.Import(source.Export("a"), kStart + 6ms));
  const auto to = target.Find("a");
  ASSERT_NE(to, nullptr);
  EXPECT_EQ(to->next_position, from->next_position);
  EXPECT_EQ(to->token_seed, from->token_seed);
  target.Step(kStart + 7ms);
  EXPECT_EQ(target.counts().generated_tokens, 1U);
  EXPECT_EQ(target.counts().prefilled_tokens, 0U);
  EXPECT_FALSE(target.Import("{}", kStart));
}

// Guards against applying an order from a holder whose lease has expired.
TEST(EngineStateTest, OldFencingNumberIsRejectedOnlyIfChecked) {
  EngineState checks({.checks_fencing = true});
  EngineState ignores({.checks_fencing = false});
  for (EngineState* state : {&checks, &ignores}) {
    EXPECT_TRUE(state->ApplyOrder("model", "new", 8));
    EXPECT_TRUE(state->ApplyOrder("model", "new", 8));
  }
  EXPECT_FALSE(checks.ApplyOrder("model", "old", 7));
  EXPECT_EQ(checks.orders().at("model"), "new");
  EXPECT_TRUE(ignores.ApplyOrder("model", "old", 7));
  EXPECT_EQ(ignores.orders().at("model"), "old");
}

}  // namespace
}  // namespace savoryglade
