#include "scheduling/account_rate_limiter.h"

#include <algorithm>

namespace savoryglade {

namespace {

// Weight of the newest digest in the rate of a peer.
constexpr double kRateWeight = 0.3;
// Weight of the newest digest in the rate that is asked for.
constexpr double kAskedWeight = 0.5;
// Part of the rate from which on each daemon is held to its own part. What is asked below it and
// taken too late to be known stays within the units kept for lateness.
constexpr double kContended = 1.8;
// Part of the tolerance that is used however late the daemons learn of each other.
constexpr double kLeastToleranceUse = 0.1;
// Part of the peers that may be silent before a daemon keeps to its even part.
constexpr double kTolerableSilence = 0.3;
// What a daemon may take beyond its part; the bucket of the fleet still binds.
constexpr double kPartSlack = 1.2;

}  // namespace

void AccountRateLimiter::ApplyPolicy(Bucket& bucket) const {
  const double window = ToSeconds(options_.window);
  const AccountPolicy& policy = bucket.policy;
  const double tolerance =
      options_.overshoot * (policy.rate * window + policy.burst) + options_.slack;
  // The rest is for what the daemons learn late.
  const double late = policy.rate * ToSeconds(options_.lateness);
  const double used = std::max(tolerance - late, tolerance * kLeastToleranceUse);
  // An account that goes on asking gains more from the flow than from a larger burst.
  bucket.rate = policy.rate + used / window;
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

void AccountRateLimiter::Configure(const std::vector<AccountPolicy>& accounts, TimePoint now) {
  std::map<AccountId, Bucket> buckets;
  for (const AccountPolicy& policy : accounts) {
    if (policy.rate <= 0) {
      continue;
    }
    const auto found = buckets_.find(policy.name);
    Bucket bucket = found != buckets_.end() ? found->second : Bucket{.refilled = now};
    bucket.policy = policy;
    ApplyPolicy(bucket);
    buckets.emplace(policy.name, bucket);
  }
  buckets_ = std::move(buckets);
}

double AccountRateLimiter::Daemons() const {
  return static_cast<double>(std::max(daemons_, reported_daemons_ + 1));
}

void AccountRateLimiter::Forget(const ReportSource& source) {
  const auto found = sources_.find(source);
  if (found != sources_.end()) {
    reported_daemons_ -= found->second.daemons;
    sources_.erase(found);
  }
}

void AccountRateLimiter::Forget(ReportScope scope) {
  std::erase_if(sources_, [&](const auto& entry) {
    const bool matches = entry.first.scope == scope;
    reported_daemons_ -= matches ? entry.second.daemons : 0;
    return matches;
  });
}

std::optional<double> AccountRateLimiter::OwnPart(const AccountId& account, const Bucket& bucket,
                                                  TimePoint now) const {
  double asked = bucket.asked_rate;
  double heard = 1;
  for (const auto& [id, source] : sources_) {
    const auto rate = source.asked_rates.find(account);
    asked += rate == source.asked_rates.end() ? 0 : rate->second;
    heard += now - source.heard > options_.peer_silence ? 0 : source.daemons;
  }
  const double daemons = Daemons();
  const double even = 1 / daemons;
  // Those that it hears may hear others, so what the silent ones leave is not this daemon's alone.
  if (daemons - heard > kTolerableSilence * (daemons - 1)) {
    return even;
  }
  if (asked < bucket.rate * kContended) {
    return std::nullopt;
  }
  // A daemon that was not asked before gets half of an even part.
  return std::min(1.0, kPartSlack * std::max(bucket.asked_rate / asked, even / 2));
}

void AccountRateLimiter::Refill(Bucket& bucket, TimePoint now) {
  const double added = ToSeconds(std::max(now - bucket.refilled, Duration::zero()));
  const double part = bucket.own_part.value_or(1);
  bucket.local_level =
      std::min(bucket.local_level + added * bucket.rate * part, bucket.burst * part);
  bucket.level = std::min(bucket.level + added * bucket.rate, bucket.burst);
  bucket.refilled = std::max(now, bucket.refilled);
  bucket.informed = bucket.informed || bucket.level >= bucket.burst;
}

void AccountRateLimiter::ChargeSilentSources(TimePoint now) {
  if (now < all_heard_until_) {
    return;
  }
  std::erase_if(sources_, [&](const auto& entry) {
    const bool gone = now - entry.second.heard > options_.peer_lifetime;
    reported_daemons_ -= gone ? entry.second.daemons : 0;
    return gone;
  });
  const double daemons = Daemons();
  all_heard_until_ = now + options_.peer_silence;
  for (auto& [id, source] : sources_) {
    all_heard_until_ = std::min(all_heard_until_, source.heard + options_.peer_silence);
    const TimePoint silent_since =
        std::max(source.heard + options_.peer_silence, source.charged_until);
    if (now <= silent_since) {
      continue;
    }
    for (auto& [account, bucket] : buckets_) {
      const double units = ToSeconds(now - silent_since) * bucket.rate * source.daemons / daemons;
      bucket.level -= units;
      source.assumed[account] += units;
    }
    source.charged_until = now;
  }
}

double AccountRateLimiter::ExpectedLevel(const AccountId& account, const Bucket& bucket,
                                         TimePoint now) const {
  double level = bucket.level;
  for (const auto& [id, source] : sources_) {
    const auto rate = source.rates.find(account);
    if (rate != source.rates.end()) {
      level -= rate->second * ToSeconds(std::min(now - source.heard, options_.peer_silence));
    }
  }
  return level;
}

bool AccountRateLimiter::Take(const AccountId& account, double units, TimePoint now) {
  const auto found = buckets_.find(account);
  if (found == buckets_.end()) {
    return true;
  }
  ChargeSilentSources(now);
  Bucket& bucket = found->second;
  Refill(bucket, now);
  bucket.asked += units;
  if (bucket.local_level <= 0 && bucket.own_part) {
    return false;
  }
  // A request larger than the burst would never pass otherwise.
  if (ExpectedLevel(account, bucket, now) < std::min(units, bucket.burst)) {
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
    found->second.level = std::min(found->second.level + units, found->second.burst);
    found->second.taken -= units;
  }
}

Duration AccountRateLimiter::TimeUntilAvailable(const AccountId& account, double units,
                                                TimePoint now) const {
  const auto found = buckets_.find(account);
  if (found == buckets_.end()) {
    return Duration::zero();
  }
  const Bucket& bucket = found->second;
  const double missing = std::min(units, bucket.burst) - ExpectedLevel(account, bucket, now);
  return FromSeconds(std::max(missing, 0.0) / bucket.rate);
}

AllowanceState AccountRateLimiter::StateOf(const AccountId& account, TimePoint now) const {
  const auto found = buckets_.find(account);
  if (found == buckets_.end()) {
    return {};
  }
  const Bucket& bucket = found->second;
  AllowanceState state{.level = ExpectedLevel(account, bucket, now), .rate = bucket.rate};
  if (bucket.own_part) {
    state.local_level = bucket.local_level;
  }
  return state;
}

void AccountRateLimiter::UpdateRates(TimePoint now) {
  for (auto& [account, bucket] : buckets_) {
    Refill(bucket, now);
    if (const Duration interval = now - bucket.asked_at; interval > Duration::zero()) {
      const double rate = (bucket.asked - bucket.asked_before) / ToSeconds(interval);
      bucket.asked_rate += kAskedWeight * (rate - bucket.asked_rate);
      bucket.asked_before = bucket.asked;
      bucket.asked_at = now;
    }
    bucket.own_part = OwnPart(account, bucket, now);
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
    daemons += now - source.heard <= options_.peer_silence ? source.daemons : 0;
  }
  return daemons;
}

int AccountRateLimiter::ReportingDaemonsOf(ReportScope scope, TimePoint now) const {
  int daemons = scope == ReportScope::kBeyond ? 0 : 1;
  if (scope == ReportScope::kDaemon) {
    return daemons;
  }
  for (const auto& [id, source] : sources_) {
    if (id.scope == ComponentScope(scope) && now - source.heard <= options_.peer_silence) {
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
    // A daemon that has restarted counts from zero. Totals over several daemons go on behind
    // another reporter, which counts from elsewhere.
    source.from_zero = restarted && report.source.scope == ReportScope::kDaemon;
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
    if (!bucket.informed) {
      bucket.level = std::max(bucket.level, std::min(totals.level, bucket.burst));
      bucket.informed = true;
    }
    // What a source had taken before it was first heard is in the level that it reports.
    if (last != source.taken.end() || source.from_zero) {
      const double taken = totals.taken - (last == source.taken.end() ? 0 : last->second);
      const double asked = std::max(totals.asked - source.asked[account], 0.0);
      if (const Duration interval = now - source.heard; interval > Duration::zero()) {
        double& rate = source.rates[account];
        rate += kRateWeight * (std::max(taken, 0.0) / ToSeconds(interval) - rate);
        double& asked_rate = source.asked_rates[account];
        asked_rate += kAskedWeight * (asked / ToSeconds(interval) - asked_rate);
      }
      bucket.level = std::min(bucket.level + source.assumed[account] - taken, bucket.burst);
      source.assumed[account] = 0;
      AllowanceUsage& sum = bucket.reported.at(static_cast<std::size_t>(report.source.scope));
      sum.asked += asked;
      sum.taken += taken;
    }
    source.taken[account] = totals.taken;
    source.asked[account] = totals.asked;
  }
  source.incarnation = report.incarnation;
  reported_daemons_ += report.daemons - (is_new ? 0 : source.daemons);
  source.daemons = report.daemons;
  source.heard = now;
  source.charged_until = now;
}

}  // namespace savoryglade
