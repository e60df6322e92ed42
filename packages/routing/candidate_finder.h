#pragma once

#include <vector>

#include "core/time.h"
#include "routing/route_types.h"
#include "routing/routing_counters.h"
#include "routing/upstream_entry.h"
#include "routing/upstream_group.h"

namespace savoryglade {

// Finds the upstreams of a group that may receive a request. Its lists are reused between calls to
// avoid allocations.
class CandidateFinder {
 public:
  // Collects the candidates among the upstreams of the group. The hedged upstream, if any, is
  // excluded.
  void Find(const UpstreamGroup& group, const RouteRequest& request, const UpstreamEntry* hedged,
            double limit_share, TimePoint now);

  // Return the usable upstreams in the local failure domain and in other domains.
  const std::vector<UpstreamEntry*>& local() const { return local_; }
  const std::vector<UpstreamEntry*>& remote() const { return remote_; }

  // Returns the upstream that should receive this request as a probe, or nullptr.
  UpstreamEntry* probe() const { return probe_; }

  // Returns true if no upstream may receive the request; refusal() then returns the cause.
  bool empty() const { return probe_ == nullptr && local_.empty() && remote_.empty(); }
  RoutingCount refusal() const { return refusal_; }

 private:
  std::vector<UpstreamEntry*> local_;
  std::vector<UpstreamEntry*> remote_;
  UpstreamEntry* probe_ = nullptr;
  RoutingCount refusal_ = RoutingCount::kRefusedUnknownService;
};

}  // namespace savoryglade
