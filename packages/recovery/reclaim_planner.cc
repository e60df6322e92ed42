#include "recovery/reclaim_planner.h"

#include <algorithm>
#include <tuple>

namespace savoryglade {
namespace {

// Departing upstream with the planned use of its outgoing link.
struct SourceLink {
  const DepartingUpstream* departing_upstream = nullptr;
  TimePoint usable_until;
  TimePoint link_free;
  // Transfer time of the requests that are not yet placed.
  Duration pending_transfer_time = Duration::zero();
};

// Request that could be moved.
struct MoveCandidate {
  // The request is predicted to complete in time at its current upstream.
  bool finishes_in_time = false;
  // Recomputed tokens saved per second of transfer time.
  double saved_tokens_per_second = 0;
  const DepartingRequest* request = nullptr;
};

Duration TransferTime(double bytes, double rate) {
  return rate > 0 ? FromSeconds(bytes / rate) : Duration::max() / 4;
}

}  // namespace

bool ReclaimPlanner::OnNotice(const Notice& notice, TimePoint now) {
  const Key key{notice.scope, notice.name};
  const auto found = notices_.find(key);
  if (found == notices_.end()) {
    if (notices_.size() >= options_.max_notices) {
      Expire(now);
    }
    if (notice.withdrawn || notices_.size() >= options_.max_notices) {
      return false;
    }
    notices_[key] = {State::kLeaving, notice.departs_at};
    return true;
  }
  Entry& entry = found->second;
  switch (entry.state) {
    case State::kGone:
      return false;
    case State::kWithdrawn:
      // A late copy of the withdrawn notice has about the same departure time; a later time means a
      // new notice.
      if (notice.withdrawn ||
          notice.departs_at <= entry.departs_at + options_.duplicate_tolerance) {
        return false;
      }
      entry = {State::kLeaving, notice.departs_at};
      return true;
    case State::kLeaving:
      if (notice.withdrawn) {
        entry.state = State::kWithdrawn;
        return true;
      }
      if (notice.departs_at >= entry.departs_at) {
        return false;
      }
      entry.departs_at = notice.departs_at;
      return true;
  }
  return false;
}

bool ReclaimPlanner::OnGone(NoticeScope scope, const std::string& name, TimePoint now) {
  Entry& entry = notices_[{scope, name}];
  const bool changed = entry.state != State::kGone;
  entry = {State::kGone, now};
  return changed;
}

void ReclaimPlanner::OnStarted(const VmId& vm, const FailureDomainId& domain, TimePoint now) {
  notices_.erase({NoticeScope::kVm, vm.value()});
  const auto found = notices_.find({NoticeScope::kFailureDomain, domain.value()});
  if (found != notices_.end() && found->second.state == State::kGone) {
    found->second = {State::kWithdrawn, now};
  }
}

TimePoint ReclaimPlanner::DepartureTime(const VmId& vm, const FailureDomainId& domain) const {
  TimePoint departs_at = TimePoint::max();
  for (const Key& key :
       {Key{NoticeScope::kVm, vm.value()}, Key{NoticeScope::kFailureDomain, domain.value()}}) {
    const auto found = notices_.find(key);
    if (found != notices_.end() && found->second.state != State::kWithdrawn) {
      departs_at = std::min(departs_at, found->second.departs_at);
    }
  }
  return departs_at;
}

TimePoint ReclaimPlanner::UsableUntil(TimePoint departs_at, TimePoint now) const {
  return departs_at <= now
             ? departs_at
             : now + FromSeconds(options_.usable_fraction * ToSeconds(departs_at - now));
}

std::vector<ReclaimStep> ReclaimPlanner::Plan(
    const std::vector<DepartingUpstream>& departing_upstreams,
    const std::vector<DepartingRequest>& requests, std::vector<Destination> destinations,
    TimePoint now) const {
  std::erase_if(destinations, [&](const Destination& destination) {
    return IsLeaving(destination.vm, destination.domain);
  });
  std::map<UpstreamId, SourceLink> sources;
  for (const DepartingUpstream& departing_upstream : departing_upstreams) {
    const TimePoint departs_at = DepartureTime(departing_upstream.vm, departing_upstream.domain);
    if (departs_at != TimePoint::max()) {
      sources[departing_upstream.upstream] = {&departing_upstream, UsableUntil(departs_at, now),
                                              std::max(now, departing_upstream.link_busy_until)};
    }
  }
  const auto link_rate = [&](const SourceLink& source) {
    return source.departing_upstream->link_bytes_per_second * options_.link_fraction;
  };
  std::vector<ReclaimStep> steps;
  std::vector<MoveCandidate> candidates;
  for (const DepartingRequest& request : requests) {
    const auto found = sources.find(request.upstream);
    if (found == sources.end()) {
      continue;
    }
    SourceLink& source = found->second;
    if (request.pinned) {
      steps.push_back(
          {request.request_id, ReclaimAction::kFinish, UpstreamId(), now, now + request.remaining});
      continue;
    }
    const Duration on_link = options_.move_overhead +
                             TransferTime(static_cast<double>(request.kv_bytes), link_rate(source));
    source.pending_transfer_time += on_link;
    candidates.push_back({now + request.remaining <= source.usable_until,
                          static_cast<double>(request.context_tokens) / ToSeconds(on_link),
                          &request});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const MoveCandidate& a, const MoveCandidate& b) {
              return std::tuple(a.finishes_in_time, -a.saved_tokens_per_second,
                                -a.request->remaining, a.request->request_id) <
                     std::tuple(b.finishes_in_time, -b.saved_tokens_per_second,
                                -b.request->remaining, b.request->request_id);
            });
  for (const auto& [finishes_in_time, saved_tokens_per_second, request] : candidates) {
    SourceLink& source = sources[request->upstream];
    const auto kv_bytes = static_cast<double>(request->kv_bytes);
    // If the link has no spare time left, the request is moved to a destination without a free
    // slot, because otherwise it could not be moved at all.
    const bool move_without_slot =
        source.link_free + source.pending_transfer_time + options_.min_link_slack >=
        source.usable_until;
    source.pending_transfer_time -=
        options_.move_overhead + TransferTime(kv_bytes, link_rate(source));
    // This also applies to requests that are predicted to complete in time, because predictions are
    // often too short.
    if (finishes_in_time && !move_without_slot) {
      steps.push_back({request->request_id, ReclaimAction::kFinish, UpstreamId(), now,
                       now + request->remaining});
      continue;
    }
    Destination* best = nullptr;
    TimePoint best_begin;
    TimePoint best_end;
    for (Destination& destination : destinations) {
      if (destination.service != request->service ||
          destination.free_kv_bytes < request->kv_bytes ||
          (destination.free_slots == 0 && !move_without_slot)) {
        continue;
      }
      const double rate =
          std::min(link_rate(source), destination.link_bytes_per_second * options_.link_fraction);
      const TimePoint begin = std::max(source.link_free, destination.link_busy_until);
      const TimePoint end = begin + options_.move_overhead + TransferTime(kv_bytes, rate);
      const bool has_slot = destination.free_slots > 0;
      if (end <= source.usable_until &&
          (best == nullptr || std::tuple(!has_slot, end, destination.upstream) <
                                  std::tuple(best->free_slots == 0, best_end, best->upstream))) {
        best = &destination;
        best_begin = begin;
        best_end = end;
      }
    }
    if (best == nullptr && finishes_in_time) {
      steps.push_back({request->request_id, ReclaimAction::kFinish, UpstreamId(), now,
                       now + request->remaining});
      continue;
    }
    if (best != nullptr) {
      const bool waits_for_slot = best->free_slots == 0;
      steps.push_back({request->request_id, ReclaimAction::kMove, best->upstream, best_begin,
                       best_end, waits_for_slot});
      source.link_free = best_end;
      best->link_busy_until = best_end;
      best->free_kv_bytes -= request->kv_bytes;
      best->free_slots -= waits_for_slot ? 0 : 1;
      continue;
    }
    // The KV cache can't arrive in time. A resume needs no transfer.
    const TimePoint earliest_end =
        source.link_free + options_.move_overhead + TransferTime(kv_bytes, link_rate(source));
    const DepartingRequest& wanted = *request;
    const auto slot =
        std::find_if(destinations.begin(), destinations.end(), [&wanted](const Destination& d) {
          return d.service == wanted.service && d.free_slots > 0 &&
                 d.free_kv_bytes >= wanted.kv_bytes;
        });
    if (earliest_end > source.usable_until && slot != destinations.end()) {
      steps.push_back({request->request_id, ReclaimAction::kResume, slot->upstream, now, now});
      slot->free_slots -= 1;
      slot->free_kv_bytes -= request->kv_bytes;
    } else {
      steps.push_back({request->request_id, ReclaimAction::kWait, UpstreamId(), now, now});
    }
  }
  std::stable_sort(steps.begin(), steps.end(),
                   [](const ReclaimStep& a, const ReclaimStep& b) { return a.begin < b.begin; });
  return steps;
}

std::vector<DrainStep> ReclaimPlanner::PlanDrain(const std::vector<HeldRequest>& held,
                                                 TimePoint departs_at, TimePoint now) const {
  const TimePoint usable_until = UsableUntil(departs_at, now);
  const TimePoint last_begin = std::max(now, usable_until - options_.handover_time);
  std::vector<DrainStep> steps;
  std::vector<const HeldRequest*> handed_over;
  for (const HeldRequest& request : held) {
    if (request.queued) {
      steps.push_back({request.request_id, DrainAction::kRefuse, now});
    } else if (request.pinned || now + request.remaining <= usable_until) {
      steps.push_back({request.request_id, DrainAction::kRelayToEnd, now});
    } else {
      handed_over.push_back(&request);
    }
  }
  std::sort(handed_over.begin(), handed_over.end(), [](const HeldRequest* a, const HeldRequest* b) {
    return std::tuple(-a->remaining, a->request_id) < std::tuple(-b->remaining, b->request_id);
  });
  // Callers reconnect when their streams end, so the handovers are spread over time, at a higher
  // rate if little time is left.
  const auto count = static_cast<double>(handed_over.size());
  const Duration spacing =
      std::min(FromSeconds(1 / options_.handovers_per_second),
               FromSeconds(ToSeconds(last_begin - now) / std::max(1.0, count)));
  TimePoint begin = now;
  for (const HeldRequest* request : handed_over) {
    steps.push_back({request->request_id, DrainAction::kHandOver, begin});
    begin += spacing;
  }
  return steps;
}

void ReclaimPlanner::Expire(TimePoint now) {
  std::erase_if(notices_, [&](const auto& entry) {
    return entry.second.departs_at + options_.notice_retention <= now;
  });
}

}  // namespace savoryglade
