#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "scheduling/scheduler.h"

namespace savoryglade {
namespace {

constexpr TimePoint kStart{};
const ServiceId kService("assistant");
const AccountId kDrivers("drivers");
const AccountId kOffice("office");
const DaemonId kPeer("peer");

bool Always(const ServiceId& /*service*/) { return true; }

Configuration TwoAccounts(double drivers_share, int slots) {
  Configuration configuration;
  configuration.services = {{.name = kService}};
  configuration.accounts = {{.name = kDrivers, .share = drivers_share},
                            {.name = kOffice, .share = 1}};
  configuration.upstreams = {{.name = UpstreamId("u"), .service = kService, .concurrency = slots}};
  return configuration;
}

// Queues requests of cost 1 and runs them one at a time.
class FairnessTest : public testing::Test {
 protected:
  FairnessTest() { scheduler_.Configure(TwoAccounts(1, 16)); }

  void Queue(const AccountId& account, int count) {
    for (int i = 0; i < count; ++i) {
      ASSERT_TRUE(scheduler_.Enqueue({.ticket = ++last_ticket_,
                                      .account = account,
                                      .service = kService,
                                      .predicted_cost = 1,
                                      .enqueued = now_,
                                      .deadline = now_ + 1h},
                                     now_));
    }
  }

  // Returns how many of the next requests belong to the account.
  int Serve(int count, const AccountId& account, double actual_cost = 1) {
    int of_account = 0;
    for (int i = 0; i < count; ++i) {
      const auto next = scheduler_.Dequeue(Always, now_);
      if (!next) {
        break;
      }
      of_account += next->account == account ? 1 : 0;
      scheduler_.Finish(next->ticket, actual_cost, now_, /*completed=*/false);
    }
    return of_account;
  }

  UsageSummary MakePeerSummary(std::uint32_t sequence, double drivers_served_seconds,
                               std::uint16_t drivers_waiting = 1) const {
    return {.incarnation = 7,
            .sequence = sequence,
            .accounts = {{.key = UsageKey(kDrivers, kService),
                          .served_ms = static_cast<std::uint32_t>(drivers_served_seconds * 1000),
                          .waiting = drivers_waiting}}};
  }

  // Returns the account's reported served cost in the failure domain, in milliseconds.
  std::uint32_t DomainServed(const AccountId& account) {
    for (const AccountUsage& usage :
         scheduler_.DomainSummary(FailureDomainId("verona"), now_).accounts) {
      if (usage.key == UsageKey(account, kService)) {
        return usage.served_ms;
      }
    }
    return 0;
  }

  // Simulates 10 s in which the peer serves the drivers at a rate in slots and both accounts have
  // requests here, of which 4 run each half second. Returns the drivers' fraction of those.
  double DriversFractionWithPeer(double peer_rate, std::uint16_t peer_waiting) {
    int of_drivers = 0;
    for (std::uint32_t i = 1; i <= 20; ++i) {
      scheduler_.Merge(kPeer, MakePeerSummary(i, peer_rate * 0.5 * i, peer_waiting), now_);
      of_drivers += Serve(4, kDrivers);
      now_ += 500ms;
    }
    return of_drivers / 80.0;
  }

  // The limit is high because these tests do not cover admission.
  Scheduler scheduler_{SchedulerOptions{.max_wait = 1h}};
  TimePoint now_ = kStart + 1s;
  Ticket last_ticket_ = 0;
};

// Guards against an account that delays all others by sending many requests first.
TEST_F(FairnessTest, FloodOfOneAccountDoesNotDelayTheOther) {
  Queue(kDrivers, 500);
  Queue(kOffice, 10);
  EXPECT_EQ(Serve(20, kOffice), 10);
}

// Guards against configured shares that have no effect.
TEST_F(FairnessTest, ConfiguredSharesSetTheServiceRatio) {
  scheduler_.Configure(TwoAccounts(3, 16));
  Queue(kDrivers, 100);
  Queue(kOffice, 100);
  EXPECT_EQ(Serve(80, kDrivers), 60);
}

// Guards against an account that gains credit while idle and then blocks the others.
TEST_F(FairnessTest, IdleAccountGetsNoCredit) {
  Queue(kDrivers, 200);
  Serve(100, kDrivers);
  Queue(kOffice, 100);
  EXPECT_EQ(Serve(40, kOffice), 20);
}

// Guards against capacity left idle because the next account has no requests, and against a later
// penalty for using it.
TEST_F(FairnessTest, UnusedShareIsUsedByOthersWithoutPenalty) {
  Queue(kDrivers, 100);
  EXPECT_EQ(Serve(100, kDrivers), 100);
  Queue(kDrivers, 20);
  Queue(kOffice, 20);
  EXPECT_EQ(Serve(20, kDrivers), 10);
}

// Guards against an account that gets more than its share of time because its requests cost more
// than predicted.
TEST_F(FairnessTest, ChargeIsCorrectedToTheActualCost) {
  Queue(kDrivers, 300);
  Queue(kOffice, 300);
  std::map<AccountId, double> cost;
  for (int i = 0; i < 200; ++i) {
    const auto next = scheduler_.Dequeue(Always, now_);
    ASSERT_TRUE(next);
    const double actual = next->account == kDrivers ? 4 : 1;
    cost[next->account] += actual;
    scheduler_.Finish(next->ticket, actual, now_, /*completed=*/false);
  }
  EXPECT_NEAR(cost[kDrivers] / cost[kOffice], 1, 0.05);
}

// Guards against an account that gets its full share at each daemon.
TEST_F(FairnessTest, AccountServedByPeerWaitsLongerHere) {
  scheduler_.UpdateLiveDaemonCount(2);
  Queue(kDrivers, 100);
  Queue(kOffice, 100);
  EXPECT_LT(DriversFractionWithPeer(14, 50), 0.3);
}

// Guards against an account that is penalised, after using the idle fleet alone, for as long as it
// was alone.
TEST_F(FairnessTest, UnusedShareUsedAtPeersIsNotPenalisedHere) {
  scheduler_.UpdateLiveDaemonCount(2);
  DriversFractionWithPeer(16, 100);
  Queue(kDrivers, 50);
  Queue(kOffice, 50);
  scheduler_.Merge(kPeer, MakePeerSummary(21, 160, 0), now_);
  EXPECT_GE(Serve(20, kDrivers), 7);
}

// Guards against charging a repeated or late summary twice.
TEST_F(FairnessTest, RepeatedAndLateSummariesAreIgnored) {
  scheduler_.UpdateLiveDaemonCount(2);
  scheduler_.Merge(kPeer, MakePeerSummary(1, 0), now_);
  scheduler_.Merge(kPeer, MakePeerSummary(3, 5), now_);
  scheduler_.Merge(kPeer, MakePeerSummary(3, 5), now_);
  scheduler_.Merge(kPeer, MakePeerSummary(2, 2), now_);
  EXPECT_EQ(DomainServed(kDrivers), 5000U);
}

// Guards against a restarted daemon whose sums start at zero again and are read as a huge
// difference.
TEST_F(FairnessTest, RestartedPeerChargesNothing) {
  scheduler_.UpdateLiveDaemonCount(2);
  Queue(kDrivers, 50);
  Queue(kOffice, 50);
  scheduler_.Merge(kPeer, MakePeerSummary(5, 1000, 0), now_);
  UsageSummary restarted = MakePeerSummary(1, 3, 0);
  restarted.incarnation = 8;
  scheduler_.Merge(kPeer, restarted, now_);
  EXPECT_EQ(DomainServed(kDrivers), 0U);
  EXPECT_EQ(Serve(20, kDrivers), 10);
}

// Guards against an account that waits for minutes after a partition heals because the cost served
// on the other side is charged at once.
TEST_F(FairnessTest, HealedPartitionChargesNoPastUsage) {
  scheduler_.UpdateLiveDaemonCount(2);
  scheduler_.Merge(kPeer, MakePeerSummary(1, 0, 0), now_);
  now_ += 60s;
  Queue(kDrivers, 50);
  Queue(kOffice, 50);
  scheduler_.Merge(kPeer, MakePeerSummary(120, 600, 0), now_);
  EXPECT_EQ(DomainServed(kDrivers), 0U);
  EXPECT_EQ(Serve(20, kDrivers), 10);
}

// Guards against daemons that, partitioned from each other, fill all slots several times over.
TEST_F(FairnessTest, PartitionedDaemonUsesItsEqualPart) {
  scheduler_.UpdateLiveDaemonCount(4);
  // A partitioned daemon's view contains only itself.
  scheduler_.UpdateLiveDaemonCount(1);
  Queue(kDrivers, 50);
  EXPECT_EQ(scheduler_.LocalSlotLimit(kService, now_), 4U);
  int started = 0;
  while (scheduler_.Dequeue(Always, now_)) {
    ++started;
  }
  EXPECT_EQ(started, 4);
}

// Guards against a partitioned daemon that takes half of the slots because its view covers only its
// own failure domain.
TEST_F(FairnessTest, EqualPartCountsTheOtherFailureDomains) {
  scheduler_.UpdateLiveDaemonCount(2);
  scheduler_.Merge(kPeer, MakePeerSummary(1, 0), now_);
  UsageSummary total = MakePeerSummary(1, 0);
  total.scope = UsageScope::kDomain;
  total.domain = FailureDomainId("verona");
  total.daemons = 2;
  scheduler_.Merge(DaemonId("other"), total, now_);
  scheduler_.UpdateLiveDaemonCount(1);
  EXPECT_EQ(scheduler_.LocalSlotLimit(kService, now_ + 7s), 4U);
  // The other daemons return except one, whose part is released after some time.
  scheduler_.Merge(kPeer, MakePeerSummary(2, 0), now_ + 20s);
  scheduler_.Merge(kPeer, MakePeerSummary(3, 0), now_ + 21s);
  scheduler_.UpdateLiveDaemonCount(1);
  EXPECT_EQ(scheduler_.LocalSlotLimit(kService, now_ + 30s), 8U);
}

// Guards against a summary of a silent peer that still counts as demand.
TEST_F(FairnessTest, SummariesExpire) {
  scheduler_.UpdateLiveDaemonCount(2);
  Queue(kDrivers, 40);
  scheduler_.Merge(kPeer, MakePeerSummary(1, 0, 40), now_);
  const auto fresh = scheduler_.LocalSlotLimit(kService, now_ + 1400ms);
  EXPECT_EQ(fresh, scheduler_.LocalSlotLimit(kService, now_));
  // Without reports from the peer, the daemon has half of the 16 slots.
  EXPECT_EQ(scheduler_.LocalSlotLimit(kService, now_ + 1500ms), 8U);
}

// Guards against daemons that hold slots without requests for them while other daemons queue.
TEST_F(FairnessTest, SlotsFollowTheDemandOverTheDaemons) {
  scheduler_.UpdateLiveDaemonCount(2);
  Queue(kDrivers, 90);
  scheduler_.Merge(kPeer, MakePeerSummary(1, 0, 10), now_);
  EXPECT_GE(*scheduler_.LocalSlotLimit(kService, now_), 14U);
}

// Guards against counting the total of a failure domain twice after its sender changes.
TEST_F(FairnessTest, NewSenderReplacesTheTotalOfItsDomain) {
  scheduler_.UpdateLiveDaemonCount(3);
  UsageSummary total = MakePeerSummary(1, 0, 100);
  total.scope = UsageScope::kDomain;
  total.domain = FailureDomainId("verona");
  total.daemons = 2;
  Queue(kDrivers, 50);
  scheduler_.Merge(kPeer, total, now_);
  const auto limit = scheduler_.LocalSlotLimit(kService, now_ + 50ms);
  total.incarnation = 9;
  scheduler_.Merge(DaemonId("other"), total, now_);
  EXPECT_EQ(scheduler_.LocalSlotLimit(kService, now_ + 100ms), limit);
}

// Guards against a summary that exceeds 8 KB/s because it lists unchanged accounts.
TEST_F(FairnessTest, SummaryListsOnlyChangedAccounts) {
  Queue(kDrivers, 2);
  EXPECT_EQ(scheduler_.BuildDaemonSummary(now_).accounts.size(), 1U);
  EXPECT_TRUE(scheduler_.BuildDaemonSummary(now_).accounts.empty());
  Queue(kOffice, 1);
  const UsageSummary summary = scheduler_.BuildDaemonSummary(now_);
  ASSERT_EQ(summary.accounts.size(), 1U);
  EXPECT_EQ(summary.accounts[0].key, UsageKey(kOffice, kService));
}

// Guards against a lost summary that leaves its receivers with wrong demand permanently.
TEST_F(FairnessTest, CompleteSummaryIsSentEveryFourSeconds) {
  Queue(kDrivers, 1);
  int with_drivers = 0;
  for (int i = 0; i < 16; ++i) {
    with_drivers += scheduler_.BuildDaemonSummary(now_).accounts.empty() ? 0 : 1;
  }
  EXPECT_EQ(with_drivers, 2);
}

// Guards against a failure domain's total that omits the cost served by its other daemons.
TEST_F(FairnessTest, DomainSummaryCoversAllItsDaemons) {
  scheduler_.UpdateLiveDaemonCount(2);
  scheduler_.Merge(kPeer, MakePeerSummary(1, 0), now_);
  scheduler_.Merge(kPeer, MakePeerSummary(2, 10, 3), now_);
  Queue(kDrivers, 2);
  Serve(1, kDrivers);
  const UsageSummary total = scheduler_.DomainSummary(FailureDomainId("verona"), now_);
  ASSERT_EQ(total.accounts.size(), 1U);
  EXPECT_EQ(total.daemons, 2);
  EXPECT_EQ(total.accounts[0].served_ms, 11000U);
  EXPECT_EQ(total.accounts[0].waiting, 4);
}

// Guards against requests that are never ended by Finish and count as running permanently.
TEST_F(FairnessTest, RequestWithoutFinishIsSettledAfterItsDeadline) {
  scheduler_.UpdateLiveDaemonCount(4);
  Queue(kDrivers, 5);
  for (int i = 0; i < 4; ++i) {
    ASSERT_TRUE(scheduler_.Dequeue(Always, now_));
  }
  EXPECT_FALSE(scheduler_.Dequeue(Always, now_));
  now_ += 1h;
  scheduler_.Expire(now_);
  now_ += 61s;
  scheduler_.Expire(now_);
  Queue(kDrivers, 1);
  EXPECT_TRUE(scheduler_.Dequeue(Always, now_));
}

}  // namespace
}  // namespace savoryglade
