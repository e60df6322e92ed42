#include "net/memory_budget.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace savoryglade {
namespace {

constexpr std::size_t kTotal = 1024 * 1024;
constexpr std::size_t kReserve = kTotal / 2;
constexpr std::size_t kLarge = 256 * 1024;
constexpr std::size_t kSmall = 64 * 1024;
constexpr TimePoint kStart = TimePoint{} + 1h;

class MemoryBudgetTest : public testing::Test {
 protected:
  std::unique_ptr<MemoryLease> Open(const std::string& name, TimePoint now = kStart) {
    return std::make_unique<MemoryLease>(budget_, this, now,
                                         [this, name] { evicted_.push_back(name); });
  }

  MetricRegistry metrics_;
  std::shared_ptr<MemoryBudget> budget_ =
      std::make_shared<MemoryBudget>(MemoryLimits{.total = kTotal, .reserve = kReserve}, metrics_);
  std::vector<std::string> evicted_;
};

// Guards against large bodies that leave nothing for ordinary requests.
TEST_F(MemoryBudgetTest, OnlySmallLeasesUseTheReserve) {
  const auto first = Open("first");
  const auto second = Open("second");
  const auto third = Open("third");
  EXPECT_TRUE(first->TrySet(MemoryPurpose::kBody, kLarge, kStart));
  EXPECT_TRUE(second->TrySet(MemoryPurpose::kBody, kLarge, kStart));
  EXPECT_FALSE(third->TrySet(MemoryPurpose::kBody, kLarge, kStart));
  EXPECT_TRUE(third->TrySet(MemoryPurpose::kBody, kSmall, kStart));
  EXPECT_FALSE(third->MayBeginLarge(kStart));
}

// Guards against a full listener that closes the kept connections of ordinary callers before those
// that have never sent a whole request.
TEST_F(MemoryBudgetTest, KeepsConnectionsThatWaitForAFurtherRequest) {
  const auto kept = Open("kept");
  kept->SetEvictable(false, kStart);
  kept->OnRequestRead();
  kept->SetEvictable(true, kStart);
  kept->OnIdle();
  EXPECT_FALSE(budget_->EvictOldest(this, kStart + 2 * kMinStall));
  const auto silent = Open("silent", kStart + kMinStall / 2);
  silent->OnIdle();
  EXPECT_TRUE(budget_->EvictOldest(this, kStart + 2 * kMinStall));
  EXPECT_EQ(evicted_, std::vector<std::string>{"silent"});
}

// Guards against a budget that stays full of clients that have stopped sending, and one that closes
// those that go on, or whose requests may have been passed on.
TEST_F(MemoryBudgetTest, ClosesWhatHoldsMostForLongestWithoutProgress) {
  const auto passed_on = Open("passed on");
  const auto stalled = Open("stalled");
  const auto active = Open("active");
  passed_on->Set(MemoryPurpose::kBody, kLarge);
  stalled->Set(MemoryPurpose::kBody, kLarge / 2);
  active->Set(MemoryPurpose::kBody, kLarge);
  passed_on->SetEvictable(false, kStart);
  const auto next = Open("next");
  EXPECT_FALSE(next->TrySet(MemoryPurpose::kBody, kLarge, kStart + kMinStall / 2));
  EXPECT_TRUE(evicted_.empty());
  const TimePoint later = kStart + 2 * kMinStall;
  active->OnProgress(later);
  EXPECT_FALSE(next->TrySet(MemoryPurpose::kBody, kLarge, later));
  EXPECT_EQ(evicted_, std::vector<std::string>{"stalled"});
}

// Guards against idle connections of ordinary callers that are closed before stalled requests.
TEST_F(MemoryBudgetTest, ConnectionsBetweenRequestsAreClosedLast) {
  const auto idle = Open("idle", kStart - 1min);
  const auto stalled = Open("stalled");
  const auto large = Open("large");
  idle->Set(MemoryPurpose::kConnection, kSmall);
  stalled->Set(MemoryPurpose::kHead, kSmall);
  large->Set(MemoryPurpose::kBody, kTotal);
  large->SetEvictable(false, kStart);
  EXPECT_FALSE(large->MayBeginLarge(kStart + kMinStall));
  EXPECT_EQ(evicted_, std::vector<std::string>{"stalled"});
  const auto small = Open("small", kStart + kMinStall);
  EXPECT_FALSE(small->TrySet(MemoryPurpose::kHead, kSmall, kStart + 2 * kMinStall));
  EXPECT_EQ(evicted_.back(), "idle");
}

// Guards against a full listener that only new clients suffer from, and one that closes the
// connections of another listener.
TEST_F(MemoryBudgetTest, OldestConnectionOfAListenerIsClosed) {
  const auto old = Open("old", kStart - 2s);
  const auto older = Open("older", kStart - 3s);
  const MemoryLease other(budget_, nullptr, kStart - 4s, [] { ADD_FAILURE(); });
  EXPECT_TRUE(budget_->EvictOldest(this, kStart));
  EXPECT_EQ(evicted_, std::vector<std::string>{"older"});
}

// Guards against memory that is not returned, so that the budget shrinks with time.
TEST_F(MemoryBudgetTest, DestroyedLeasesReturnEverything) {
  {
    const auto lease = Open("lease");
    for (const MemoryPurpose purpose :
         {MemoryPurpose::kConnection, MemoryPurpose::kHead, MemoryPurpose::kBody,
          MemoryPurpose::kResponse, MemoryPurpose::kTunnel}) {
      lease->Set(purpose, kSmall);
    }
    EXPECT_EQ(budget_->leased(), kMemoryPurposes * kSmall);
    EXPECT_TRUE(budget_->EvictOldest(this, kStart + kMinStall));
  }
  EXPECT_EQ(budget_->leased(), 0U);
}

}  // namespace
}  // namespace savoryglade
