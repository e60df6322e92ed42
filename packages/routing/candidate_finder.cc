#include "routing/candidate_finder.h"

#include <algorithm>
#include <array>

namespace savoryglade {
namespace {

bool IsExcluded(const RouteRequest& request, const UpstreamId& name) {
  return std::find(request.excluded.begin(), request.excluded.end(), name) !=
         request.excluded.end();
}

bool MayProbe(const UpstreamEntry& entry, const UpstreamGroup& group, const RouteRequest& request,
              TimePoint now) {
  // Cheap repeatable requests lose least if a probe fails.
  return request.hedge_of == 0 &&
         ((request.repeatable && group.IsCheapEnoughToProbe(request.predicted_cost)) ||
          entry.straggler.ProbeOverdue(now));
}

}  // namespace

void CandidateFinder::Find(const UpstreamGroup& group, const RouteRequest& request,
                           const UpstreamEntry* hedged, double limit_share, TimePoint now) {
  local_.clear();
  remote_.clear();
  probe_ = nullptr;
  refusal_ = RoutingCount::kRefusedLeaving;
  UpstreamEntry* recovering = nullptr;
  // The cause that is closest to usability is reported.
  const auto refuse = [this](RoutingCount cause) {
    constexpr std::array kOrder = {RoutingCount::kRefusedLeaving, RoutingCount::kRefusedPaused,
                                   RoutingCount::kRefusedExcluded, RoutingCount::kRefusedStragglers,
                                   RoutingCount::kRefusedAtLimit};
    const auto rank = [&](RoutingCount count) {
      return std::find(kOrder.begin(), kOrder.end(), count) - kOrder.begin();
    };
    if (rank(cause) > rank(refusal_)) {
      refusal_ = cause;
    }
  };
  for (UpstreamEntry* entry : group.entries()) {
    const Availability::State state = entry->availability.StateAt(now);
    if (state == Availability::State::kLeaving) {
      continue;
    }
    if (state == Availability::State::kPaused) {
      refuse(RoutingCount::kRefusedPaused);
      continue;
    }
    if (entry == hedged || IsExcluded(request, entry->config.name)) {
      refuse(RoutingCount::kRefusedExcluded);
      continue;
    }
    if (!entry->HasSlot(limit_share)) {
      refuse(RoutingCount::kRefusedAtLimit);
      continue;
    }
    if (state == Availability::State::kProbe) {
      recovering = entry;
      continue;
    }
    if (entry->straggler.ejected()) {
      refuse(RoutingCount::kRefusedStragglers);
      if (entry->straggler.ProbeDue(now) &&
          group.TokenGapRatio(*entry, now) <= StragglerDetector::kReadmitRatio &&
          MayProbe(*entry, group, request, now)) {
        probe_ = entry;
      }
      continue;
    }
    (entry->local ? local_ : remote_).push_back(entry);
  }
  const bool none = local_.empty() && remote_.empty();
  if (recovering != nullptr && (none || MayProbe(*recovering, group, request, now))) {
    probe_ = recovering;
  }
}

}  // namespace savoryglade
