#include "provider/memory_platform.h"

#include <gtest/gtest.h>

#include <optional>

#include "core/event_queue.h"

namespace savoryglade::provider {
namespace {

Row ReadSync(MemoryPlatform& platform, const std::string& key) {
  std::optional<ReadResult> result;
  platform.Read(key, [&result](ReadResult r) { result = std::move(r); });
  return result && *result ? **result : Row{};
}

CommitStatus CommitSync(MemoryPlatform& platform, const Transaction& transaction) {
  CommitStatus status = CommitStatus::kUnknown;
  platform.Commit(transaction, [&status](CommitStatus s) { status = s; });
  return status;
}

Transaction MakeWriteTransaction(const std::string& key, std::uint64_t version,
                                 std::optional<std::string> value) {
  return {.conditions = {{key, version}}, .writes = {{key, std::move(value)}}};
}

// Guards against partially applied transactions.
TEST(MemoryPlatformTest, FailedConditionRejectsTheWholeTransaction) {
  MemoryPlatform platform;
  ASSERT_EQ(CommitSync(platform, MakeWriteTransaction("a", 0, "1")), CommitStatus::kCommitted);
  const Transaction both = {.conditions = {{"a", ReadSync(platform, "a").version}, {"b", 7}},
                            .writes = {{"a", "2"}, {"b", "2"}}};
  EXPECT_EQ(CommitSync(platform, both), CommitStatus::kConflict);
  EXPECT_EQ(ReadSync(platform, "a").value, "1");
  EXPECT_FALSE(ReadSync(platform, "b").exists());
}

// Guards against a late conditional write to a row that was deleted and inserted again.
TEST(MemoryPlatformTest, ReinsertedRowHasAHigherVersion) {
  MemoryPlatform platform;
  CommitSync(platform, MakeWriteTransaction("a", 0, "1"));
  const std::uint64_t first = ReadSync(platform, "a").version;
  CommitSync(platform, MakeWriteTransaction("a", first, std::nullopt));
  CommitSync(platform, MakeWriteTransaction("a", 0, "2"));
  EXPECT_GT(ReadSync(platform, "a").version, first);
  EXPECT_EQ(CommitSync(platform, MakeWriteTransaction("a", first, "late")),
            CommitStatus::kConflict);
}

// Guards against an unknown outcome of a write during an outage, which can't have happened.
TEST(MemoryPlatformTest, WriteDuringAnOutageHasNoEffect) {
  MemoryPlatform platform;
  platform.SetFaults({.outage = true});
  EXPECT_EQ(CommitSync(platform, MakeWriteTransaction("a", 0, "1")), CommitStatus::kUnavailable);
  platform.SetFaults({});
  EXPECT_FALSE(ReadSync(platform, "a").exists());
}

// Guards against reporting a lost response as a failure: the write took effect.
TEST(MemoryPlatformTest, LostResponseIsUnknownAndTheWriteTakesEffect) {
  EventQueue clock;
  MemoryPlatform platform([&clock](Duration d, auto f) { clock.After(d, std::move(f)); });
  platform.SetFaults({.lose_answers = true});
  std::optional<CommitStatus> status;
  platform.Commit(MakeWriteTransaction("a", 0, "1"), [&status](CommitStatus s) { status = s; });
  platform.SetFaults({});
  EXPECT_EQ(ReadSync(platform, "a").value, "1");
  EXPECT_FALSE(status.has_value());
  clock.RunUntil(TimePoint(3s));
  EXPECT_EQ(status, CommitStatus::kUnknown);
}

// Guards against a slow table that applies a write before its delay has passed.
TEST(MemoryPlatformTest, DelayedWriteTakesEffectAfterTheDelayAndRespondsLater) {
  EventQueue clock;
  MemoryPlatform platform([&clock](Duration d, auto f) { clock.After(d, std::move(f)); });
  platform.SetFaults({.delay = 1s});
  std::optional<CommitStatus> status;
  platform.Commit(MakeWriteTransaction("a", 0, "1"), [&status](CommitStatus s) { status = s; });
  platform.SetFaults({});
  clock.RunUntil(TimePoint(500ms));
  EXPECT_FALSE(ReadSync(platform, "a").exists());
  clock.RunUntil(TimePoint(1500ms));
  EXPECT_TRUE(ReadSync(platform, "a").exists());
  EXPECT_FALSE(status.has_value());
  clock.RunUntil(TimePoint(2s));
  EXPECT_EQ(status, CommitStatus::kCommitted);
  EXPECT_EQ(platform.counts().writes, 1U);
}

// Guards against a retried start that buys a second VM, also after a lost response.
TEST(MemoryPlatformTest, StartsWithTheSameTokenBuyOneVm) {
  MemoryPlatform platform;
  const StartVmRequest request = {.token = "plan-1/0", .failure_domain = FailureDomainId("verona")};
  std::vector<Result<VmId>> results;
  platform.SetFaults({.lose_answers = true});
  platform.StartVm(request, [&](Result<VmId> r) { results.push_back(std::move(r)); });
  platform.SetFaults({.reject_starts = true});
  platform.StartVm(request, [&](Result<VmId> r) { results.push_back(std::move(r)); });
  ASSERT_EQ(results.size(), 2U);
  EXPECT_EQ(results[0].error().code, ErrorCode::kUnknownOutcome);
  EXPECT_TRUE(results[1].has_value());
  EXPECT_EQ(platform.PurchasedTokens().size(), 1U);
}

}  // namespace
}  // namespace savoryglade::provider
