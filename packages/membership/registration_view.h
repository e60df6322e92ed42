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

// Change of one upstream's registration. Without a record it is gone.
struct RegistrationChange {
  UpstreamId id;
  std::optional<UpstreamRecord> record;
  // Rises with each change of the registration.
  std::uint64_t version = 0;
};

// Upstreams by their registrations, which expire while the store that holds them is disturbed. A
// registration that vanishes shortly after a disturbance is kept, marked as doubtful, until the
// upstream has had time to register again; one that vanishes in quiet times is gone at once. Late
// and repeated news of an upstream have no effect. Not safe to use from several threads.
class RegistrationView {
 public:
  struct Options {
    // Time after the first answer behind a disturbance in which a registration may be missing
    // wrongly. Upstreams are back about two seconds after the store; the operators' pages say so.
    Duration settle = 2200ms;
  };

  explicit RegistrationView(Options options) : options_(options) {}

  // Takes the changes of an answer, or what another daemon made of one; a whole listing also
  // removes what it does not name, up to its own version. Returns the upstreams whose records
  // changed or, without a record, that are gone.
  std::vector<RegistrationChange> Apply(
      const std::vector<RegistrationChange>& changes, bool whole, TimePoint now,
      std::uint64_t listed_at = std::numeric_limits<std::uint64_t>::max());
  // Takes a failed call of the store.
  void OnStoreFailure() { disturbed_ = true; }
  // Returns the upstreams whose time to register again is over.
  std::vector<RegistrationChange> Expire(TimePoint now);

 private:
  struct Entry {
    std::optional<UpstreamRecord> record;
    std::uint64_t version = 0;
    // When a missing registration is taken for gone.
    std::optional<TimePoint> gone_at;
  };

  void Take(const RegistrationChange& change, TimePoint now, std::vector<RegistrationChange>& news);

  Options options_;
  bool disturbed_ = false;
  TimePoint disturbed_until_{};
  std::map<UpstreamId, Entry> entries_;
};

}  // namespace savoryglade
