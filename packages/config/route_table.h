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

// Kind of call: an idempotent call may run more than once, any other at most once. A stream is a
// call whose response is a series of events.
enum class CallKind : std::uint8_t { kIdempotent, kAtMostOnce, kStream };

// Service that receives a share of a route's requests in proportion to its weight.
struct WeightedService {
  ServiceId service;
  std::int64_t weight = 1;

  friend auto operator<=>(const WeightedService&, const WeightedService&) = default;
};

// Route for the requests to a host whose path starts with the prefix.
struct Route {
  std::string name;
  std::string host;
  std::string prefix;
  CallKind kind = CallKind::kAtMostOnce;
  // Maximum time that a request waits for its complete response.
  Duration timeout = 60s;
  // Time within which a response, or the first event of a stream, has its full benefit.
  Duration latency_objective = 1s;
  // Maximum pause between two events of a stream that counts as on time; zero for other calls.
  Duration longest_pause = Duration::zero();
  // 0 is the most urgent.
  int rank = 0;
  int max_attempts = 1;
  bool is_public = false;
  bool resumable = false;
  std::vector<WeightedService> services;

  // Returns true for a stream that an upstream can continue after the last event received.
  bool IsResumableStream() const { return kind == CallKind::kStream && resumable; }
  // Returns true if a request may be sent to a second upstream after the first may have run it.
  bool Repeatable() const { return kind == CallKind::kIdempotent || IsResumableStream(); }

  friend auto operator<=>(const Route&, const Route&) = default;
};

// Limits on the number of workers of a service in each failure domain, and their prices.
struct ScalingRule {
  int min_count = 0;
  int max_count = 0;
  Duration boot_time = Duration::zero();
  // Price of a reclaimable worker as a fraction of the price of an on-demand worker.
  double reclaimable_price = 1;
  // Price of an on-demand worker per second, by failure domain.
  std::map<FailureDomainId, double> prices;

  friend auto operator<=>(const ScalingRule&, const ScalingRule&) = default;
};

// Service to which routes lead.
struct RoutedService {
  ServiceId name;
  int max_connections = 0;
  // Whether a running request can migrate between the engines of the service.
  bool supports_migration = false;
  std::optional<ScalingRule> scaling;

  friend auto operator<=>(const RoutedService&, const RoutedService&) = default;
};

// Keys, rank and rate limit of a client account.
struct AccountPolicy {
  AccountId name;
  std::vector<std::string> keys;
  // Overrides the rank of the route.
  std::optional<int> rank;
  // Units per second and burst, summed over all daemons; a rate of zero means no limit.
  double rate = 0;
  double burst = 0;
  // Whether a unit is a token rather than a request.
  bool counts_tokens = false;
  // Units charged for a request that does not state its number of tokens.
  double default_tokens = 1;

  friend auto operator<=>(const AccountPolicy&, const AccountPolicy&) = default;
};

// Limits on the requests of callers. Sizes are in bytes.
struct RequestLimits {
  std::size_t header_size = 16 * 1024;
  std::size_t body_size = 4 * 1024 * 1024;
  Duration header_timeout = 3s;
  Duration idle_timeout = 15s;

  friend auto operator<=>(const RequestLimits&, const RequestLimits&) = default;
};

// Content of one version of the routes that the operators set.
struct RouteDocument {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<RoutedService> services;
  std::vector<AccountPolicy> accounts;
  RequestLimits bounds;

  friend auto operator<=>(const RouteDocument&, const RouteDocument&) = default;
};

// One version of the routes, indexed for the lookups that a request needs. Immutable.
class RouteTable {
 public:
  explicit RouteTable(RouteDocument document);

  const RouteDocument& document() const { return document_; }
  std::uint64_t version() const { return document_.version; }

  // Returns the route of the host with the longest matching prefix, or nullptr. Ignores a port in
  // the host and the query of the target. The time grows with the length of the path, not with the
  // number of routes.
  const Route* Match(std::string_view host, std::string_view target) const;
  // Returns the account with the key, or nullptr.
  const AccountPolicy* FindByKey(std::string_view key) const;
  const RoutedService* FindService(const ServiceId& name) const;

  // Returns a service of the route, chosen by weight. The same seed yields the same service.
  static const ServiceId& ChooseService(const Route& route, std::uint64_t seed);

 private:
  // The routes of one host.
  struct HostRoutes {
    // Routes by the hashes of their prefixes.
    std::unordered_multimap<std::uint64_t, const Route*> by_prefix;
    // Whether a prefix of each length exists.
    std::vector<bool> lengths;

    void Add(const Route& route);
    const Route* Match(std::string_view path) const;
  };

  RouteDocument document_;
  std::unordered_map<std::string, HostRoutes> by_host_;
  std::unordered_map<std::string, const AccountPolicy*> by_key_;
};

}  // namespace savoryglade
