#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/strong_id.h"
#include "core/time.h"

namespace savoryglade {

// What may be repeated: an idempotent call may run more than once, any other at most once. A stream
// is a call whose answer is a series of events.
enum class CallKind : std::uint8_t { kIdempotent, kAtMostOnce, kStream };

// Service that takes a part of a route's requests in proportion to its weight.
struct WeightedService {
  ServiceId service;
  std::int64_t weight = 1;

  friend auto operator<=>(const WeightedService&, const WeightedService&) = default;
};

// One route: requests for a host whose path begins with the prefix.
struct Route {
  std::string name;
  std::string host;
  std::string prefix;
  CallKind kind = CallKind::kAtMostOnce;
  // Longest time that a request is kept waiting for its whole answer.
  Duration timeout = 60s;
  // Time within which an answer, or the first event of a stream, earns its full benefit.
  Duration latency_objective = 1s;
  // Longest pause between two events of a stream that is on time; zero for other calls.
  Duration longest_pause = Duration::zero();
  // 0 is the most urgent.
  int rank = 0;
  int max_attempts = 1;
  bool is_public = false;
  bool resumable = false;
  std::vector<WeightedService> services;

  // Returns true if a request may be sent to a second upstream after the first may have run it.
  bool Repeatable() const {
    return kind == CallKind::kIdempotent || (kind == CallKind::kStream && resumable);
  }

  friend auto operator<=>(const Route&, const Route&) = default;
};

// Limits of the workers that a service runs in each failure domain and what they cost.
struct ScalingRule {
  int min_count = 0;
  int max_count = 0;
  Duration boot_time = Duration::zero();
  // Price of a reclaimable worker as a fraction of that of an on-demand one.
  double reclaimable_price = 1;
  // Price of an on-demand worker per second.
  std::map<FailureDomainId, double> prices;

  friend auto operator<=>(const ScalingRule&, const ScalingRule&) = default;
};

// One service behind the routes.
struct RoutedService {
  ServiceId name;
  int max_connections = 0;
  // Whether engines can hand a request that runs over to each other.
  bool supports_migration = false;
  std::optional<ScalingRule> scaling;

  friend auto operator<=>(const RoutedService&, const RoutedService&) = default;
};

// Keys, rank and allowance of one client account.
struct AccountPolicy {
  AccountId name;
  std::vector<std::string> keys;
  // Goes before the rank of the route.
  std::optional<int> rank;
  // Units per second and burst over all daemons; a rate of zero means no limit.
  double rate = 0;
  double burst = 0;
  // Whether a unit is a token; otherwise it is a request.
  bool counts_tokens = false;
  // Units of a request that does not state its tokens.
  double default_tokens = 1;

  friend auto operator<=>(const AccountPolicy&, const AccountPolicy&) = default;
};

// Limits that callers have to keep. Sizes are in bytes.
struct RequestLimits {
  std::size_t header_size = 16 * 1024;
  std::size_t body_size = 4 * 1024 * 1024;
  Duration header_timeout = 3s;
  Duration idle_timeout = 15s;

  friend auto operator<=>(const RequestLimits&, const RequestLimits&) = default;
};

// Content of one version of the operators' routes.
struct RouteDocument {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<RoutedService> services;
  std::vector<AccountPolicy> accounts;
  RequestLimits bounds;

  friend auto operator<=>(const RouteDocument&, const RouteDocument&) = default;
};

// One version of the routes with the indices that a request needs. Immutable.
class RouteTable {
 public:
  explicit RouteTable(RouteDocument document);

  const RouteDocument& document() const { return document_; }
  std::uint64_t version() const { return document_.version; }

  // Returns the route of the host with the longest prefix of the path, or nullptr. A port in the
  // host is ignored, as is the query of the path.
  const Route* Match(std::string_view host, std::string_view target) const;
  // Returns the account that holds the key, or nullptr.
  const AccountPolicy* FindByKey(std::string_view key) const;
  const RoutedService* FindService(const ServiceId& name) const;

  // Chooses a service of the route by the weights. The same seed gives the same service.
  static const ServiceId& ChooseService(const Route& route, std::uint64_t seed);

 private:
  RouteDocument document_;
  // Routes by host, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> by_host_;
  std::unordered_map<std::string, const AccountPolicy*> by_key_;
};

}  // namespace savoryglade
