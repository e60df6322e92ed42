#include "routing/upstream_rate_limits.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <deque>
#include <set>
#include <string>
#include <vector>

namespace savoryglade {
namespace {

constexpr std::uint64_t kUpstream = 7;
const FailureDomainId kVerona("verona");

TimePoint At(Duration time) { return TimePoint(100s) + time; }

std::string NameOf(std::size_t daemon) { return "daemon-" + std::to_string(daemon); }

UpstreamRateLimits SoleDaemon() {
  UpstreamRateLimits limits;
  limits.SetPeers(
      {.self = DaemonId("a"), .failure_domain = kVerona, .live = {DaemonId("a")}, .domains = {}});
  return limits;
}

// Daemons on a virtual clock that all have more requests for one upstream than it takes. The
// upstream names its limit in each answer, and daemons report to each other as ReportExchange does.
class LimitedFleet {
 public:
  LimitedFleet(std::size_t domains, std::size_t members) : members_(members) {
    for (std::size_t i = 0; i < domains * members; ++i) {
      daemons_.push_back({});
    }
    for (std::size_t domain = 0; domain < domains && domains > 1; ++domain) {
      domains_.insert(DomainOf(domain * members));
    }
    UpdatePeers();
  }

  FailureDomainId DomainOf(std::size_t daemon) const {
    return FailureDomainId("domain-" + std::to_string(daemon / members_));
  }

  // Forgets all that a daemon knows.
  void Restart(std::size_t daemon) {
    daemons_[daemon].limits = {};
    UpdatePeers();
  }
  void Kill(std::size_t daemon) {
    daemons_[daemon].alive = false;
    UpdatePeers();
  }

  // Plays this long. Returns the times of the requests that reach the upstream.
  std::deque<Duration> Play(Duration from, Duration to, std::optional<double> rate) {
    constexpr Duration kStep = 5ms;
    constexpr Duration kReportInterval = 150ms;
    std::deque<Duration> arrivals;
    for (Duration time = from; time < to; time += kStep) {
      for (std::size_t i = 0; i < daemons_.size(); ++i) {
        Daemon& daemon = daemons_[i];
        if (daemon.alive && daemon.limits.MaySend(kUpstream, DomainOf(0), At(time))) {
          daemon.limits.OnSent(kUpstream, At(time));
          daemon.limits.OnAnswer(kUpstream, rate, At(time), At(time + 1ms));
          arrivals.push_back(time);
        }
      }
      if ((time - from) % kReportInterval < kStep) {
        ExchangeReports(At(time));
      }
    }
    return arrivals;
  }

  std::size_t size() const { return daemons_.size(); }

 private:
  struct Daemon {
    UpstreamRateLimits limits;
    bool alive = true;
  };

  void UpdatePeers() {
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      RateLimitPeers peers{.self = DaemonId(NameOf(i)),
                           .failure_domain = DomainOf(i),
                           .live = {},
                           .domains = domains_};
      for (std::size_t other = 0; other < daemons_.size(); ++other) {
        if (daemons_[other].alive && DomainOf(i) == DomainOf(other)) {
          peers.live.emplace_back(NameOf(other));
        }
      }
      daemons_[i].limits.SetPeers(std::move(peers));
    }
  }

  void ExchangeReports(TimePoint now) {
    for (Daemon& from : daemons_) {
      for (const ReportedRateLimit& reported : from.limits.SelectForReport(64, now)) {
        for (Daemon& to : daemons_) {
          to.limits.OnReport(reported, now);
        }
      }
    }
  }

  std::size_t members_;
  std::set<FailureDomainId> domains_;
  std::vector<Daemon> daemons_;
};

// Returns the largest number of arrivals within 4 s.
std::size_t MostInWindow(const std::deque<Duration>& arrivals) {
  std::size_t most = 0;
  for (std::size_t first = 0, last = 0; last < arrivals.size(); ++last) {
    while (arrivals[last] - arrivals[first] >= 4s) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

double AllowedInWindow(double rate) { return 1.5 * rate * 4 + 5; }

// Guards against the share of each daemon adding up to more than the limit.
TEST(UpstreamRateLimitsTest, FleetKeepsToTheLimitAndUsesIt) {
  for (const auto& [domains, members] :
       {std::pair(1UL, 1UL), {1UL, 6UL}, {1UL, 8UL}, {5UL, 16UL}, {28UL, 13UL}}) {
    for (const double rate : {0.3, 1.0, 1.2, 1.7, 5.0, 40.0}) {
      LimitedFleet fleet(domains, members);
      fleet.Play(0s, 3s, rate);
      const std::deque<Duration> arrivals = fleet.Play(3s, 33s, rate);
      EXPECT_LE(static_cast<double>(MostInWindow(arrivals)), AllowedInWindow(rate))
          << fleet.size() << " daemons, " << rate << "/s";
      EXPECT_GE(static_cast<double>(arrivals.size()), 0.8 * 30 * rate - 1)
          << fleet.size() << " daemons, " << rate << "/s";
    }
  }
}

// Guards against daemons that start without knowing the limit and each send as if there were none.
TEST(UpstreamRateLimitsTest, FleetKeepsToTheLimitWhileDaemonsRestartInTurn) {
  LimitedFleet fleet(1, 8);
  constexpr double kRate = 3;
  fleet.Play(0s, 3s, kRate);
  std::deque<Duration> arrivals;
  for (std::size_t daemon = 0; daemon < fleet.size(); ++daemon) {
    const Duration from = 3s + 2s * static_cast<int>(daemon);
    fleet.Restart(daemon);
    // The daemon receives the reports of its peers before it takes requests.
    for (const Duration time : fleet.Play(from, from + 2s, kRate)) {
      arrivals.push_back(time);
    }
  }
  EXPECT_LE(static_cast<double>(MostInWindow(arrivals)), AllowedInWindow(kRate));
}

TEST(UpstreamRateLimitsTest, UpstreamIsUsedWhenTheDaemonsThatSendAreGone) {
  LimitedFleet fleet(1, 6);
  fleet.Play(0s, 3s, 1.0);
  for (std::size_t daemon = 0; daemon + 1 < fleet.size(); ++daemon) {
    fleet.Kill(daemon);
  }
  EXPECT_GE(fleet.Play(3s, 13s, 1.0).size(), 8U);
}

TEST(UpstreamRateLimitsTest, AnswerWithoutALimitEndsIt) {
  LimitedFleet fleet(1, 6);
  fleet.Play(0s, 5s, 1.0);
  EXPECT_LE(fleet.Play(5s, 6s, 1.0).size(), 2U);
  fleet.Play(6s, 8s, std::nullopt);
  EXPECT_GE(fleet.Play(8s, 9s, std::nullopt).size(), 100U);
}

// Guards against a limit that an answer ends which was on its way when the limit was named.
TEST(UpstreamRateLimitsTest, EarlierAnswerDoesNotEndTheLimit) {
  UpstreamRateLimits limits = SoleDaemon();
  EXPECT_TRUE(limits.OnAnswer(kUpstream, 2.0, At(0s), At(1s)));
  EXPECT_FALSE(limits.OnAnswer(kUpstream, std::nullopt, At(900ms), At(2s)));
  EXPECT_EQ(limits.RateOf(kUpstream), 2.0);
  EXPECT_TRUE(limits.OnAnswer(kUpstream, std::nullopt, At(1100ms), At(2s)));
  EXPECT_EQ(limits.RateOf(kUpstream), std::nullopt);
  // A report of what was seen before does not bring it back.
  EXPECT_FALSE(limits.OnReport({.upstream = kUpstream, .rate = 2.0, .age = 1s}, At(2500ms)));
  EXPECT_EQ(limits.RateOf(kUpstream), std::nullopt);
}

// Guards against an upstream that is never used again because the daemon that may send has no
// requests for it.
TEST(UpstreamRateLimitsTest, MoreDaemonsSendToAnUpstreamThatAnswersNobody) {
  std::vector<UpstreamRateLimits> daemons(4);
  RateLimitPeers peers{.self = {},
                       .failure_domain = kVerona,
                       .live = {DaemonId("0"), DaemonId("1"), DaemonId("2"), DaemonId("3")},
                       .domains = {}};
  std::size_t senders_at_once = 0;
  std::size_t senders_later = 0;
  for (std::size_t i = 0; i < daemons.size(); ++i) {
    peers.self = peers.live[i];
    daemons[i].SetPeers(peers);
    daemons[i].OnAnswer(kUpstream, 1.0, At(0s), At(0s));
    senders_at_once += daemons[i].MaySend(kUpstream, kVerona, At(1s)) ? 1 : 0;
    senders_later += daemons[i].MaySend(kUpstream, kVerona, At(16s)) ? 1 : 0;
  }
  EXPECT_EQ(senders_at_once, 1U);
  EXPECT_EQ(senders_later, 4U);
}

TEST(UpstreamRateLimitsTest, DaemonThatStopsLeavesTheUpstreamToOthers) {
  UpstreamRateLimits limits;
  limits.SetPeers(
      {.self = DaemonId("a"), .failure_domain = kVerona, .live = {DaemonId("b")}, .domains = {}});
  EXPECT_TRUE(limits.MaySend(kUpstream, kVerona, At(0s)));
  limits.OnAnswer(kUpstream, 5.0, At(0s), At(0s));
  EXPECT_FALSE(limits.MaySend(kUpstream, kVerona, At(0s)));
}

// Guards against extreme limits that stop an upstream for good or mean nothing.
TEST(UpstreamRateLimitsTest, ExtremeLimitsAreBounded) {
  UpstreamRateLimits limits = SoleDaemon();
  limits.OnAnswer(kUpstream, 0.0, At(0s), At(0s));
  EXPECT_EQ(limits.RateOf(kUpstream), UpstreamRateLimits::kMinRate);
  EXPECT_TRUE(limits.MaySend(kUpstream, kVerona, At(0s)));
  limits.OnSent(kUpstream, At(0s));
  EXPECT_FALSE(limits.MaySend(kUpstream, kVerona, At(9s)));
  EXPECT_TRUE(limits.MaySend(kUpstream, kVerona, At(10s)));
  limits.OnAnswer(kUpstream, 1e300, At(10s), At(10s));
  EXPECT_EQ(limits.RateOf(kUpstream), std::nullopt);
}

TEST(UpstreamRateLimitsTest, LimitsAreForgottenLongAfterTheLastAnswer) {
  UpstreamRateLimits limits = SoleDaemon();
  limits.OnAnswer(kUpstream, 1.0, At(0s), At(0s));
  EXPECT_EQ(limits.SelectForReport(64, At(60s)).size(), 1U);
  EXPECT_TRUE(limits.SelectForReport(64, At(61s)).empty());
  EXPECT_EQ(limits.RateOf(kUpstream), std::nullopt);
}

// Guards against daemons that together use more, or less, than all places of an upstream.
TEST(UpstreamRateLimitsTest, SharesOfPlacesAddUpToAllOfThem) {
  for (const std::size_t domains : {1U, 3U}) {
    for (const std::size_t members : {1U, 4U, 9U}) {
      std::set<FailureDomainId> names;
      for (std::size_t domain = 0; domain < domains; ++domain) {
        names.insert(FailureDomainId("domain-" + std::to_string(domain)));
      }
      for (const int places : {1, 6, 64}) {
        int sum = 0;
        for (const FailureDomainId& domain : names) {
          std::vector<DaemonId> live;
          for (std::size_t i = 0; i < members; ++i) {
            live.emplace_back(domain.value() + NameOf(i));
          }
          for (const DaemonId& self : live) {
            UpstreamRateLimits limits;
            limits.SetPeers({.self = self,
                             .failure_domain = domain,
                             .live = live,
                             .domains = domains > 1 ? names : std::set<FailureDomainId>()});
            sum += limits.ShareOf(kUpstream, places);
          }
        }
        EXPECT_EQ(sum, places) << domains << ' ' << members;
      }
    }
  }
}

}  // namespace
}  // namespace savoryglade
