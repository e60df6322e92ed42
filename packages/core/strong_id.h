#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace savoryglade {

// Typed string identifier. Identifiers with different tags can't be assigned or compared.
template <typename Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  friend auto operator<=>(const StrongId&, const StrongId&) = default;

 private:
  std::string value_;
};

// Client account that owns requests and holds a share of the capacity.
using AccountId = StrongId<struct AccountTag>;
// Service that callers address, either a model service or a plain one.
using ServiceId = StrongId<struct ServiceTag>;
// Process that runs requests of one service.
using UpstreamId = StrongId<struct UpstreamTag>;
// Virtual machine, reclaimable or on demand.
using VmId = StrongId<struct VmTag>;
// Set of VMs that can be lost or disconnected together.
using FailureDomainId = StrongId<struct FailureDomainTag>;
// Daemon of the fleet, identified by the name in its settings.
using DaemonId = StrongId<struct DaemonTag>;
// Identifies a request across resends: the caller's idempotency key or one made by the daemon.
using RequestKey = StrongId<struct RequestKeyTag>;

}  // namespace savoryglade

template <typename Tag>
struct std::hash<savoryglade::StrongId<Tag>> {
  std::size_t operator()(const savoryglade::StrongId<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.value());
  }
};
