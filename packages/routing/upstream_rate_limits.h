#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/strong_id.h"
#include "core/time.h"

namespace savoryglade {

// Limit that an upstream names, or its end, as daemons report it to each other. Holds an age
// instead of an instant, because the clocks of daemons differ.
struct ReportedRateLimit {
  // Hash of the upstream's name and start time.
  std::uint64_t upstream = 0;
  // Requests per second that the upstream takes from all daemons; nothing if it no longer names a
  // limit.
  std::optional<double> rate;
  // Time since the answer that showed it.
  Duration age = Duration::zero();

  friend auto operator<=>(const ReportedRateLimit&, const ReportedRateLimit&) = default;
};

// Daemons that may send requests to an upstream with a limit.
struct RateLimitPeers {
  DaemonId self;
  FailureDomainId failure_domain;
  // The daemons of this daemon's report group that are known to run, with or without this one.
  std::vector<DaemonId> live;
  // In a fleet that is grouped by failure domain, the domains that have daemons; otherwise empty.
  std::set<FailureDomainId> domains;
};

// Keeps the requests of the whole fleet to an upstream below the rate that the upstream names in
// its answers. Shares of one limit that are fixed for each daemon would add up to more than the
// limit when there are many daemons, because each may send one request at any time. So only as many
// daemons as the limit has whole requests per second send to the upstream, those that come first by
// a hash of daemon and upstream; each keeps the time that its share takes between two requests.
// In a grouped fleet they are daemons of one failure domain, because only these know of each other
// without delay. Not thread-safe.
class UpstreamRateLimits {
 public:
  // Limits below this are treated as this rate, so that it is noticed when the limit ends.
  static constexpr double kMinRate = 0.1;
  // Limits above this bind nothing.
  static constexpr double kMaxRate = 100'000;
  // Time without an answer of the upstream after which one more daemon sends to it, because those
  // that come first may have no requests for it.
  static constexpr Duration kSilencePerSender = 5s;
  // Time after the last answer for which a limit, or its end, is remembered.
  static constexpr Duration kLimitLifetime = 60s;
  static constexpr Duration kEndLifetime = 10s;

  void SetPeers(RateLimitPeers peers) { peers_ = std::move(peers); }

  // Records an answer of the upstream to a request that was sent at `sent_at`. An answer without a
  // limit ends a limit that was named before the request was sent. Returns true if the limit of the
  // upstream has changed.
  bool OnAnswer(std::uint64_t upstream, std::optional<double> rate, TimePoint sent_at,
                TimePoint now);
  // Merges a limit that a peer reports. Returns true if the limit of the upstream has changed.
  bool OnReport(const ReportedRateLimit& reported, TimePoint now);
  // Returns the limits, and those that have ended recently, for a report to peers.
  std::vector<ReportedRateLimit> SelectForReport(std::size_t limit, TimePoint now);

  // Returns true if this daemon may send a request to the upstream of this failure domain now.
  bool MaySend(std::uint64_t upstream, const FailureDomainId& domain, TimePoint now) const;
  // Records that this daemon sends a request to the upstream.
  void OnSent(std::uint64_t upstream, TimePoint now);

  // Returns this daemon's part of a number of places at the upstream that all daemons divide among
  // themselves: evenly over the failure domains, and over the daemons of each.
  int ShareOf(std::uint64_t upstream, int places) const;

  // Returns the limit of the upstream in requests per second, if it names one.
  std::optional<double> RateOf(std::uint64_t upstream) const;

 private:
  struct Limit {
    // Nothing if the limit has ended.
    std::optional<double> rate;
    // Time of the last answer that showed the rate or its end.
    TimePoint seen_at;
  };

  bool Apply(std::uint64_t upstream, std::optional<double> rate, TimePoint seen_at);
  // Returns the number of daemons that send to the upstream.
  std::size_t SenderCount(const Limit& limit, TimePoint now) const;
  // Returns the failure domain whose daemons send to the upstream.
  const FailureDomainId& HomeOf(std::uint64_t upstream, const FailureDomainId& domain) const;
  // Returns the number of daemons that come before this one for the upstream, or nothing if this
  // daemon does not run.
  std::optional<std::size_t> RankFor(std::uint64_t upstream) const;

  RateLimitPeers peers_;
  std::unordered_map<std::uint64_t, Limit> limits_;
  // Time of this daemon's last request to each upstream, limited or not.
  std::unordered_map<std::uint64_t, TimePoint> last_sent_;
};

}  // namespace savoryglade
