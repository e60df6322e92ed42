#include "scheduling/account_allowance.h"

#include <algorithm>

namespace savoryglade {

namespace {

// Weight of the newest digest in the rate of a peer.
constexpr double kRateWeight = 0.3;
// Weight of the newest digest in the rate that is asked for.
constexpr double kAskedWeight = 0.5;
// Part of the rate from which on each daemon is held to its own part.
constexpr double kContended = 1.0;
// Part of the peers that may be silent before a daemon keeps to its even part.
constexpr double kTolerableSilence = 0.3;
// What a daemon may take beyond its part; the bucket of the fleet still binds.
constexpr double kPartSlack = 1.2;

}  // namespace

void AccountAllowance::ApplyPolicy(Bucket& bucket) const {
  const double fleet = static_cast<double>(options_.small_fleet) / std::max(daemons_, 1);
  const double use = options_.tolerance_use * std::min(1.0, fleet);
  const double factor = 1 + options_.overshoot * use;
  // A bucket lets through its burst and what flows in during the window: each gets half.
  const double slack = options_.slack * use / 2;
  bucket.rate = bucket.policy.rate * factor + slack / ToSeconds(options_.window);
  bucket.burst = bucket.policy.burst * factor + slack;
  bucket.level = std::min(bucket.level, bucket.burst);
}

void AccountAllowance::SetTolerance(double overshoot, double slack, Duration window) {
  options_.overshoot = overshoot;
  options_.slack = slack;
  options_.window = window;
  for (auto& [account, bucket] : buckets_) {
    ApplyPolicy(bucket);
  }
}

void AccountAllowance::SetDaemons(int daemons) {
  if (daemons == daemons_) {
    return;
  }
  daemons_ = daemons;
  for (auto& [account, bucket] : buckets_) {
    ApplyPolicy(bucket);
  }
}

void AccountAllowance::Configure(const std::vector<AccountPolicy>& accounts, TimePoint now) {
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

std::optional<double> AccountAllowance::OwnPart(const AccountId& account, const Bucket& bucket,
                                                TimePoint now) const {
  double asked = bucket.asked_rate;
  std::size_t silent = 0;
  for (const auto& [daemon, peer] : peers_) {
    const auto rate = peer.asked_rates.find(account);
    asked += rate == peer.asked_rates.end() ? 0 : rate->second;
    silent += now - peer.heard > options_.peer_silence ? 1 : 0;
  }
  const double even = 1 / (static_cast<double>(peers_.size()) + 1);
  // Those that it hears may hear others, so what the silent ones leave is not this daemon's alone.
  if (static_cast<double>(silent) > kTolerableSilence * static_cast<double>(peers_.size())) {
    return even;
  }
  if (asked < bucket.rate * kContended) {
    return std::nullopt;
  }
  // A daemon that was not asked before gets half of an even part.
  return std::min(1.0, kPartSlack * std::max(bucket.asked_rate / asked, even / 2));
}

void AccountAllowance::Refill(Bucket& bucket, TimePoint now) {
  const double added = ToSeconds(std::max(now - bucket.refilled, Duration::zero()));
  const double part = bucket.own_part.value_or(1);
  bucket.own_level = std::min(bucket.own_level + added * bucket.rate * part, bucket.burst * part);
  bucket.level = std::min(bucket.level + added * bucket.rate, bucket.burst);
  bucket.refilled = std::max(now, bucket.refilled);
  bucket.informed = bucket.informed || bucket.level >= bucket.burst;
}

void AccountAllowance::ChargeSilentPeers(TimePoint now) {
  std::erase_if(peers_,
                [&](const auto& peer) { return now - peer.second.heard > options_.peer_lifetime; });
  const double daemons = static_cast<double>(peers_.size()) + 1;
  for (auto& [daemon, peer] : peers_) {
    const TimePoint silent_since = std::max(peer.heard + options_.peer_silence, peer.charged_until);
    if (now <= silent_since) {
      continue;
    }
    for (auto& [account, bucket] : buckets_) {
      const double units = ToSeconds(now - silent_since) * bucket.rate / daemons;
      bucket.level -= units;
      peer.assumed[account] += units;
    }
    peer.charged_until = now;
  }
}

double AccountAllowance::ExpectedLevel(const AccountId& account, const Bucket& bucket,
                                       TimePoint now) const {
  double level = bucket.level;
  for (const auto& [daemon, peer] : peers_) {
    const auto rate = peer.rates.find(account);
    if (rate != peer.rates.end()) {
      level -= rate->second * ToSeconds(std::min(now - peer.heard, options_.peer_silence));
    }
  }
  return level;
}

bool AccountAllowance::Take(const AccountId& account, double units, TimePoint now) {
  const auto found = buckets_.find(account);
  if (found == buckets_.end()) {
    return true;
  }
  ChargeSilentPeers(now);
  Bucket& bucket = found->second;
  Refill(bucket, now);
  bucket.asked += units;
  if (bucket.own_level <= 0 && bucket.own_part) {
    return false;
  }
  // A request larger than the burst would never pass otherwise.
  if (ExpectedLevel(account, bucket, now) < std::min(units, bucket.burst)) {
    return false;
  }
  bucket.level -= units;
  bucket.own_level -= units;
  bucket.taken += units;
  return true;
}

void AccountAllowance::GiveBack(const AccountId& account, double units) {
  const auto found = buckets_.find(account);
  if (found != buckets_.end()) {
    found->second.level = std::min(found->second.level + units, found->second.burst);
    found->second.taken -= units;
  }
}

Duration AccountAllowance::TimeUntil(const AccountId& account, double units, TimePoint now) const {
  const auto found = buckets_.find(account);
  if (found == buckets_.end()) {
    return Duration::zero();
  }
  const Bucket& bucket = found->second;
  const double missing = std::min(units, bucket.burst) - ExpectedLevel(account, bucket, now);
  return FromSeconds(std::max(missing, 0.0) / bucket.rate);
}

std::map<AccountId, AllowanceUse> AccountAllowance::OwnUse(TimePoint now) {
  std::map<AccountId, AllowanceUse> use;
  for (auto& [account, bucket] : buckets_) {
    Refill(bucket, now);
    if (const Duration interval = now - bucket.asked_at; interval > Duration::zero()) {
      const double rate = (bucket.asked - bucket.asked_before) / ToSeconds(interval);
      bucket.asked_rate += kAskedWeight * (rate - bucket.asked_rate);
      bucket.asked_before = bucket.asked;
      bucket.asked_at = now;
    }
    bucket.own_part = OwnPart(account, bucket, now);
    use.emplace(account,
                AllowanceUse{.asked = bucket.asked, .taken = bucket.taken, .level = bucket.level});
  }
  return use;
}

void AccountAllowance::OnPeerUse(const DaemonId& daemon, std::uint64_t incarnation,
                                 const std::map<AccountId, AllowanceUse>& use, TimePoint now) {
  ChargeSilentPeers(now);
  const auto [found, is_new] = peers_.try_emplace(daemon);
  Peer& peer = found->second;
  const bool restarted = !is_new && peer.incarnation != incarnation;
  if (is_new || restarted) {
    peer.taken.clear();
    peer.asked.clear();
  }
  for (const auto& [account, totals] : use) {
    const auto bucket_found = buckets_.find(account);
    if (bucket_found == buckets_.end()) {
      continue;
    }
    Bucket& bucket = bucket_found->second;
    Refill(bucket, now);
    if (!bucket.informed) {
      bucket.level = std::max(bucket.level, std::min(totals.level, bucket.burst));
      bucket.informed = true;
    }
    // What a peer had taken before it was first heard is in the level that it reports.
    const auto last = peer.taken.find(account);
    if (last != peer.taken.end() || restarted) {
      const double before = last == peer.taken.end() ? 0 : last->second;
      if (const Duration interval = now - peer.heard; interval > Duration::zero()) {
        double& rate = peer.rates[account];
        rate += kRateWeight * (std::max(totals.taken - before, 0.0) / ToSeconds(interval) - rate);
        const double asked = std::max(totals.asked - peer.asked[account], 0.0);
        double& asked_rate = peer.asked_rates[account];
        asked_rate += kAskedWeight * (asked / ToSeconds(interval) - asked_rate);
      }
      bucket.level =
          std::min(bucket.level + peer.assumed[account] - (totals.taken - before), bucket.burst);
      peer.assumed[account] = 0;
    }
    peer.taken[account] = totals.taken;
    peer.asked[account] = totals.asked;
  }
  peer.incarnation = incarnation;
  peer.heard = now;
  peer.charged_until = now;
}

}  // namespace savoryglade
