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

// Kind of service: a model service takes chat completions, a plain service takes any HTTP request.
enum class ServiceKind { kModel, kPlain };

// Calls of a plain service that may run at most once. The path matches whole segments from the
// left; the identity of a call is its Idempotency-Key header or, if set, this field of its JSON
// body.
struct MayNotRepeatRule {
  std::string method;
  std::string path;
  std::string identity_field;

  friend auto operator<=>(const MayNotRepeatRule&, const MayNotRepeatRule&) = default;
};

// One service that callers address: a model service by model name, a plain service by path prefix.
struct ServiceConfig {
  ServiceId name;
  ServiceKind kind = ServiceKind::kModel;
  std::string path_prefix;
  Duration deadline = 60s;
  std::vector<MayNotRepeatRule> may_not_repeat;

  friend auto operator<=>(const ServiceConfig&, const ServiceConfig&) = default;
};

// One client account: its share of the capacity (relative weight) and the SHA-256 of its bearer key
// in hex.
struct AccountConfig {
  AccountId name;
  double share = 1;
  std::string key_sha256;

  friend auto operator<=>(const AccountConfig&, const AccountConfig&) = default;
};

// One upstream and where it runs. The price is per VM and hour in the guild's currency.
struct UpstreamConfig {
  UpstreamId name;
  ServiceId service;
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  // An upstream without a VM name of its own is printed with its own name.
  VmId vm;
  FailureDomainId failure_domain;
  bool checks_fencing = false;
  int concurrency = 8;
  double price_per_hour = 0;

  friend auto operator<=>(const UpstreamConfig&, const UpstreamConfig&) = default;
};

// The whole configuration in one version. Immutable once published; daemons share it by pointer.
struct Configuration {
  std::uint64_t version = 0;
  std::vector<ServiceConfig> services;
  std::vector<AccountConfig> accounts;
  std::vector<UpstreamConfig> upstreams;

  friend auto operator<=>(const Configuration&, const Configuration&) = default;

  // Returns the service, account or upstream of that name, or nullptr.
  const ServiceConfig* FindService(const ServiceId& name) const;
  const AccountConfig* FindAccount(const AccountId& name) const;
  const UpstreamConfig* FindUpstream(const UpstreamId& name) const;
};

// Parses a configuration document. The error lists every fault, one a line, each with the path of
// the field, what was found and what is expected.
Result<Configuration> ParseConfiguration(const std::string& text);

// Prints a configuration as JSON with two spaces of indentation, in the order of the document.
std::string PrintConfiguration(const Configuration& configuration);

}  // namespace savoryglade
