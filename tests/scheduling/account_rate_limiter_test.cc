#include "scheduling/account_rate_limiter.h"

#include <gtest/gtest.h>

#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/random.h"

namespace savoryglade {
namespace {

const AccountId kDrivers("drivers");

TimePoint At(Duration time) { return TimePoint(100s) + time; }

std::vector<AccountPolicy> Policy(double rate, double burst) {
  return {{.name = kDrivers, .rate = rate, .burst = burst, .counts_tokens = true}};
}

// Several daemons under load on a virtual clock, which exchange usage reports at a fixed interval.
class Fleet {
 public:
  Fleet(int daemons, double rate, double burst, RateLimiterOptions options,
        Duration exchange_interval = 150ms)
      : exchange_interval_(exchange_interval) {
    for (int i = 0; i < daemons; ++i) {
      daemons_.push_back(std::make_unique<AccountRateLimiter>(options));
      daemons_.back()->Configure(Policy(rate, burst), At(0s));
      daemons_.back()->SetDaemonCount(daemons);
    }
  }

  // Sends requests of the given size to each daemon in each step, and returns the most units that
  // were taken in any window of 8 s.
  double MaxTakenPerWindow(Duration until, double units, bool (*connected)(TimePoint, int, int),
                           Duration from = 0s) {
    constexpr Duration kStep = 10ms;
    constexpr Duration kWindow = 8s;
    double most = 0;
    for (Duration time = from; time < until; time += kStep) {
      const TimePoint now = At(time);
      for (const auto& daemon : daemons_) {
        if (daemon->TryAcquire(kDrivers, units, now)) {
          taken_.emplace_back(now, units);
          sum_ += units;
        }
      }
      while (!taken_.empty() && now - taken_.front().first >= kWindow) {
        sum_ -= taken_.front().second;
        taken_.pop_front();
      }
      most = std::max(most, sum_);
      if (time % exchange_interval_ == 0ms) {
        ExchangeReports(now, connected);
      }
    }
    return most;
  }

  // Sends one request to one daemon. Returns whether it was admitted.
  bool TakeAt(std::size_t daemon, double units, Duration time) {
    return daemons_[daemon]->TryAcquire(kDrivers, units, At(time));
  }

  // Puts the units of a request that did not run back.
  void RefundAt(std::size_t daemon, double units) { daemons_[daemon]->Refund(kDrivers, units); }

  void ExchangeReportsIfDue(Duration time) {
    if (time % exchange_interval_ == 0ms) {
      ExchangeReports(At(time), [](TimePoint, int, int) { return true; });
    }
  }

 private:
  void ExchangeReports(TimePoint now, bool (*connected)(TimePoint, int, int)) {
    const auto count = static_cast<int>(daemons_.size());
    for (int from = 0; from < count; ++from) {
      AccountRateLimiter& sender = *daemons_[static_cast<std::size_t>(from)];
      sender.UpdateRates(now);
      const AllowanceReport report{.source = ReportSource::Daemon(DaemonId(std::to_string(from))),
                                   .incarnation = 1,
                                   .use = sender.UsageOf(ReportScope::kDaemon, now)};
      for (int to = 0; to < count; ++to) {
        if (from != to && connected(now, from, to)) {
          daemons_[static_cast<std::size_t>(to)]->OnReport(report, now);
        }
      }
    }
  }

  Duration exchange_interval_;
  std::vector<std::unique_ptr<AccountRateLimiter>> daemons_;
  // Units taken within the current window.
  std::deque<std::pair<TimePoint, double>> taken_;
  double sum_ = 0;
};

AllowanceReport PeerReport(std::uint64_t incarnation, AllowanceUsage use) {
  return {.source = ReportSource::Daemon(DaemonId("peer")),
          .incarnation = incarnation,
          .use = {{kDrivers, use}}};
}

constexpr double kRatePerSecond = 100'000;
constexpr double kBurstUnits = 100'000;
constexpr RateLimiterOptions kToleranceOptions{.overshoot = 0.1, .slack = 140'000};
// Units that the configuration allows in any window of 8 s.
constexpr double kAllowedUnitsPerWindow = (kRatePerSecond * 8 + kBurstUnits) * 1.1 + 140'000;

// Load pattern: one account requests many times its allowance through all daemons.
TEST(AccountRateLimiterTest, OverloadedAccountStaysWithinAllowanceOverAllDaemons) {
  Fleet fleet(8, kRatePerSecond, kBurstUnits, kToleranceOptions);
  const double most = fleet.MaxTakenPerWindow(30s, 6000, [](TimePoint, int, int) { return true; });
  EXPECT_LE(most, kAllowedUnitsPerWindow);
  EXPECT_GE(most, kRatePerSecond * 8);
}

// Load pattern: the same in a large fleet with late reports. Guards against daemons that all take
// the same units and then wait for the bucket to refill together, so that two such bursts fall into
// one window.
TEST(AccountRateLimiterTest, OverloadedAccountStaysWithinAllowanceInLargeFleet) {
  Fleet fleet(82, kRatePerSecond, kBurstUnits, kToleranceOptions, 660ms);
  const double most = fleet.MaxTakenPerWindow(40s, 200, [](TimePoint, int, int) { return true; });
  EXPECT_LE(most, kAllowedUnitsPerWindow);
  EXPECT_GE(most, kRatePerSecond * 8 * 0.8);
}

// Load pattern: an account stays around its rate, and each of many daemons gets few of its
// requests. Guards against a daemon that rejects a request right after another although the fleet
// has units left.
TEST(AccountRateLimiterTest, AccountAroundItsRateIsAdmittedAtEveryDaemon) {
  constexpr int kDaemons = 63;
  constexpr double kUnits = 2000;
  Fleet fleet(kDaemons, 2 * kRatePerSecond, 2 * kBurstUnits, kToleranceOptions, 200ms);
  Random random(63);
  int requested = 0;
  int rejected = 0;
  for (Duration time = 0s; time < 40s; time += 10ms) {
    // Ten seconds at 1.1 of the rate, then ten at 0.9.
    const std::uint64_t of_rate = time % 20s < 10s ? 110 : 90;
    const int requests = (random.UniformInt(100) < of_rate / 2 ? 1 : 0) +
                         (random.UniformInt(100) < of_rate / 2 ? 1 : 0);
    for (int i = 0; i < requests; ++i) {
      const bool taken = fleet.TakeAt(random.UniformInt(kDaemons), kUnits, time);
      requested += time >= 2s ? 1 : 0;
      rejected += time >= 2s && !taken ? 1 : 0;
    }
    fleet.ExchangeReportsIfDue(time);
  }
  EXPECT_LE(rejected, requested / 50);
}

// Load pattern: the same with large requests.
TEST(AccountRateLimiterTest, LargeRequestsOfOverloadedAccountStayWithinAllowance) {
  Fleet fleet(30, 4 * kRatePerSecond, 4 * kBurstUnits, kToleranceOptions, 300ms);
  const double most = fleet.MaxTakenPerWindow(40s, 4000, [](TimePoint, int, int) { return true; });
  EXPECT_LE(most, (4 * kRatePerSecond * 8 + 4 * kBurstUnits) * 1.1 + 140'000);
  EXPECT_GE(most, 4 * kRatePerSecond * 8 * 0.8);
}

// Load pattern: the same while a network partition splits the daemons into two halves.
TEST(AccountRateLimiterTest, PartitionedFleetStaysWithinAllowance) {
  Fleet fleet(8, kRatePerSecond, kBurstUnits, kToleranceOptions);
  const double most = fleet.MaxTakenPerWindow(30s, 6000, [](TimePoint now, int from, int to) {
    return now < At(10s) || now > At(20s) || from / 4 == to / 4;
  });
  EXPECT_LE(most, kAllowedUnitsPerWindow);
}

// Load pattern: an account near its rate goes far over it after its bucket was full.
TEST(AccountRateLimiterTest, SuddenOverloadInLargeFleetStaysWithinAllowance) {
  Fleet fleet(82, 4 * kRatePerSecond, 4 * kBurstUnits, kToleranceOptions, 490ms);
  const auto connected = [](TimePoint, int, int) { return true; };
  // 82 daemons, 40 units each 10 ms: 0.82 of the rate.
  fleet.MaxTakenPerWindow(12s, 40, connected);
  const double most = fleet.MaxTakenPerWindow(24s, 400, connected, 12s);
  EXPECT_LE(most, (4 * kRatePerSecond * 8 + 4 * kBurstUnits) * 1.1 + 140'000);
  EXPECT_GE(most, 4 * kRatePerSecond * 8 * 0.8);
}

// Load pattern: some daemons of each failure domain receive reports only from those daemons of
// their domain that receive all reports, and then an account goes far over its rate. Guards against
// daemons that each take the units left to their whole domain.
TEST(AccountRateLimiterTest, DaemonsWithoutReportsOfMostPeersUseEvenParts) {
  Fleet fleet(40, 4 * kRatePerSecond, 4 * kBurstUnits, kToleranceOptions, 300ms);
  const auto connected = [](TimePoint now, int from, int to) {
    const auto is_isolated = [now](int daemon) { return now > At(5s) && daemon % 10 < 3; };
    return !is_isolated(to) || (from / 10 == to / 10 && !is_isolated(from));
  };
  fleet.MaxTakenPerWindow(9s, 40, connected);
  const double most = fleet.MaxTakenPerWindow(30s, 800, connected, 9s);
  EXPECT_LE(most, (4 * kRatePerSecond * 8 + 4 * kBurstUnits) * 1.1 + 140'000);
  EXPECT_GE(most, 4 * kRatePerSecond * 8 * 0.8);
}

// Guards against daemons that, after some time, no longer count the peers whose reports do not
// reach them.
TEST(AccountRateLimiterTest, LongPartitionStaysWithinAllowance) {
  Fleet fleet(40, 4 * kRatePerSecond, 4 * kBurstUnits, kToleranceOptions, 300ms);
  const auto connected = [](TimePoint now, int from, int to) {
    return now < At(5s) || from / 10 == to / 10;
  };
  const double most = fleet.MaxTakenPerWindow(40s, 800, connected);
  EXPECT_LE(most, (4 * kRatePerSecond * 8 + 4 * kBurstUnits) * 1.1 + 140'000);
}

// Guards against a refusal for the usage that a peer seems to have, if two of its reports are
// handled one right after the other.
TEST(AccountRateLimiterTest, ReportsInQuickSuccessionShowNoHigherRate) {
  AccountRateLimiter limiter(RateLimiterOptions{});
  limiter.Configure(Policy(15, 10), At(0s));
  limiter.SetDaemonCount(2);
  AllowanceReport report{.source = ReportSource::Daemon(DaemonId("peer")), .incarnation = 1};
  for (const Duration time : {Duration(0s), Duration(1s), Duration(1s) + 20us}) {
    report.use[kDrivers].asked += 1;
    report.use[kDrivers].taken += 1;
    report.use[kDrivers].level = 10;
    limiter.OnReport(report, At(time));
  }
  EXPECT_GT(limiter.StateOf(kDrivers, At(1200ms)).level, 5);
  EXPECT_TRUE(limiter.TryAcquire(kDrivers, 1, At(1200ms)));
}

TEST(AccountRateLimiterTest, AccountsWithoutLimitAreAlwaysAdmitted) {
  AccountRateLimiter limiter({});
  limiter.Configure({{.name = kDrivers}}, At(0s));
  EXPECT_TRUE(limiter.TryAcquire(kDrivers, 1e9, At(0s)));
  EXPECT_TRUE(limiter.TryAcquire(AccountId("unknown"), 1e9, At(0s)));
}

// Guards against requests that are always rejected because they are larger than the burst.
TEST(AccountRateLimiterTest, RequestLargerThanBurstIsAdmittedByFullBucket) {
  AccountRateLimiter limiter({});
  limiter.Configure(Policy(100, 100), At(0s));
  EXPECT_FALSE(limiter.TryAcquire(kDrivers, 500, At(500ms)));
  EXPECT_TRUE(limiter.TryAcquire(kDrivers, 500, At(1s)));
  EXPECT_FALSE(limiter.TryAcquire(kDrivers, 1, At(2s)));
}

// Guards against daemons of a large fleet that admit more than the tolerance allows before they
// have heard of each other: their reports pass through representatives, and take longer than those
// of a small one.
TEST(AccountRateLimiterTest, LongerReportsLeaveLessOfTheToleranceToTheRate) {
  AccountRateLimiter limiter({.overshoot = 0.1, .slack = 1000, .window = 8s});
  limiter.Configure({{.name = kDrivers, .rate = 1000, .burst = 1000}}, At(0s));
  const double short_delay_rate = limiter.StateOf(kDrivers, At(0s)).rate;
  limiter.SetPropagationDelay(1s);
  // The tolerance of 1,900 units covers the rate over one second; the rest is spread over 8 s.
  EXPECT_NEAR(limiter.StateOf(kDrivers, At(0s)).rate, 1000 + 900.0 / 8, 1e-6);
  EXPECT_GT(short_delay_rate, limiter.StateOf(kDrivers, At(0s)).rate);
}

TEST(AccountRateLimiterTest, TimeUntilAvailableReturnsTheRefillTime) {
  AccountRateLimiter limiter({});
  limiter.Configure(Policy(100, 100), At(0s));
  EXPECT_EQ(limiter.TimeUntilAvailable(kDrivers, 50, At(0s)), 500ms);
}

TEST(AccountRateLimiterTest, RefundedUnitsCanBeTakenAgain) {
  AccountRateLimiter limiter({});
  limiter.Configure(Policy(100, 100), At(0s));
  EXPECT_TRUE(limiter.TryAcquire(kDrivers, 100, At(1s)));
  limiter.Refund(kDrivers, 100);
  EXPECT_TRUE(limiter.TryAcquire(kDrivers, 100, At(1s)));
}

// Guards against a restarted daemon that rejects requests that its peers would admit.
TEST(AccountRateLimiterTest, RestartedDaemonAdoptsTheLevelOfItsPeers) {
  AccountRateLimiter limiter({});
  limiter.Configure(Policy(100, 100), At(0s));
  limiter.OnReport(PeerReport(1, {.taken = 5000, .level = 80}), At(0s));
  EXPECT_TRUE(limiter.TryAcquire(kDrivers, 80, At(0s)));
}

// Guards against charging the whole usage of a restarted peer again.
TEST(AccountRateLimiterTest, RestartedPeerIsChargedFromZero) {
  AccountRateLimiter limiter({});
  limiter.Configure(Policy(100, 100), At(0s));
  limiter.OnReport(PeerReport(1, {.taken = 5000, .level = 100}), At(1s));
  limiter.OnReport(PeerReport(2, {.taken = 10, .level = 90}), At(2s));
  EXPECT_TRUE(limiter.TryAcquire(kDrivers, 50, At(2s)));
}

// Guards against requests that are refused for another reason after they were charged, and use up
// the daemon's part of an allowance of which the fleet has enough left.
TEST(AccountRateLimiterTest, RefundedUnitsAreAvailableToAnOverloadedAccount) {
  constexpr std::size_t kDaemons = 8;
  constexpr double kRate = 100'000;
  constexpr double kUnits = 2'000;
  Fleet fleet(kDaemons, kRate, kRate, {});
  double taken = 0;
  int asked = 0;
  for (Duration time = 0s; time < 20s; time += 10ms) {
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      // Four times the rate.
      if (time % 40ms == 0ms && fleet.TakeAt(daemon, kUnits, time)) {
        if (++asked % 2 == 0) {
          fleet.RefundAt(daemon, kUnits);
        } else if (time >= 5s) {
          taken += kUnits;
        }
      }
    }
    fleet.ExchangeReportsIfDue(time);
  }
  EXPECT_GT(taken, 0.85 * kRate * 15);
}

// Guards against expensive requests that use up an exhausted allowance, so that requests which cost
// a fraction of them are refused.
TEST(AccountRateLimiterTest, CheapRequestsOfAnOverloadedAccountAreAdmittedFirst) {
  constexpr std::size_t kDaemons = 8;
  constexpr double kRate = 80'000;
  constexpr double kCheap = 200;
  constexpr double kExpensive = 9'000;
  Fleet fleet(kDaemons, kRate, kRate, {});
  Random random(5);
  int cheap = 0;
  int admitted_cheap = 0;
  double taken = 0;
  for (Duration time = 0s; time < 20s; time += 10ms) {
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      const bool counts = time >= 5s;
      if (random.Bernoulli(0.05)) {
        const bool admitted = fleet.TakeAt(daemon, kCheap, time);
        cheap += counts ? 1 : 0;
        admitted_cheap += admitted && counts ? 1 : 0;
        taken += admitted && counts ? kCheap : 0;
      }
      // More than three times the rate.
      if (random.Bernoulli(0.035) && fleet.TakeAt(daemon, kExpensive, time) && counts) {
        taken += kExpensive;
      }
    }
    fleet.ExchangeReportsIfDue(time);
  }
  EXPECT_GT(admitted_cheap, 0.95 * cheap);
  EXPECT_GT(taken, 0.8 * kRate * 15);
}

}  // namespace
}  // namespace savoryglade
