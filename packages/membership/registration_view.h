#pragma once

#include <compare>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <vector>

#include "core/strong_id.h"
#include "core/time.h"
#include "routing/fleet_load_balancer.h"

namespace savoryglade {

// Change of an upstream's registration. No record means that it was removed.
struct RegistrationChange {
  UpstreamId id;
  std::optional<UpstreamRecord> record;
  // Increases with each change of the registration.
  std::uint64_t version = 0;
};

// View of the registered upstreams. Registrations expire during an outage of the store that holds
// them, so a registration that disappears shortly after an outage is kept, marked as doubtful,
// until the upstream has had time to register again. One that disappears at any other time is
// removed at once. Late and duplicate changes have no effect. Not thread-safe.
class RegistrationView {
 public:
  struct Options {
    // Time after the first response following an outage during which a registration may be missing
    // although its upstream is alive. Upstreams register again about two seconds after the store
    // has recovered, as the operator documentation states.
    Duration settle_time = 2200ms;
  };

  explicit RegistrationView(Options options) : options_(options) {}

  // Applies the changes in a response of the store, read by this daemon or by another one. A full
  // listing also removes registrations that it does not contain and whose version is at most
  // listed_at. Returns the registrations that changed; those without a record were removed.
  std::vector<RegistrationChange> Apply(
      const std::vector<RegistrationChange>& changes, bool full_listing, TimePoint now,
      std::uint64_t listed_at = std::numeric_limits<std::uint64_t>::max());
  // Records that a call to the store failed.
  void OnStoreFailure() { store_failed_ = true; }
  // Removes and returns the doubtful registrations whose upstreams did not register in time.
  std::vector<RegistrationChange> Expire(TimePoint now);

 private:
  struct Entry {
    std::optional<UpstreamRecord> record;
    std::uint64_t version = 0;
    // Time at which a doubtful registration is removed.
    std::optional<TimePoint> remove_at;
  };

  void ApplyChange(const RegistrationChange& change, TimePoint now,
                   std::vector<RegistrationChange>& applied);

  Options options_;
  bool store_failed_ = false;
  TimePoint settling_until_{};
  std::map<UpstreamId, Entry> entries_;
};

}  // namespace savoryglade
