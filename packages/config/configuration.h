#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/error.h"
#include "core/strong_id.h"
#include "core/time.h"

namespace savoryglade {

// Kind of service: a model service accepts chat completions, a plain service any HTTP request.
enum class ServiceKind { kModel, kPlain };

// Selects the HTTP requests to a plain (non-model) service that may run at most once. The path is a
// prefix that matches whole segments. A request is identified by its Idempotency-Key header or, if
// identity_field is set, by that field of its JSON body.
struct MayNotRepeatRule {
  std::string method;
  std::string path;
  std::string identity_field;

  friend auto operator<=>(const MayNotRepeatRule&, const MayNotRepeatRule&) = default;
};

// Service that callers address: a model service by model name, a plain service by path prefix.
struct ServiceConfig {
  ServiceId name;
  ServiceKind kind = ServiceKind::kModel;
  std::string path_prefix;
  Duration deadline = 60s;
  std::vector<MayNotRepeatRule> may_not_repeat;

  friend auto operator<=>(const ServiceConfig&, const ServiceConfig&) = default;
};

// Client account with its share of the capacity, as a relative weight, and the SHA-256 digest of
// its bearer key in hex.
struct AccountConfig {
  AccountId name;
  double share = 1;
  std::string key_sha256;

  friend auto operator<=>(const AccountConfig&, const AccountConfig&) = default;
};

// Upstream and its location. The price is per VM and hour, in the currency of the operator.
struct UpstreamConfig {
  UpstreamId name;
  ServiceId service;
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  // If empty, the upstream's name is printed instead.
  VmId vm;
  FailureDomainId failure_domain;
  bool checks_fencing = false;
  int concurrency = 8;
  double price_per_hour = 0;

  friend auto operator<=>(const UpstreamConfig&, const UpstreamConfig&) = default;
};

// One version of the whole configuration. Immutable once published, and shared by pointer.
struct Configuration {
  std::uint64_t version = 0;
  std::vector<ServiceConfig> services;
  std::vector<AccountConfig> accounts;
  std::vector<UpstreamConfig> upstreams;

  friend auto operator<=>(const Configuration&, const Configuration&) = default;

  // Return the service, account or upstream with the name, or nullptr.
  const ServiceConfig* FindService(const ServiceId& name) const;
  const AccountConfig* FindAccount(const AccountId& name) const;
  const UpstreamConfig* FindUpstream(const UpstreamId& name) const;
};

// Parses a configuration document. The error lists every invalid field, one per line, with its
// path, what was found and what was expected.
Result<Configuration> ParseConfiguration(const std::string& text);

// Prints a configuration as JSON with two spaces of indentation, in document order.
std::string PrintConfiguration(const Configuration& configuration);

}  // namespace savoryglade
