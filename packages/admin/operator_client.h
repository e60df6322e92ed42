#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "config/configuration.h"
#include "core/error.h"
#include "core/time.h"
#include "net/endpoint.h"

namespace savoryglade {

// Connection settings for a daemon's administration listener.
struct OperatorClientOptions {
  Endpoint daemon;
  // Operators' bearer token; empty if the daemon requires none.
  std::string key;
  Duration timeout = 10s;
  // Number of times that a change is retried after a conflict with another operator's change.
  int conflict_retries = 3;
};

// Blocking client library for operators. Each call sends requests to one daemon and returns the
// configuration that is then in force. Errors: kInvalid (the message has a line for each fault with
// the field's path), kConflict (another change was applied first; the message names what it
// changed), kUnavailable (nothing was changed), kUnknownOutcome (the change may have been accepted;
// read the configuration and compare), kDenied (wrong key), kNotFound (no such item).
class OperatorClient {
 public:
  explicit OperatorClient(OperatorClientOptions options) : options_(std::move(options)) {}

  // Returns the configuration in force at the daemon.
  Result<Configuration> GetConfiguration() const;

  // Replaces the whole configuration if its version is still the version in force.
  Result<Configuration> Apply(const Configuration& configuration) const;

  // Creates a service, or replaces the one of that name.
  Result<Configuration> PutService(const ServiceConfig& service) const;
  // Removes a service and its upstreams.
  Result<Configuration> RemoveService(const ServiceId& name) const;
  // Creates a client account, or replaces the one of that name.
  Result<Configuration> PutAccount(const AccountConfig& account) const;
  // Changes the share of a client account; the share is a relative weight.
  Result<Configuration> SetShare(const AccountId& name, double share) const;
  Result<Configuration> RemoveAccount(const AccountId& name) const;
  // Creates an upstream, or replaces the one of that name.
  Result<Configuration> PutUpstream(const UpstreamConfig& upstream) const;
  Result<Configuration> RemoveUpstream(const UpstreamId& name) const;
  // Adds a rule for calls of a plain service that may run at most once.
  Result<Configuration> AddMayNotRepeatRule(const ServiceId& service,
                                            const MayNotRepeatRule& rule) const;
  // Sets whether an upstream checks the fencing token of orders.
  Result<Configuration> SetChecksFencing(const UpstreamId& name, bool checks) const;

  // Returns the daemon's status as JSON text.
  Result<std::string> GetStatus() const;
  // Returns the counters and timings in the text exposition format.
  Result<std::string> GetMetrics() const;
  // Drains the daemon: it accepts no new work and exits when nothing is in flight.
  Result<void> Drain() const;

 private:
  using ConfigurationEdit = std::function<Result<void>(Configuration&)>;

  // Reads the configuration, edits it and applies it; retries after a conflict.
  Result<Configuration> ModifyConfiguration(const ConfigurationEdit& edit) const;
  // Sends a request and returns the body of the response. The version is the one that a change is
  // based on.
  Result<std::string> SendRequest(const char* method, const std::string& target,
                                  const std::string& body,
                                  std::optional<std::uint64_t> version) const;

  OperatorClientOptions options_;
};

}  // namespace savoryglade
