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

// How to reach a daemon's administration listener.
struct OperatorClientOptions {
  Endpoint daemon;
  // Bearer token of operators; empty if the daemon asks for none.
  std::string key;
  Duration timeout = 10s;
  // How often a change is tried again after another operator changed something else meanwhile.
  int conflict_retries = 3;
};

// Operators' library: each call blocks, talks to one daemon and returns the configuration that the
// system then holds. Errors: kInvalid (the message has a line for each fault with the field's
// path), kConflict (another change came first; the message names what it changed), kUnavailable
// (nothing was changed), kUnknownOutcome (the change may have been accepted; read the configuration
// and compare), kDenied (wrong key), kNotFound (no such item).
class OperatorClient {
 public:
  explicit OperatorClient(OperatorClientOptions options) : options_(std::move(options)) {}

  // Returns the configuration in force at the daemon.
  Result<Configuration> GetConfiguration() const;

  // Replaces the whole configuration if the version in force is still the given document's version.
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
  // Marks calls of a plain service that may run at most once.
  Result<Configuration> AddMayNotRepeatRule(const ServiceId& service,
                                            const MayNotRepeatRule& rule) const;
  // States whether an upstream checks the fencing number of orders.
  Result<Configuration> SetChecksFencing(const UpstreamId& name, bool checks) const;

  // Returns the daemon's status as JSON text.
  Result<std::string> GetStatus() const;
  // Returns the counters and timings in the text exposition format.
  Result<std::string> GetMetrics() const;
  // Asks the daemon to drain: it takes no new work and ends when nothing is in flight.
  Result<void> Drain() const;

 private:
  using Edit = std::function<Result<void>(Configuration&)>;

  // Reads the configuration, edits it and applies it; again if another change came first.
  Result<Configuration> Change(const Edit& edit) const;
  // The version, if there is one, is the one that a change started from.
  Result<std::string> Exchange(const char* method, const std::string& target,
                               const std::string& body, std::optional<std::uint64_t> version) const;

  OperatorClientOptions options_;
};

}  // namespace savoryglade
