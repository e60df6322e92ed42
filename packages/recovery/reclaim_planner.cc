#include "recovery/reclaim_planner.h"

#include <algorithm>
#include <tuple>

namespace savoryglade {
namespace {

// A departure with the planned use of its link.
struct Source {
  const Departure* departure = nullptr;
  TimePoint usable_until;
  TimePoint link_free;
  // Time on the link of the requests that are not yet placed.
  Duration pending = Duration::zero();
};

// A request that could move.
struct Candidate {
  // It is predicted to finish in time where it is.
  bool finishes = false;
  // Recomputed tokens that a second on the link spares.
  double value = 0;
  const RunningWork* item = nullptr;
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
    notices_[key] = {State::kLeaving, notice.leaves};
    return true;
  }
  Entry& entry = found->second;
  switch (entry.state) {
    case State::kGone:
      return false;
    case State::kWithdrawn:
      // A late copy of the notice that was withdrawn has its instant; another instant is a new
      // notice.
      if (notice.withdrawn || notice.leaves <= entry.leaves + options_.copy_tolerance) {
        return false;
      }
      entry = {State::kLeaving, notice.leaves};
      return true;
    case State::kLeaving:
      if (notice.withdrawn) {
        entry.state = State::kWithdrawn;
        return true;
      }
      if (notice.leaves >= entry.leaves) {
        return false;
      }
      entry.leaves = notice.leaves;
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

TimePoint ReclaimPlanner::LeavesAt(const VmId& vm, const FailureDomainId& domain) const {
  TimePoint leaves = TimePoint::max();
  for (const Key& key :
       {Key{NoticeScope::kVm, vm.value()}, Key{NoticeScope::kFailureDomain, domain.value()}}) {
    const auto found = notices_.find(key);
    if (found != notices_.end() && found->second.state != State::kWithdrawn) {
      leaves = std::min(leaves, found->second.leaves);
    }
  }
  return leaves;
}

TimePoint ReclaimPlanner::Usable(TimePoint leaves, TimePoint now) const {
  return leaves <= now ? leaves
                       : now + FromSeconds(options_.usable_fraction * ToSeconds(leaves - now));
}

std::vector<ReclaimStep> ReclaimPlanner::Plan(const std::vector<Departure>& departures,
                                              const std::vector<RunningWork>& work,
                                              std::vector<Destination> destinations,
                                              TimePoint now) const {
  std::erase_if(destinations, [&](const Destination& destination) {
    return IsLeaving(destination.vm, destination.domain);
  });
  std::map<UpstreamId, Source> sources;
  for (const Departure& departure : departures) {
    const TimePoint leaves = LeavesAt(departure.vm, departure.domain);
    if (leaves != TimePoint::max()) {
      sources[departure.upstream] = {&departure, Usable(leaves, now),
                                     std::max(now, departure.link_busy_until)};
    }
  }
  const auto link_rate = [&](const Source& source) {
    return source.departure->link_bytes_per_second * options_.link_fraction;
  };
  std::vector<ReclaimStep> steps;
  std::vector<Candidate> candidates;
  for (const RunningWork& item : work) {
    const auto found = sources.find(item.upstream);
    if (found == sources.end()) {
      continue;
    }
    Source& source = found->second;
    if (item.fixed) {
      steps.push_back(
          {item.ticket, ReclaimAction::kFinish, UpstreamId(), now, now + item.remaining});
      continue;
    }
    const Duration on_link = options_.move_overhead +
                             TransferTime(static_cast<double>(item.kv_bytes), link_rate(source));
    source.pending += on_link;
    candidates.push_back({now + item.remaining <= source.usable_until,
                          static_cast<double>(item.context_tokens) / ToSeconds(on_link), &item});
  }
  std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
    return std::tuple(a.finishes, -a.value, -a.item->remaining, a.item->ticket) <
           std::tuple(b.finishes, -b.value, -b.item->remaining, b.item->ticket);
  });
  for (const auto& [finishes, value, item] : candidates) {
    Source& source = sources[item->upstream];
    const auto kv_bytes = static_cast<double>(item->kv_bytes);
    // Without spare time on the link a request leaves without a free slot rather than not at all.
    const bool park =
        source.link_free + source.pending + options_.parking_slack >= source.usable_until;
    source.pending -= options_.move_overhead + TransferTime(kv_bytes, link_rate(source));
    // The same holds for a request that is predicted to finish: predictions are often too short.
    if (finishes && !park) {
      steps.push_back(
          {item->ticket, ReclaimAction::kFinish, UpstreamId(), now, now + item->remaining});
      continue;
    }
    Destination* best = nullptr;
    TimePoint best_begin;
    TimePoint best_end;
    for (Destination& destination : destinations) {
      if (destination.service != item->service || destination.free_kv_bytes < item->kv_bytes ||
          (destination.free_slots == 0 && !park)) {
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
    if (best == nullptr && finishes) {
      steps.push_back(
          {item->ticket, ReclaimAction::kFinish, UpstreamId(), now, now + item->remaining});
      continue;
    }
    if (best != nullptr) {
      const bool parked = best->free_slots == 0;
      steps.push_back(
          {item->ticket, ReclaimAction::kMove, best->upstream, best_begin, best_end, parked});
      source.link_free = best_end;
      best->link_busy_until = best_end;
      best->free_kv_bytes -= item->kv_bytes;
      best->free_slots -= parked ? 0 : 1;
      continue;
    }
    // The KV cache can't arrive in time; a resume needs no transfer.
    const TimePoint earliest_end =
        source.link_free + options_.move_overhead + TransferTime(kv_bytes, link_rate(source));
    const RunningWork& wanted = *item;
    const auto slot =
        std::find_if(destinations.begin(), destinations.end(), [&wanted](const Destination& d) {
          return d.service == wanted.service && d.free_slots > 0 &&
                 d.free_kv_bytes >= wanted.kv_bytes;
        });
    if (earliest_end > source.usable_until && slot != destinations.end()) {
      steps.push_back({item->ticket, ReclaimAction::kResume, slot->upstream, now, now});
      slot->free_slots -= 1;
      slot->free_kv_bytes -= item->kv_bytes;
    } else {
      steps.push_back({item->ticket, ReclaimAction::kWait, UpstreamId(), now, now});
    }
  }
  std::stable_sort(steps.begin(), steps.end(),
                   [](const ReclaimStep& a, const ReclaimStep& b) { return a.begin < b.begin; });
  return steps;
}

std::vector<DrainStep> ReclaimPlanner::PlanDrain(const std::vector<HeldRequest>& held,
                                                 TimePoint leaves, TimePoint now) const {
  const TimePoint usable_until = Usable(leaves, now);
  const TimePoint last_begin = std::max(now, usable_until - options_.hand_over_time);
  std::vector<DrainStep> steps;
  std::vector<const HeldRequest*> handed_over;
  for (const HeldRequest& request : held) {
    if (request.queued) {
      steps.push_back({request.ticket, DrainAction::kRefuse, now});
    } else if (request.fixed || now + request.remaining <= usable_until) {
      steps.push_back({request.ticket, DrainAction::kRelayToEnd, now});
    } else {
      handed_over.push_back(&request);
    }
  }
  std::sort(handed_over.begin(), handed_over.end(), [](const HeldRequest* a, const HeldRequest* b) {
    return std::tuple(-a->remaining, a->ticket) < std::tuple(-b->remaining, b->ticket);
  });
  // Callers come back as streams end, so the ends are spread, faster if the time left is short.
  const auto count = static_cast<double>(handed_over.size());
  const Duration spacing =
      std::min(FromSeconds(1 / options_.hand_overs_per_second),
               FromSeconds(ToSeconds(last_begin - now) / std::max(1.0, count)));
  TimePoint begin = now;
  for (const HeldRequest* request : handed_over) {
    steps.push_back({request->ticket, DrainAction::kHandOver, begin});
    begin += spacing;
  }
  return steps;
}

void ReclaimPlanner::Expire(TimePoint now) {
  std::erase_if(notices_, [&](const auto& item) {
    return item.second.leaves + options_.forget_after <= now;
  });
}

}  // namespace savoryglade
