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

// Several daemons under load on a virtual clock, which exchange their use at an interval.
class Fleet {
 public:
  Fleet(int daemons, double rate, double burst, RateLimiterOptions options,
        Duration exchange_interval = 150ms)
      : exchange_interval_(exchange_interval) {
    for (int i = 0; i < daemons; ++i) {
      daemons_.push_back(std::make_unique<AccountRateLimiter>(options));
      daemons_.back()->Configure(Policy(rate, burst), At(0s));
      daemons_.back()->SetDaemons(daemons);
    }
  }

  // Offers requests of the given size at each daemon each step and returns the most units that
  // were taken in any window of 8 s.
  double MostTaken(Duration until, double units, bool (*connected)(TimePoint, int, int),
                   Duration from = 0s) {
    constexpr Duration kStep = 10ms;
    constexpr Duration kWindow = 8s;
    double most = 0;
    for (Duration time = from; time < until; time += kStep) {
      const TimePoint now = At(time);
      for (const auto& daemon : daemons_) {
        if (daemon->Take(kDrivers, units, now)) {
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
        Exchange(now, connected);
      }
    }
    return most;
  }

  // Offers one request at one daemon. Returns whether it was taken.
  bool Offer(std::size_t daemon, double units, Duration time) {
    return daemons_[daemon]->Take(kDrivers, units, At(time));
  }

  void ExchangeWhenDue(Duration time) {
    if (time % exchange_interval_ == 0ms) {
      Exchange(At(time), [](TimePoint, int, int) { return true; });
    }
  }

 private:
  void Exchange(TimePoint now, bool (*connected)(TimePoint, int, int)) {
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
  // What was taken within the last window.
  std::deque<std::pair<TimePoint, double>> taken_;
  double sum_ = 0;
};

AllowanceReport PeerReport(std::uint64_t incarnation, AllowanceUsage use) {
  return {.source = ReportSource::Daemon(DaemonId("peer")),
          .incarnation = incarnation,
          .use = {{kDrivers, use}}};
}

constexpr double kRate = 100'000;
constexpr double kBurst = 100'000;
constexpr RateLimiterOptions kTolerant{.overshoot = 0.1, .slack = 140'000};
// What the operators allow in any window of 8 s.
constexpr double kAllowed = (kRate * 8 + kBurst) * 1.1 + 140'000;

// Load pattern: one account sends many times its allowance through all daemons.
TEST(AccountRateLimiterTest, AHotAccountStaysWithinItsAllowanceOverAllDaemons) {
  Fleet fleet(8, kRate, kBurst, kTolerant);
  const double most = fleet.MostTaken(30s, 6000, [](TimePoint, int, int) { return true; });
  EXPECT_LE(most, kAllowed);
  EXPECT_GE(most, kRate * 8);
}

// Load pattern: the same in a large fleet whose daemons hear of each other late. All of them saw
// units at the same moment, took them, and waited out the debt together, so that two such bursts
// fell into one window.
TEST(AccountRateLimiterTest, AHotAccountStaysWithinItsAllowanceInALargeFleet) {
  Fleet fleet(82, kRate, kBurst, kTolerant, 660ms);
  const double most = fleet.MostTaken(40s, 200, [](TimePoint, int, int) { return true; });
  EXPECT_LE(most, kAllowed);
  EXPECT_GE(most, kRate * 8 * 0.8);
}

// Load pattern: an account stays around its rate, and each of many daemons gets few of its
// requests. A daemon that had just got one refused the next, although the fleet had units left.
TEST(AccountRateLimiterTest, AnAccountAroundItsRateIsServedWhereverItsRequestsArrive) {
  constexpr int kDaemons = 63;
  constexpr double kUnits = 2000;
  Fleet fleet(kDaemons, 2 * kRate, 2 * kBurst, kTolerant, 200ms);
  Random random(63);
  int asked = 0;
  int refused = 0;
  for (Duration time = 0s; time < 40s; time += 10ms) {
    // Ten seconds at 1.1 of the rate, then ten at 0.9.
    const std::uint64_t of_rate = time % 20s < 10s ? 110 : 90;
    const int requests = (random.UniformInt(100) < of_rate / 2 ? 1 : 0) +
                         (random.UniformInt(100) < of_rate / 2 ? 1 : 0);
    for (int i = 0; i < requests; ++i) {
      const bool taken = fleet.Offer(random.UniformInt(kDaemons), kUnits, time);
      asked += time >= 2s ? 1 : 0;
      refused += time >= 2s && !taken ? 1 : 0;
    }
    fleet.ExchangeWhenDue(time);
  }
  EXPECT_LE(refused, asked / 50);
}

// Load pattern: the same with large requests.
TEST(AccountRateLimiterTest, LargeRequestsOfAHotAccountStayWithinItsAllowance) {
  Fleet fleet(30, 4 * kRate, 4 * kBurst, kTolerant, 300ms);
  const double most = fleet.MostTaken(40s, 4000, [](TimePoint, int, int) { return true; });
  EXPECT_LE(most, (4 * kRate * 8 + 4 * kBurst) * 1.1 + 140'000);
  EXPECT_GE(most, 4 * kRate * 8 * 0.8);
}

// Load pattern: the same, while the daemons are cut into two halves.
TEST(AccountRateLimiterTest, ADividedFleetStaysWithinTheAllowance) {
  Fleet fleet(8, kRate, kBurst, kTolerant);
  const double most = fleet.MostTaken(30s, 6000, [](TimePoint now, int from, int to) {
    return now < At(10s) || now > At(20s) || from / 4 == to / 4;
  });
  EXPECT_LE(most, kAllowed);
}

// Load pattern: an account near its rate turns hot, after its bucket was full.
TEST(AccountRateLimiterTest, AnAccountThatTurnsHotInALargeFleetStaysWithinItsAllowance) {
  Fleet fleet(82, 4 * kRate, 4 * kBurst, kTolerant, 490ms);
  const auto connected = [](TimePoint, int, int) { return true; };
  // 82 daemons, 40 units each 10 ms: 0.82 of the rate.
  fleet.MostTaken(12s, 40, connected);
  const double most = fleet.MostTaken(24s, 400, connected, 12s);
  EXPECT_LE(most, (4 * kRate * 8 + 4 * kBurst) * 1.1 + 140'000);
  EXPECT_GE(most, 4 * kRate * 8 * 0.8);
}

// Load pattern: some daemons of each failure domain hear only those of their domain that hear all,
// and then an account turns hot. Each took what its whole domain was left.
TEST(AccountRateLimiterTest, DaemonsThatHearFewOthersKeepToTheirEvenPart) {
  Fleet fleet(40, 4 * kRate, 4 * kBurst, kTolerant, 300ms);
  const auto connected = [](TimePoint now, int from, int to) {
    const auto deaf = [now](int daemon) { return now > At(5s) && daemon % 10 < 3; };
    return !deaf(to) || (from / 10 == to / 10 && !deaf(from));
  };
  fleet.MostTaken(9s, 40, connected);
  const double most = fleet.MostTaken(30s, 800, connected, 9s);
  EXPECT_LE(most, (4 * kRate * 8 + 4 * kBurst) * 1.1 + 140'000);
  EXPECT_GE(most, 4 * kRate * 8 * 0.8);
}

// Guards against a fleet that forgets, after some time, those whom some of its daemons don't hear.
TEST(AccountRateLimiterTest, ALongDivisionStaysWithinTheAllowance) {
  Fleet fleet(40, 4 * kRate, 4 * kBurst, kTolerant, 300ms);
  const auto connected = [](TimePoint now, int from, int to) {
    return now < At(5s) || from / 10 == to / 10;
  };
  const double most = fleet.MostTaken(40s, 800, connected);
  EXPECT_LE(most, (4 * kRate * 8 + 4 * kBurst) * 1.1 + 140'000);
}

TEST(AccountRateLimiterTest, AccountsWithoutALimitAreNotCounted) {
  AccountRateLimiter allowance({});
  allowance.Configure({{.name = kDrivers}}, At(0s));
  EXPECT_TRUE(allowance.Take(kDrivers, 1e9, At(0s)));
  EXPECT_TRUE(allowance.Take(AccountId("unknown"), 1e9, At(0s)));
}

// Guards against requests that are refused for ever because they are larger than the burst.
TEST(AccountRateLimiterTest, ARequestLargerThanTheBurstPassesAFullBucket) {
  AccountRateLimiter allowance({});
  allowance.Configure(Policy(100, 100), At(0s));
  EXPECT_FALSE(allowance.Take(kDrivers, 500, At(500ms)));
  EXPECT_TRUE(allowance.Take(kDrivers, 500, At(1s)));
  EXPECT_FALSE(allowance.Take(kDrivers, 1, At(2s)));
}

TEST(AccountRateLimiterTest, TellsWhenTheUnitsAreThere) {
  AccountRateLimiter allowance({});
  allowance.Configure(Policy(100, 100), At(0s));
  EXPECT_EQ(allowance.TimeUntilAvailable(kDrivers, 50, At(0s)), 500ms);
}

TEST(AccountRateLimiterTest, GivesBackWhatWasNotRun) {
  AccountRateLimiter allowance({});
  allowance.Configure(Policy(100, 100), At(0s));
  EXPECT_TRUE(allowance.Take(kDrivers, 100, At(1s)));
  allowance.Refund(kDrivers, 100);
  EXPECT_TRUE(allowance.Take(kDrivers, 100, At(1s)));
}

// Guards against a daemon that restarts and refuses what its peers would allow.
TEST(AccountRateLimiterTest, ARestartedDaemonTakesTheLevelOfItsPeers) {
  AccountRateLimiter allowance({});
  allowance.Configure(Policy(100, 100), At(0s));
  allowance.OnReport(PeerReport(1, {.taken = 5000, .level = 80}), At(0s));
  EXPECT_TRUE(allowance.Take(kDrivers, 80, At(0s)));
}

// Guards against charging the whole use of a peer again after it restarted.
TEST(AccountRateLimiterTest, ARestartedPeerIsChargedFromZero) {
  AccountRateLimiter allowance({});
  allowance.Configure(Policy(100, 100), At(0s));
  allowance.OnReport(PeerReport(1, {.taken = 5000, .level = 100}), At(1s));
  allowance.OnReport(PeerReport(2, {.taken = 10, .level = 90}), At(2s));
  EXPECT_TRUE(allowance.Take(kDrivers, 50, At(2s)));
}

}  // namespace
}  // namespace savoryglade
