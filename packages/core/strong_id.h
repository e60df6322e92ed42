#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace savoryglade {

// Name of one kind of thing. Two kinds of names don't mix, although both are text.
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
// Service that callers address, model or plain.
using ServiceId = StrongId<struct ServiceTag>;
// Process that runs requests of one service.
using UpstreamId = StrongId<struct UpstreamTag>;
// Virtual machine, reclaimable or on demand.
using VmId = StrongId<struct VmTag>;
// Set of VMs that can be lost or cut off together.
using FailureDomainId = StrongId<struct FailureDomainTag>;
// One daemon of the fleet, by the name in its settings.
using DaemonId = StrongId<struct DaemonTag>;
// Identity of a request over resends: the caller's idempotency key or one made by the daemon.
using RequestKey = StrongId<struct RequestKeyTag>;

}  // namespace savoryglade

template <typename Tag>
struct std::hash<savoryglade::StrongId<Tag>> {
  std::size_t operator()(const savoryglade::StrongId<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.value());
  }
};
