#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "config/route_table.h"
#include "core/report_source.h"
#include "core/strong_id.h"
#include "core/time.h"

namespace savoryglade {

// What callers have asked of an account's allowance since the start of the reporting daemon, what
// they got, and the level of the bucket as that daemon sees it, in units of the account.
struct AllowanceUsage {
  double asked = 0;
  double taken = 0;
  double level = 0;

  friend auto operator<=>(const AllowanceUsage&, const AllowanceUsage&) = default;
};

// Use of the allowances by a daemon or by several together. Accounts that are left out have not
// changed.
struct AllowanceReport {
  ReportSource source;
  // Tells the starts of the reporting daemon apart; its totals count from the start.
  std::uint64_t incarnation = 0;
  // Daemons for which it speaks.
  int daemons = 1;
  std::map<AccountId, AllowanceUsage> use;
};

// Why an account may take no more at the moment.
struct AllowanceState {
  // Units in the bucket, less what others are expected to have taken, and what flows in per second.
  double level = 0;
  double rate = 0;
  // Units that this daemon's part of the rate leaves it, if it is held to a part.
  std::optional<double> local_level;

  friend auto operator<=>(const AllowanceState&, const AllowanceState&) = default;
};

struct RateLimiterOptions {
  // Part of the rate and the burst that may be taken beyond them, and units that may be taken
  // besides in any window; both bounds hold for the whole fleet.
  double overshoot = 0;
  double slack = 0;
  Duration window = 8s;
  // Time for which the fleet may take units at the rate of an account before all daemons know.
  Duration lateness = 700ms;
  // A peer that was not heard for this long is charged an even part of each rate until it returns.
  Duration peer_silence = 1s;
  // A peer that was not heard for this long has gone, unless ForgetPeer says so earlier.
  Duration peer_lifetime = 60s;
};

// Allowances of the client accounts over all daemons. Each daemon has a bucket for each account,
// takes its own requests out at once and those of its peers when it hears of them. Between two
// digests a peer is expected to go on taking at its recent rate, and while more is asked than the
// rate, each daemon takes only its part of the rate, by what is asked there; otherwise all daemons
// would take the same units and wait out the debt together. While a peer is silent it is charged an
// even part of the rate, so that parts of a divided fleet together stay within the allowance. Not
// safe to use from several threads.
class AccountRateLimiter {
 public:
  explicit AccountRateLimiter(RateLimiterOptions options) : options_(options) {}

  // Sets what may be taken beyond rates and bursts.
  void SetTolerance(double overshoot, double slack, Duration window);
  // Sets the number of daemons that share the allowances.
  void SetDaemons(int daemons) { daemons_ = daemons; }
  // Sets the time after which a source counts as silent.
  void SetPeerSilenceTimeout(Duration silence) {
    options_.peer_silence = silence;
    all_heard_until_ = {};
  }

  // Takes the accounts of a new configuration. Buckets of accounts that stay keep their level.
  void Configure(const std::vector<AccountPolicy>& accounts, TimePoint now);

  // Takes units out of the bucket. Returns false, and takes nothing, if there are too few.
  bool Take(const AccountId& account, double units, TimePoint now);
  // Gives back what a request took that was not run.
  void Refund(const AccountId& account, double units);
  // Time after which the units are expected to be there.
  Duration TimeUntilAvailable(const AccountId& account, double units, TimePoint now) const;

  // State of an account that has an allowance.
  AllowanceState StateOf(const AccountId& account, TimePoint now) const;

  // Works out what is asked here and this daemon's part of each allowance; called at the interval
  // of the reports.
  void UpdateRates(TimePoint now);
  // Use by the daemons for which a report of this scope speaks: this daemon, it and the daemons
  // that report to it, or the failure domains that report to it.
  std::map<AccountId, AllowanceUsage> UsageOf(ReportScope scope, TimePoint now);
  // Number of those daemons that were heard of late.
  int ReportingDaemonsOf(ReportScope scope, TimePoint now) const;
  // Number of all daemons whose use has been reported of late, with this one.
  int ReportingDaemons(TimePoint now) const;
  // Takes the use of others.
  void OnReport(const AllowanceReport& report, TimePoint now);
  // Takes the news that a source ends: nothing is charged for its silence.
  void Forget(const ReportSource& source);
  // Forgets all sources of this scope.
  void Forget(ReportScope scope);

 private:
  struct Bucket {
    AccountPolicy policy;
    // Units per second and most units at once, with the tolerance in use.
    double rate = 0;
    double burst = 0;
    double level = 0;
    double asked = 0;
    double taken = 0;
    // Use by others that was reported since the start of this daemon, by the scope of the report.
    std::array<AllowanceUsage, 3> reported{};
    TimePoint refilled{};
    // Units that this daemon's part of the rate leaves it; below zero after a large request.
    double local_level = 0;
    // Part of the rate that is this daemon's while more is asked than the rate, or while it hears
    // too few of its peers; nothing otherwise. Worked out with each digest.
    std::optional<double> own_part;
    // Recent units per second that callers asked for here.
    double asked_rate = 0;
    double asked_before = 0;
    TimePoint asked_at{};
    // Whether the level is known: filled since the start, or heard from a peer.
    bool informed = false;
  };
  struct Source {
    std::uint64_t incarnation = 0;
    int daemons = 1;
    // Whether all that it took since its start is to be charged.
    bool from_zero = false;
    TimePoint heard{};
    TimePoint charged_until{};
    std::map<AccountId, double> taken;
    // Units charged during silence that the source has not accounted for yet.
    std::map<AccountId, double> assumed;
    // Recent units per second.
    std::map<AccountId, double> rates;
    // Units asked for, in all and per second of late.
    std::map<AccountId, double> asked;
    std::map<AccountId, double> asked_rates;
  };

  void ApplyPolicy(Bucket& bucket) const;
  static void Refill(Bucket& bucket, TimePoint now);
  void ChargeSilentSources(TimePoint now);
  // Daemons of the fleet, as far as they are known here.
  double Daemons() const;
  std::optional<double> OwnPart(const AccountId& account, const Bucket& bucket,
                                TimePoint now) const;
  // Level of the bucket less what others are expected to have taken since they were heard.
  double ExpectedLevel(const AccountId& account, const Bucket& bucket, TimePoint now) const;

  RateLimiterOptions options_;
  int daemons_ = 1;
  std::map<AccountId, Bucket> buckets_;
  std::map<ReportSource, Source> sources_;
  // Daemons for which the sources speak.
  int reported_daemons_ = 0;
  // No source counts as silent before this instant.
  TimePoint all_heard_until_{};
};

}  // namespace savoryglade
