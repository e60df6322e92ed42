#include "routing/upstream_rate_limits.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

#include "core/prefix_hash.h"
#include "routing/newest_reports.h"

namespace savoryglade {
namespace {

// Upstreams whose last requests are remembered.
constexpr std::size_t kMaxUpstreams = 8192;

// Returns a hash by which daemons, or failure domains, are ordered for an upstream.
std::uint64_t OrderOf(std::uint64_t upstream, std::string_view name) {
  std::uint64_t hash = Fnv1aHash(name) ^ (upstream * 0x9E3779B97F4A7C15ULL);
  hash = (hash ^ (hash >> 31)) * 0xBF58476D1CE4E5B9ULL;
  return hash ^ (hash >> 27);
}

}  // namespace

bool UpstreamRateLimits::Apply(std::uint64_t upstream, std::optional<double> rate,
                               TimePoint seen_at) {
  const auto [found, is_new] =
      limits_.try_emplace(upstream, Limit{.rate = rate, .seen_at = seen_at});
  const bool changed = is_new ? rate.has_value() : found->second.rate != rate;
  found->second = {.rate = rate, .seen_at = seen_at};
  return changed;
}

bool UpstreamRateLimits::OnAnswer(std::uint64_t upstream, std::optional<double> rate,
                                  TimePoint sent_at, TimePoint now) {
  if (rate && *rate <= kMaxRate) {
    return Apply(upstream, std::max(*rate, kMinRate), now);
  }
  const auto found = limits_.find(upstream);
  if (found == limits_.end() || sent_at <= found->second.seen_at) {
    return false;
  }
  return Apply(upstream, std::nullopt, now);
}

bool UpstreamRateLimits::OnReport(const ReportedRateLimit& reported, TimePoint now) {
  const TimePoint seen_at = now - reported.age;
  const auto found = limits_.find(reported.upstream);
  if (found != limits_.end() ? seen_at <= found->second.seen_at : !reported.rate) {
    return false;
  }
  return Apply(reported.upstream, reported.rate, seen_at);
}

std::vector<ReportedRateLimit> UpstreamRateLimits::SelectForReport(std::size_t limit,
                                                                   TimePoint now) {
  std::erase_if(limits_, [now](const auto& entry) {
    return now - entry.second.seen_at > (entry.second.rate ? kLimitLifetime : kEndLifetime);
  });
  std::vector<ReportedRateLimit> selected;
  for (const auto& [upstream, known] : limits_) {
    selected.push_back({.upstream = upstream, .rate = known.rate, .age = now - known.seen_at});
  }
  KeepNewest(selected, limit);
  return selected;
}

std::size_t UpstreamRateLimits::SenderCount(const Limit& limit, TimePoint now) const {
  const double whole_requests = std::max(*limit.rate, 1.0);
  const auto late = static_cast<double>((now - limit.seen_at) / kSilencePerSender);
  const double most = static_cast<double>(std::max<std::size_t>(peers_.live.size(), 1));
  return static_cast<std::size_t>(std::clamp(whole_requests + late, 1.0, most));
}

const FailureDomainId& UpstreamRateLimits::HomeOf(std::uint64_t upstream,
                                                  const FailureDomainId& domain) const {
  if (peers_.domains.empty()) {
    return peers_.failure_domain;
  }
  if (peers_.domains.contains(domain)) {
    return domain;
  }
  return *std::ranges::min_element(peers_.domains, {}, [upstream](const FailureDomainId& each) {
    return OrderOf(upstream, each.value());
  });
}

std::optional<std::size_t> UpstreamRateLimits::RankFor(std::uint64_t upstream) const {
  if (std::ranges::find(peers_.live, peers_.self) == peers_.live.end()) {
    return std::nullopt;
  }
  const auto order = [upstream](const DaemonId& daemon) {
    return std::tuple(OrderOf(upstream, daemon.value()), daemon);
  };
  return static_cast<std::size_t>(std::ranges::count_if(
      peers_.live, [&](const DaemonId& daemon) { return order(daemon) < order(peers_.self); }));
}

bool UpstreamRateLimits::MaySend(std::uint64_t upstream, const FailureDomainId& domain,
                                 TimePoint now) const {
  const auto found = limits_.find(upstream);
  if (found == limits_.end() || !found->second.rate) {
    return true;
  }
  if (HomeOf(upstream, domain) != peers_.failure_domain) {
    return false;
  }
  const std::size_t senders = SenderCount(found->second, now);
  const std::optional<std::size_t> rank = RankFor(upstream);
  if (!rank || *rank >= senders) {
    return false;
  }
  const auto last = last_sent_.find(upstream);
  const Duration spacing = FromSeconds(static_cast<double>(senders) / *found->second.rate);
  return last == last_sent_.end() || now - last->second >= spacing;
}

void UpstreamRateLimits::OnSent(std::uint64_t upstream, TimePoint now) {
  if (last_sent_.size() >= kMaxUpstreams && !last_sent_.contains(upstream)) {
    std::erase_if(last_sent_, [now](const auto& entry) {
      return now - entry.second > FromSeconds(1 / kMinRate);
    });
  }
  last_sent_[upstream] = now;
}

int UpstreamRateLimits::ShareOf(std::uint64_t upstream, int places) const {
  // Returns the part of the one that comes after `rank` others of `count`.
  const auto part = [](int whole, std::size_t rank, std::size_t count) {
    const auto parts = static_cast<int>(std::max<std::size_t>(count, 1));
    return whole / parts + (static_cast<int>(rank) < whole % parts ? 1 : 0);
  };
  const std::uint64_t own_order = OrderOf(upstream, peers_.failure_domain.value());
  const auto domain_rank = static_cast<std::size_t>(
      std::ranges::count_if(peers_.domains, [&](const FailureDomainId& domain) {
        return OrderOf(upstream, domain.value()) < own_order;
      }));
  const int domain_places = part(places, domain_rank, peers_.domains.size());
  const std::optional<std::size_t> rank = RankFor(upstream);
  return rank ? part(domain_places, *rank, peers_.live.size()) : 0;
}

std::optional<double> UpstreamRateLimits::RateOf(std::uint64_t upstream) const {
  const auto found = limits_.find(upstream);
  return found == limits_.end() ? std::nullopt : found->second.rate;
}

}  // namespace savoryglade
