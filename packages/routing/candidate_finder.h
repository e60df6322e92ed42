#pragma once

#include <vector>

#include "core/time.h"
#include "routing/route_types.h"
#include "routing/routing_counters.h"
#include "routing/upstream_entry.h"
#include "routing/upstream_group.h"

namespace savoryglade {

// Finds the upstreams of a group that a request may go to. Its lists are kept between calls to save
// allocations.
class CandidateFinder {
 public:
  // Looks at each upstream of the group once. The hedged upstream, if any, is left out.
  void Find(const UpstreamGroup& group, const RouteRequest& request, const UpstreamEntry* hedged,
            double limit_share, TimePoint now);

  // The usable upstreams in the local failure domain and in others.
  const std::vector<UpstreamEntry*>& local() const { return local_; }
  const std::vector<UpstreamEntry*>& remote() const { return remote_; }

  // The upstream that should get this request as a probe, or nullptr.
  UpstreamEntry* probe() const { return probe_; }

  // Returns true if the request can go nowhere, for the cause that refusal() names.
  bool empty() const { return probe_ == nullptr && local_.empty() && remote_.empty(); }
  RoutingCount refusal() const { return refusal_; }

 private:
  std::vector<UpstreamEntry*> local_;
  std::vector<UpstreamEntry*> remote_;
  UpstreamEntry* probe_ = nullptr;
  RoutingCount refusal_ = RoutingCount::kRefusedUnknownService;
};

}  // namespace savoryglade
