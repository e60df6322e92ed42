#include "scheduling/account_rate_limiter.h"

#include <algorithm>

namespace savoryglade {

namespace {

// Smoothing factor of the rate at which a peer takes units, for each report.
constexpr double kTakenRateSmoothing = 0.3;
// Shortest time to which the usage between two reports is related.
constexpr Duration kMinRateInterval = 100ms;
// Smoothing factor of the requested rate, for each report.
constexpr double kAskedRateSmoothing = 0.5;
// Multiple of the rate from which each daemon is limited to its own part. Below it, the units
// that are taken before the reports arrive stay within the tolerance reserved for the propagation
// delay.
constexpr double kContentionRatio = 1.8;
// Fraction of the tolerance that is used however long the propagation delay is.
constexpr double kMinToleranceFraction = 0.1;
// Fraction of the peers that may be silent before a daemon is limited to its even part.
constexpr double kMaxSilentPeerFraction = 0.3;
// Multiple of its part that a daemon may take; the bucket of the fleet still limits the total.
constexpr double kLocalFractionSlack = 1.2;
// Smoothing factor of the mean request size, for each request.
constexpr double kMeanUnitsSmoothing = 0.02;
// While more than the rate is requested, units of the bucket, as a fraction of the units added in
// a second, that the most expensive requests leave to others.
constexpr double kReservedSeconds = 0.5;
// Units by which the cheapest requests may overdraw a daemon's part, in seconds of the part and in
// requests of the mean size, whichever is more.
constexpr double kOverdraftSeconds = 0.5;
constexpr double kOverdraftRequests = 3;

}  // namespace

void AccountRateLimiter::ApplyPolicy(Bucket& bucket) const {
  const double window = ToSeconds(options_.window);
  const AccountPolicy& policy = bucket.policy;
  const double tolerance_units =
      options_.overshoot * (policy.rate * window + policy.burst) + options_.slack;
  // The rest of the tolerance covers usage that the daemons learn of after the propagation delay.
  const double late_units = policy.rate * ToSeconds(options_.propagation_delay);
  const double used_units =
      std::max(tolerance_units - late_units, tolerance_units * kMinToleranceFraction);
  // The used tolerance raises the rate and not the burst: an account with sustained demand gains
  // more from a higher rate.
  bucket.rate = policy.rate + used_units / window;
  bucket.burst = policy.burst;
  bucket.level = std::min(bucket.level, bucket.burst);
}

void AccountRateLimiter::SetTolerance(double overshoot, double slack, Duration window) {
  options_.overshoot = overshoot;
  options_.slack = slack;
  options_.window = window;
  for (auto& [account, bucket] : buckets_) {
    ApplyPolicy(bucket);
  }
}

void AccountRateLimiter::SetPropagationDelay(Duration delay) {
  if (options_.propagation_delay == delay) {
    return;
  }
  options_.propagation_delay = delay;
  for (auto& [account, bucket] : buckets_) {
    ApplyPolicy(bucket);
  }
}

void AccountRateLimiter::Configure(const std::vector<AccountPolicy>& accounts, TimePoint now) {
  std::map<AccountId, Bucket> buckets;
  for (const AccountPolicy& policy : accounts) {
    if (policy.rate <= 0) {
      continue;
    }
    const auto found = buckets_.find(policy.name);
    Bucket bucket = found != buckets_.end() ? found->second : Bucket{.refilled_at = now};
    bucket.policy = policy;
    ApplyPolicy(bucket);
    buckets.emplace(policy.name, bucket);
  }
  buckets_ = std::move(buckets);
}

double AccountRateLimiter::FleetSize() const {
  return static_cast<double>(std::max(daemons_, reported_daemons_ + 1));
}

void AccountRateLimiter::RemoveSource(const ReportSource& source) {
  const auto found = sources_.find(source);
  if (found != sources_.end()) {
    reported_daemons_ -= found->second.daemons;
    sources_.erase(found);
  }
}

void AccountRateLimiter::RemoveSources(ReportScope scope) {
  std::erase_if(sources_, [&](const auto& entry) {
    const bool matches = entry.first.scope == scope;
    reported_daemons_ -= matches ? entry.second.daemons : 0;
    return matches;
  });
}

std::optional<double> AccountRateLimiter::LocalFraction(const AccountId& account,
                                                        const Bucket& bucket, TimePoint now) const {
  double asked = bucket.asked_rate;
  double reporting_daemons = 1;
  for (const auto& [id, source] : sources_) {
    const auto rate = source.asked_rates.find(account);
    asked += rate == source.asked_rates.end() ? 0 : rate->second;
    reporting_daemons +=
        now - source.last_report_at > options_.peer_silence_timeout ? 0 : source.daemons;
  }
  const double daemons = FleetSize();
  const double even_fraction = 1 / daemons;
  // Peers that report here may receive reports from others, so the units that the silent peers
  // leave are not available to this daemon alone.
  if (daemons - reporting_daemons > kMaxSilentPeerFraction * (daemons - 1)) {
    return even_fraction;
  }
  if (asked < bucket.rate * kContentionRatio) {
    return std::nullopt;
  }
  // A daemon without earlier requests gets half of an even part.
  return std::min(1.0,
                  kLocalFractionSlack * std::max(bucket.asked_rate / asked, even_fraction / 2));
}

void AccountRateLimiter::Refill(Bucket& bucket, TimePoint now) {
  const double added = ToSeconds(std::max(now - bucket.refilled_at, Duration::zero()));
  const double part = bucket.local_fraction.value_or(1);
  bucket.local_level =
      std::min(bucket.local_level + added * bucket.rate * part, bucket.burst * part);
  bucket.level = std::min(bucket.level + added * bucket.rate, bucket.burst);
  bucket.refilled_at = std::max(now, bucket.refilled_at);
  bucket.level_initialized = bucket.level_initialized || bucket.level >= bucket.burst;
}

void AccountRateLimiter::ChargeSilentSources(TimePoint now) {
  if (now < next_silence_check_) {
    return;
  }
  std::erase_if(sources_, [&](const auto& entry) {
    const Duration timeout =
        entry.second.leaving ? options_.peer_silence_timeout : options_.peer_expiry_timeout;
    const bool gone = now - entry.second.last_report_at > timeout;
    reported_daemons_ -= gone ? entry.second.daemons : 0;
    return gone;
  });
  const double daemons = FleetSize();
  next_silence_check_ = now + options_.peer_silence_timeout;
  for (auto& [id, source] : sources_) {
    next_silence_check_ =
        std::min(next_silence_check_, source.last_report_at + options_.peer_silence_timeout);
    const TimePoint silent_since =
        std::max(source.last_report_at + options_.peer_silence_timeout, source.charged_until);
    if (now <= silent_since) {
      continue;
    }
    for (auto& [account, bucket] : buckets_) {
      const double units = ToSeconds(now - silent_since) * bucket.rate * source.daemons / daemons;
      bucket.level -= units;
      source.estimated_taken[account] += units;
    }
    source.charged_until = now;
  }
}

double AccountRateLimiter::ExpectedLevel(const AccountId& account, const Bucket& bucket,
                                         TimePoint now) const {
  double level = bucket.level;
  for (const auto& [id, source] : sources_) {
    const auto rate = source.taken_rates.find(account);
    if (rate != source.taken_rates.end()) {
      level -= rate->second *
               ToSeconds(std::min(now - source.last_report_at, options_.peer_silence_timeout));
    }
  }
  return level;
}

double AccountRateLimiter::RelativeCost(const Bucket& bucket, double units) {
  const double sum = units + bucket.mean_units;
  return sum > 0 ? units / sum : 0;
}

bool AccountRateLimiter::TryAcquire(const AccountId& account, double units, TimePoint now) {
  const auto found = buckets_.find(account);
  if (found == buckets_.end()) {
    return true;
  }
  ChargeSilentSources(now);
  Bucket& bucket = found->second;
  Refill(bucket, now);
  bucket.asked += units;
  bucket.mean_units += kMeanUnitsSmoothing * (units - bucket.mean_units);
  double reserved = 0;
  if (bucket.local_fraction) {
    const double cost = RelativeCost(bucket, units);
    const double overdraft = std::max(kOverdraftSeconds * bucket.rate * *bucket.local_fraction,
                                      kOverdraftRequests * bucket.mean_units);
    if (bucket.local_level <= -overdraft * std::max(1 - 2 * cost, 0.0)) {
      return false;
    }
    reserved = kReservedSeconds * bucket.rate * cost;
  }
  // Limits the required level to the burst, so that a request larger than the burst is admitted by
  // a full bucket.
  if (ExpectedLevel(account, bucket, now) < std::min(units + reserved, bucket.burst)) {
    return false;
  }
  bucket.level -= units;
  bucket.local_level -= units;
  bucket.taken += units;
  return true;
}

void AccountRateLimiter::Refund(const AccountId& account, double units) {
  const auto found = buckets_.find(account);
  if (found != buckets_.end()) {
    Bucket& bucket = found->second;
    bucket.level = std::min(bucket.level + units, bucket.burst);
    bucket.local_level =
        std::min(bucket.local_level + units, bucket.burst * bucket.local_fraction.value_or(1));
    bucket.taken -= units;
  }
}

Duration AccountRateLimiter::TimeUntilAvailable(const AccountId& account, double units,
                                                TimePoint now) const {
  const auto found = buckets_.find(account);
  if (found == buckets_.end()) {
    return Duration::zero();
  }
  const Bucket& bucket = found->second;
  // The level is that of the last refill.
  const double refilled =
      bucket.rate * ToSeconds(std::max(now - bucket.refilled_at, Duration::zero()));
  const double missing =
      std::min(units, bucket.burst) - ExpectedLevel(account, bucket, now) - refilled;
  return FromSeconds(std::max(missing, 0.0) / bucket.rate);
}

AllowanceState AccountRateLimiter::StateOf(const AccountId& account, TimePoint now) const {
  const auto found = buckets_.find(account);
  if (found == buckets_.end()) {
    return {};
  }
  const Bucket& bucket = found->second;
  AllowanceState state{.level = ExpectedLevel(account, bucket, now), .rate = bucket.rate};
  if (bucket.local_fraction) {
    state.local_level = bucket.local_level;
  }
  return state;
}

void AccountRateLimiter::UpdateRates(TimePoint now) {
  for (auto& [account, bucket] : buckets_) {
    Refill(bucket, now);
    if (const Duration interval = now - bucket.asked_rate_at; interval > Duration::zero()) {
      const double rate = (bucket.asked - bucket.previous_asked) / ToSeconds(interval);
      bucket.asked_rate += kAskedRateSmoothing * (rate - bucket.asked_rate);
      bucket.previous_asked = bucket.asked;
      bucket.asked_rate_at = now;
    }
    bucket.local_fraction = LocalFraction(account, bucket, now);
  }
}

std::map<AccountId, AllowanceUsage> AccountRateLimiter::UsageOf(ReportScope scope, TimePoint now) {
  std::map<AccountId, AllowanceUsage> use;
  for (auto& [account, bucket] : buckets_) {
    Refill(bucket, now);
    AllowanceUsage& sum = use[account];
    sum.level = bucket.level;
    if (scope != ReportScope::kBeyond) {
      sum.asked = bucket.asked;
      sum.taken = bucket.taken;
    }
    if (scope != ReportScope::kDaemon) {
      const AllowanceUsage& reported =
          bucket.reported.at(static_cast<std::size_t>(ComponentScope(scope)));
      sum.asked += reported.asked;
      sum.taken += reported.taken;
    }
  }
  return use;
}

int AccountRateLimiter::ReportingDaemons(TimePoint now) const {
  int daemons = 1;
  for (const auto& [id, source] : sources_) {
    daemons += now - source.last_report_at <= options_.peer_silence_timeout ? source.daemons : 0;
  }
  return daemons;
}

int AccountRateLimiter::ReportingDaemonsOf(ReportScope scope, TimePoint now) const {
  int daemons = scope == ReportScope::kBeyond ? 0 : 1;
  if (scope == ReportScope::kDaemon) {
    return daemons;
  }
  for (const auto& [id, source] : sources_) {
    if (id.scope == ComponentScope(scope) &&
        now - source.last_report_at <= options_.peer_silence_timeout) {
      daemons += source.daemons;
    }
  }
  return daemons;
}

void AccountRateLimiter::OnReport(const AllowanceReport& report, TimePoint now) {
  ChargeSilentSources(now);
  const auto [found, is_new] = sources_.try_emplace(report.source);
  Source& source = found->second;
  const bool restarted = !is_new && source.incarnation != report.incarnation;
  if (is_new || restarted) {
    source.taken.clear();
    source.asked.clear();
    // A restarted daemon counts from zero. Totals over several daemons may continue with another
    // reporter, whose totals start elsewhere.
    source.counts_from_zero = restarted && report.source.scope == ReportScope::kDaemon;
  }
  for (auto& [account, bucket] : buckets_) {
    const auto reported = report.use.find(account);
    const auto last = source.taken.find(account);
    if (reported == report.use.end() && last == source.taken.end()) {
      continue;
    }
    const AllowanceUsage totals =
        reported != report.use.end()
            ? reported->second
            : AllowanceUsage{
                  .asked = source.asked[account], .taken = last->second, .level = bucket.level};
    Refill(bucket, now);
    if (!bucket.level_initialized) {
      bucket.level = std::max(bucket.level, std::min(totals.level, bucket.burst));
      bucket.level_initialized = true;
    }
    // Usage before the first report of a source is included in the level that it reports.
    if (last != source.taken.end() || source.counts_from_zero) {
      const double taken = totals.taken - (last == source.taken.end() ? 0 : last->second);
      const double asked = std::max(totals.asked - source.asked[account], 0.0);
      // Two reports may be handled within microseconds of each other.
      const double interval = ToSeconds(std::max(now - source.last_report_at, kMinRateInterval));
      double& rate = source.taken_rates[account];
      rate += kTakenRateSmoothing * (std::max(taken, 0.0) / interval - rate);
      double& asked_rate = source.asked_rates[account];
      asked_rate += kAskedRateSmoothing * (asked / interval - asked_rate);
      bucket.level = std::min(bucket.level + source.estimated_taken[account] - taken, bucket.burst);
      source.estimated_taken[account] = 0;
      AllowanceUsage& sum = bucket.reported.at(static_cast<std::size_t>(report.source.scope));
      sum.asked += asked;
      sum.taken += taken;
    }
    source.taken[account] = totals.taken;
    source.asked[account] = totals.asked;
  }
  source.incarnation = report.incarnation;
  source.leaving = report.leaving;
  reported_daemons_ += report.daemons - (is_new ? 0 : source.daemons);
  source.daemons = report.daemons;
  source.last_report_at = now;
  source.charged_until = now;
}

}  // namespace savoryglade
