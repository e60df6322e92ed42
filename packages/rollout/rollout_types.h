#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "core/strong_id.h"
#include "core/time.h"

namespace savoryglade::rollout {

// An operator's order to move the traffic of a service to another software version.
struct RolloutOrder {
  ServiceId service;
  // Software version, any text.
  std::string to;
  // Time from the order to the deadline.
  Duration duration = Duration::zero();
  // Version of the order's row; a higher one replaces the order. Includes the era of the store.
  std::uint64_t version = 0;
  // Number of times that the store has returned from an older copy, plus one.
  std::uint64_t era = 0;

  // Returns true if the other order asks for the same, i.e. differs by the row's version only.
  bool AsksForSame(const RolloutOrder& other) const {
    return service == other.service && to == other.to && duration == other.duration;
  }
  friend auto operator<=>(const RolloutOrder&, const RolloutOrder&) = default;
};

// Progress of a roll-out, in this order.
enum class RolloutStage : std::uint8_t {
  // Nothing is known, or no upstream of the new version can be sent to.
  kWaiting,
  // A small share of the requests goes to the new version until there is a verdict.
  kCanary,
  // The verdict is good, and the share rises.
  kRamp,
  // All new requests go to the new version; earlier ones end on the old one.
  kDrain,
  // Final: the operators' platform stops the upstreams of the old version.
  kCompleted,
  // Final: the new version gets nothing.
  kRolledBack,
};

constexpr bool IsFinal(RolloutStage stage) { return stage >= RolloutStage::kCompleted; }
const char* ToString(RolloutStage stage);

// What the leader publishes. A later step has a greater fencing token or, under the same one, a
// greater number.
struct RolloutStep {
  std::uint64_t fencing = 0;
  std::uint64_t number = 0;
  RolloutStage stage = RolloutStage::kWaiting;
  // Share of the requests that goes to the new version.
  double share = 0;
  // Number of upstreams of the new version that take this share.
  int upstreams = 0;
  // Shares of the routes, by the hash of the route's name, where they differ from the share above.
  std::map<std::uint64_t, double> route_shares;

  // Returns true if this step sends more to the new version than the other one.
  bool IsLargerThan(const RolloutStep& other) const {
    return !IsFinal(stage) && (stage > other.stage || share > other.share);
  }
  friend bool operator==(const RolloutStep&, const RolloutStep&) = default;
};

// Responses of one version on one route. Counts never decrease. A response that is slow for its
// route is no good one; it counts as soon as it is overdue.
struct ResponseCounts {
  std::uint32_t good = 0;
  std::uint32_t failed = 0;
  std::uint32_t slow = 0;

  std::uint32_t bad() const { return failed + slow; }
  std::uint32_t all() const { return good + failed + slow; }
  void Add(const ResponseCounts& other) {
    good += other.good;
    failed += other.failed;
    slow += other.slow;
  }
  void RaiseTo(const ResponseCounts& other) {
    good = std::max(good, other.good);
    failed = std::max(failed, other.failed);
    slow = std::max(slow, other.slow);
  }
  friend auto operator<=>(const ResponseCounts&, const ResponseCounts&) = default;
};

// Counts of one route since the order: requests that reached the service, requests that were sent
// to the new version, repeats included, and the responses of both versions.
struct RouteCounts {
  std::uint32_t requests = 0;
  std::uint32_t sent_to_new = 0;
  ResponseCounts old_version;
  ResponseCounts new_version;

  void Add(const RouteCounts& other) {
    requests += other.requests;
    sent_to_new += other.sent_to_new;
    old_version.Add(other.old_version);
    new_version.Add(other.new_version);
  }
  void RaiseTo(const RouteCounts& other) {
    requests = std::max(requests, other.requests);
    sent_to_new = std::max(sent_to_new, other.sent_to_new);
    old_version.RaiseTo(other.old_version);
    new_version.RaiseTo(other.new_version);
  }
  friend auto operator<=>(const RouteCounts&, const RouteCounts&) = default;
};

// Counts by the hash of the route's name.
using CountsByRoute = std::map<std::uint64_t, RouteCounts>;

RouteCounts SumOf(const CountsByRoute& counts);

// The operators' bounds. Roll-outs are off unless all of them are set.
struct RolloutBounds {
  // Share of the requests between order and deadline that a bad version may get, and the number of
  // further requests for the whole fleet.
  double exposure_share = 0;
  double exposure_allowance = 0;
  // Time after the 50th bad response from which the new version gets nothing.
  Duration rollback = Duration::zero();

  bool enabled() const { return exposure_share > 0 && rollback > Duration::zero(); }
  friend auto operator<=>(const RolloutBounds&, const RolloutBounds&) = default;
};

// Fraction of the exposure share that is used while there is no verdict. The rest covers requests
// that are counted at one daemon and not yet at others.
inline constexpr double kUsedExposure = 0.75;

}  // namespace savoryglade::rollout
