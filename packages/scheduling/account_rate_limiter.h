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

// Usage of an account's allowance, in units of the account: what callers requested and took since
// the start of the reporting daemon, and the token bucket's level at that daemon.
struct AllowanceUsage {
  double asked = 0;
  double taken = 0;
  double level = 0;

  friend auto operator<=>(const AllowanceUsage&, const AllowanceUsage&) = default;
};

// Usage of the allowances at one daemon, or at several together. Accounts that have not changed are
// left out.
struct AllowanceReport {
  ReportSource source;
  // Identifies the start of the reporting daemon; its totals count from there.
  std::uint64_t incarnation = 0;
  // Number of daemons that the report covers.
  int daemons = 1;
  // Whether the source is shutting down.
  bool leaving = false;
  std::map<AccountId, AllowanceUsage> use;
};

// Rate limiter state of an account, which explains a rejection.
struct AllowanceState {
  // Units in the bucket, less the expected usage of other daemons, and units added per second.
  double level = 0;
  double rate = 0;
  // Units left of this daemon's part of the rate, if it is limited to a part.
  std::optional<double> local_level;

  friend auto operator<=>(const AllowanceState&, const AllowanceState&) = default;
};

struct RateLimiterOptions {
  // Tolerance: the fraction by which rate and burst may be exceeded, and additional units that may
  // be taken in any window. Both bounds hold for the whole fleet.
  double overshoot = 0;
  double slack = 0;
  Duration window = 8s;
  // Time for which the fleet may take units at an account's rate before all daemons have received
  // the usage, and between the admission of a request and its start.
  Duration propagation_delay = 700ms;
  // Time without a report after which a peer is charged an even part of each rate until it reports
  // again.
  Duration peer_silence_timeout = 1s;
  // Time without a report after which a peer is removed, unless RemoveSource removes it earlier.
  Duration peer_expiry_timeout = 60s;
};

// Distributed token-bucket rate limiter of the client accounts. Each daemon has a bucket for each
// account, from which it takes units for its own requests immediately and for those of its peers
// when it receives their reports. Between two reports a peer is assumed to continue at its recent
// rate. While more than the rate is requested, each daemon takes only its part of the rate, in
// proportion to its local requests; otherwise all daemons would take the same units and then wait
// for the bucket to refill together. Of what is left then, cheap requests get more than expensive
// ones, so that most requests are served. A peer that stops reporting is charged an even part of
// the rate, so that the sides of a network partition together stay within the allowance. Not
// thread-safe.
class AccountRateLimiter {
 public:
  explicit AccountRateLimiter(RateLimiterOptions options) : options_(options) {}

  // Sets the tolerance by which rates and bursts may be exceeded.
  void SetTolerance(double overshoot, double slack, Duration window);
  // Sets the delay of reports after which all daemons have received the usage.
  void SetPropagationDelay(Duration delay);
  // Sets the number of daemons that share the allowances.
  void SetDaemonCount(int daemons) { daemons_ = daemons; }
  // Sets the time without a report after which a source counts as silent.
  void SetPeerSilenceTimeout(Duration silence) {
    options_.peer_silence_timeout = silence;
    next_silence_check_ = {};
  }

  // Sets the accounts of a new configuration. Accounts that remain keep the level of their bucket.
  void Configure(const std::vector<AccountPolicy>& accounts, TimePoint now);

  // Acquires units from the bucket. Returns false, and acquires none, if there are too few or if
  // this daemon's part of the rate is used up. Always returns true for accounts without an
  // allowance.
  bool TryAcquire(const AccountId& account, double units, TimePoint now);
  // Puts the units of a request that did not run back into the bucket.
  void Refund(const AccountId& account, double units);
  // Returns the time after which the units are expected to be available.
  Duration TimeUntilAvailable(const AccountId& account, double units, TimePoint now) const;

  // Returns the state of an account that has an allowance.
  AllowanceState StateOf(const AccountId& account, TimePoint now) const;

  // Updates the requested rates and this daemon's part of each allowance. Must be called at the
  // interval of the reports.
  void UpdateRates(TimePoint now);
  // Returns the usage of the daemons that a report of this scope covers: this daemon, this daemon
  // and those that report to it, or the failure domains that report to it.
  std::map<AccountId, AllowanceUsage> UsageOf(ReportScope scope, TimePoint now);
  // Returns the number of those daemons that have reported recently.
  int ReportingDaemonsOf(ReportScope scope, TimePoint now) const;
  // Returns the number of all daemons that have reported recently, including this one.
  int ReportingDaemons(TimePoint now) const;
  // Records the usage that other daemons report.
  void OnReport(const AllowanceReport& report, TimePoint now);
  // Removes a source that has stopped, so that its silence is not charged.
  void RemoveSource(const ReportSource& source);
  // Removes all sources of a scope.
  void RemoveSources(ReportScope scope);

 private:
  struct Bucket {
    AccountPolicy policy;
    // Units added per second and maximum level, including the tolerance in use.
    double rate = 0;
    double burst = 0;
    double level = 0;
    double asked = 0;
    double taken = 0;
    // Usage reported by others since the start of this daemon, by the scope of the report.
    std::array<AllowanceUsage, 3> reported{};
    TimePoint refilled_at{};
    // Mean units of the recent requests.
    double mean_units = 0;
    // Units left of this daemon's part of the rate; negative after a large request.
    double local_level = 0;
    // Fraction of the rate that this daemon may take while more than the rate is requested, or
    // while too few of its peers report; nothing otherwise. Updated with each report.
    std::optional<double> local_fraction;
    // Recent units per second that callers requested here.
    double asked_rate = 0;
    double previous_asked = 0;
    TimePoint asked_rate_at{};
    // Whether the level is valid: the bucket has been full since the start, or a peer reported it.
    bool level_initialized = false;
  };
  struct Source {
    std::uint64_t incarnation = 0;
    int daemons = 1;
    // Whether to charge everything that the source took since its start.
    bool counts_from_zero = false;
    // Whether the source is shutting down, so that its silence means that it has stopped.
    bool leaving = false;
    TimePoint last_report_at{};
    TimePoint charged_until{};
    std::map<AccountId, double> taken;
    // Units charged during silence that the source has not reported yet.
    std::map<AccountId, double> estimated_taken;
    // Recent units per second.
    std::map<AccountId, double> taken_rates;
    // Units requested in total, and recent units requested per second.
    std::map<AccountId, double> asked;
    std::map<AccountId, double> asked_rates;
  };

  void ApplyPolicy(Bucket& bucket) const;
  static void Refill(Bucket& bucket, TimePoint now);
  void ChargeSilentSources(TimePoint now);
  // Returns the number of daemons in the fleet, as far as they are known here.
  double FleetSize() const;
  std::optional<double> LocalFraction(const AccountId& account, const Bucket& bucket,
                                      TimePoint now) const;
  // Returns how expensive a request is, from 0 to 1; 0.5 for a request of the mean size.
  static double RelativeCost(const Bucket& bucket, double units);
  // Returns the level of the bucket less the expected usage of others since their last report.
  double ExpectedLevel(const AccountId& account, const Bucket& bucket, TimePoint now) const;

  RateLimiterOptions options_;
  int daemons_ = 1;
  std::map<AccountId, Bucket> buckets_;
  std::map<ReportSource, Source> sources_;
  // Number of daemons that the sources cover.
  int reported_daemons_ = 0;
  // No source counts as silent before this instant.
  TimePoint next_silence_check_{};
};

}  // namespace savoryglade
