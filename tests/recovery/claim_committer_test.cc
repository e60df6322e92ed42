#include "recovery/claim_committer.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "tests/recovery/claim_fakes.h"

namespace savoryglade {
namespace {

ClaimWrite Insert(std::uint64_t id, const std::string& key, const std::string& daemon) {
  return {id, TestClaimKey(key), std::nullopt, ClaimRow{.token = {{DaemonId(daemon), 1, 1}, id}}};
}

const DaemonId kA("a");
const DaemonId kB("b");

// Guards against one transaction per daemon, which is more than the table can handle: writes of all
// daemons share one transaction per commit interval.
TEST(ClaimCommitterTest, WritesOfSeveralDaemonsShareOneTransaction) {
  ClaimCommitter committer({.interval = 50ms});
  TimePoint now{};
  committer.Submit(kA, {Insert(1, "x", "a")});
  committer.Submit(kB, {Insert(1, "y", "b")});
  const auto transaction = committer.NextTransaction(now);
  ASSERT_TRUE(transaction);
  EXPECT_EQ(transaction->writes.size(), 2U);
  committer.Submit(kA, {Insert(2, "z", "a")});
  EXPECT_FALSE(committer.NextTransaction(now + 49ms));
  EXPECT_TRUE(committer.NextTransaction(now + 50ms));
  const auto results = committer.OnResult(transaction->id, TableStatus::kCommitted, {});
  EXPECT_EQ(results, (std::vector<ClaimWriteResult>{{kA, 1, TableStatus::kCommitted},
                                                    {kB, 1, TableStatus::kCommitted}}));
}

// Guards against two inserts of the same row that both succeed because their conditions are checked
// together.
TEST(ClaimCommitterTest, InsertsOfSameRowNeverShareTransaction) {
  ClaimCommitter committer({});
  FakeClaimTable table;
  TimePoint now{};
  committer.Submit(kA, {Insert(1, "x", "a")});
  committer.Submit(kB, {Insert(1, "x", "b")});
  const auto first = committer.NextTransaction(now);
  ASSERT_EQ(first->writes.size(), 1U);
  EXPECT_TRUE(table.Apply(first->writes).empty());
  const auto second = committer.NextTransaction(now + 50ms);
  ASSERT_EQ(second->writes.size(), 1U);
  EXPECT_EQ(table.Apply(second->writes), (std::set<ClaimKey>{TestClaimKey("x")}));
}

// Guards against a failed condition that makes the other writes of the transaction fail too.
TEST(ClaimCommitterTest, ConflictOnOneRowRequeuesOtherWrites) {
  ClaimCommitter committer({});
  TimePoint now{};
  committer.Submit(kA, {Insert(1, "x", "a"), Insert(2, "y", "a")});
  const auto first = committer.NextTransaction(now);
  const auto results = committer.OnResult(first->id, TableStatus::kConflict, {TestClaimKey("x")});
  EXPECT_EQ(results, (std::vector<ClaimWriteResult>{{kA, 1, TableStatus::kConflict}}));
  const auto second = committer.NextTransaction(now + 50ms);
  ASSERT_EQ(second->writes.size(), 1U);
  EXPECT_EQ(second->writes.front().key, TestClaimKey("y"));
}

// Guards against writes that never complete when the table does not report which condition failed.
TEST(ClaimCommitterTest, ConflictWithoutRowsIsFoundByBisection) {
  ClaimCommitter committer({});
  FakeClaimTable table;
  TimePoint now{};
  table.Apply({Insert(9, "k2", "other")});
  std::vector<ClaimWrite> writes;
  for (std::uint64_t i = 0; i < 5; ++i) {
    writes.push_back(Insert(i, "k" + std::to_string(i), "a"));
  }
  committer.Submit(kA, writes);
  std::set<std::uint64_t> committed;
  std::set<std::uint64_t> conflicting;
  for (int round = 0; round < 20; ++round) {
    now += 50ms;
    const auto transaction = committer.NextTransaction(now);
    if (!transaction) {
      break;
    }
    const bool conflict = !table.Apply(transaction->writes).empty();
    const auto status = conflict ? TableStatus::kConflict : TableStatus::kCommitted;
    for (const ClaimWriteResult& result : committer.OnResult(transaction->id, status, {})) {
      (result.status == TableStatus::kCommitted ? committed : conflicting).insert(result.id);
    }
  }
  EXPECT_EQ(committed, (std::set<std::uint64_t>{0, 1, 3, 4}));
  EXPECT_EQ(conflicting, (std::set<std::uint64_t>{2}));
  EXPECT_TRUE(committer.idle());
}

// Guards against treating a lost response as a failure, because the write may have taken effect.
TEST(ClaimCommitterTest, TimedOutTransactionIsUnknownAndNotRetried) {
  ClaimCommitter committer({.timeout = 1s});
  TimePoint now{};
  committer.Submit(kA, {Insert(1, "x", "a")});
  const auto transaction = committer.NextTransaction(now);
  EXPECT_EQ(committer.Expire(now + 1s),
            (std::vector<ClaimWriteResult>{{kA, 1, TableStatus::kUnknown}}));
  EXPECT_TRUE(committer.idle());
  EXPECT_TRUE(committer.OnResult(transaction->id, TableStatus::kCommitted, {}).empty());
}

// Guards against unbounded memory use while the table is slow.
TEST(ClaimCommitterTest, FullQueueRejectsWritesImmediately) {
  ClaimCommitter committer({.max_queued_writes = 1});
  EXPECT_EQ(committer.Submit(kA, {Insert(1, "x", "a"), Insert(2, "y", "a")}),
            (std::vector<ClaimWriteResult>{{kA, 2, TableStatus::kUnavailable}}));
}

}  // namespace
}  // namespace savoryglade
