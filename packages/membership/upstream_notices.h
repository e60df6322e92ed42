#pragma once

#include <map>

#include "core/strong_id.h"
#include "core/time.h"

namespace savoryglade {

// Instants at which this daemon learned that upstreams leave or are gone. Decides until when a
// request that was chosen before may still be sent there. Not thread-safe.
class UpstreamNotices {
 public:
  // Records a notice; the first one counts.
  void OnLeaving(const UpstreamId& upstream, TimePoint now) {
    std::erase_if(learned_at_,
                  [now](const auto& notice) { return now - notice.second > kNoticeLifetime; });
    learned_at_.try_emplace(upstream, now);
  }
  // Records that the upstream is registered and does not leave.
  void OnAvailable(const UpstreamId& upstream) { learned_at_.erase(upstream); }

  // Returns true if no notice is known, or if it was learned at most this long ago.
  bool MayReceive(const UpstreamId& upstream, Duration grace, TimePoint now) const {
    const auto found = learned_at_.find(upstream);
    return found == learned_at_.end() || now - found->second <= grace;
  }

 private:
  // Exceeds the time for which a call holds on to an upstream that it chose.
  static constexpr Duration kNoticeLifetime = 60s;

  std::map<UpstreamId, TimePoint> learned_at_;
};

}  // namespace savoryglade
