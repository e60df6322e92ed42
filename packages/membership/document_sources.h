#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "core/random.h"
#include "core/strong_id.h"
#include "core/time.h"

namespace savoryglade {

struct DocumentSourceOptions {
  // A peer whose last report is older is not asked.
  Duration report_lifetime = 1s;
  // Time for which a peer that is busy with other transfers is not asked again.
  Duration busy_pause = 40ms;
  // Time for which a peer is not asked again after a failed transfer; doubled after each further
  // failure, up to the maximum.
  Duration failure_pause = 250ms;
  Duration max_failure_pause = 2s;
};

// Chooses the peers from which a daemon fetches a versioned document that it lacks. The daemons of
// a group learn of a new version at about the same time, and each peer serves only a few transfers
// at once. Each daemon therefore asks a random one of the peers that hold the document, so that the
// number of holders multiplies with each transfer, whatever the size of the group. Not thread-safe.
class DocumentSources {
 public:
  explicit DocumentSources(DocumentSourceOptions options) : options_(options) {}

  void SetReportLifetime(Duration lifetime) { options_.report_lifetime = lifetime; }

  // Records that a peer holds this version.
  void OnReport(const DaemonId& peer, std::uint64_t version, TimePoint now);
  // Records that a peer rejected a transfer because it serves others.
  void OnBusy(const DaemonId& peer, TimePoint now);
  // Records that a transfer from a peer broke off, or did not begin.
  void OnFailure(const DaemonId& peer, TimePoint now);
  void OnTransferred(const DaemonId& peer);

  // Returns true if a peer has recently reported a newer version than the one held.
  bool HasNewer(std::uint64_t held, TimePoint now) const;
  // Returns a peer that has the newest version of those that may be asked now, or nothing if none
  // of them has a newer version than the one held.
  std::optional<DaemonId> Choose(std::uint64_t held, TimePoint now, Random& random) const;

 private:
  struct Source {
    std::uint64_t version = 0;
    TimePoint reported_at{};
    TimePoint paused_until{};
    int failures = 0;
  };

  bool IsRecent(const Source& source, TimePoint now) const {
    return now - source.reported_at <= options_.report_lifetime;
  }

  DocumentSourceOptions options_;
  std::map<DaemonId, Source> sources_;
};

}  // namespace savoryglade
