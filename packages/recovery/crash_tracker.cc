#include "recovery/crash_tracker.h"

#include <algorithm>
#include <cmath>

namespace savoryglade {

std::vector<CrashMark> CrashTracker::OnUpstreamFailed(const UpstreamId& upstream,
                                                      const std::vector<Sha256Digest>& running,
                                                      FailureCause cause, TimePoint now) {
  isolated_.erase(upstream);
  if (cause != FailureCause::kUnknown) {
    return OnVmGone(upstream, now);
  }
  std::vector<CrashMark> marks;
  for (const Sha256Digest& digest : running) {
    if (AddMark(digest, upstream, now, now)) {
      marks.push_back({digest, upstream});
    }
  }
  return marks;
}

void CrashTracker::OnMark(const CrashMark& mark, TimePoint now) {
  const TimePoint failed_at = now - mark.age;
  if (!mark.withdrawn) {
    AddMark(mark.digest, mark.upstream, failed_at, now);
    return;
  }
  const auto found = marks_.find(mark.digest);
  if (found == marks_.end()) {
    return;
  }
  const auto failures = found->second.find(mark.upstream);
  if (failures != found->second.end()) {
    std::erase_if(failures->second, [&](TimePoint known) {
      return known <= failed_at + options_.same_failure_window &&
             failed_at <= known + options_.same_failure_window;
    });
    if (failures->second.empty()) {
      found->second.erase(failures);
    }
  }
  if (found->second.empty()) {
    marks_.erase(found);
  }
}

std::vector<CrashMark> CrashTracker::OnNotice(const UpstreamId& upstream, TimePoint now) {
  return RecordKnownCause(upstream, {now, now + options_.notice_lifetime}, now);
}

std::vector<CrashMark> CrashTracker::OnVmGone(const UpstreamId& upstream, TimePoint now) {
  return RecordKnownCause(upstream, {now - options_.vm_list_lag, now}, now);
}

std::vector<CrashMark> CrashTracker::RecordKnownCause(const UpstreamId& upstream,
                                                      CauseInterval cause_interval, TimePoint now) {
  Expire(now);
  const auto [known, inserted] = known_causes_.try_emplace(upstream, cause_interval);
  if (!inserted) {
    // Merges the interval of a notice with that of the later loss of the VM. An older interval that
    // does not overlap is replaced.
    const bool overlaps =
        known->second.from <= cause_interval.until && cause_interval.from <= known->second.until;
    known->second = overlaps ? CauseInterval{std::min(known->second.from, cause_interval.from),
                                             std::max(known->second.until, cause_interval.until)}
                             : cause_interval;
  }
  std::vector<CrashMark> withdrawn;
  for (auto next = marks_.begin(); next != marks_.end();) {
    const auto entry = next++;
    const auto failures = entry->second.find(upstream);
    if (failures == entry->second.end()) {
      continue;
    }
    for (const TimePoint failed_at : failures->second) {
      if (HasKnownCause(upstream, failed_at)) {
        withdrawn.push_back({entry->first, upstream, now - failed_at, true});
      }
    }
    std::erase_if(failures->second,
                  [&](TimePoint failed_at) { return HasKnownCause(upstream, failed_at); });
    if (failures->second.empty()) {
      entry->second.erase(failures);
    }
    if (entry->second.empty()) {
      marks_.erase(entry);
    }
  }
  return withdrawn;
}

std::vector<CrashMark> CrashTracker::OnCompleted(const Sha256Digest& digest, TimePoint now) {
  std::vector<CrashMark> withdrawn;
  const auto found = marks_.find(digest);
  if (found == marks_.end() || CountMarks(found->second, now).total >= 2) {
    return withdrawn;
  }
  for (const auto& [upstream, failures] : found->second) {
    for (const TimePoint failed_at : failures) {
      withdrawn.push_back({digest, upstream, now - failed_at, true});
    }
  }
  marks_.erase(found);
  return withdrawn;
}

CrashDecision CrashTracker::Decide(const Sha256Digest& digest, TimePoint now) const {
  const auto found = marks_.find(digest);
  const MarkCounts marks = found == marks_.end() ? MarkCounts{} : CountMarks(found->second, now);
  if (marks.total < 2) {
    return marks.total == 0 ? CrashDecision::kRun : CrashDecision::kRunIsolated;
  }
  return marks.confirmed < 2 ? CrashDecision::kWait : CrashDecision::kRefuse;
}

std::optional<Isolation> CrashTracker::Isolate(const DaemonId& self, std::size_t upstreams,
                                               const std::vector<IsolationCandidate>& candidates,
                                               TimePoint now) {
  std::erase_if(isolated_, [&](const auto& entry) { return now >= entry.second.until; });
  const auto limit = static_cast<std::size_t>(
      std::max(1.0, std::floor(options_.max_isolated_fraction * static_cast<double>(upstreams))));
  if (isolated_.size() >= limit) {
    return std::nullopt;
  }
  const IsolationCandidate* best = nullptr;
  for (const IsolationCandidate& candidate : candidates) {
    if (!isolated_.contains(candidate.upstream) &&
        (best == nullptr || candidate.running < best->running)) {
      best = &candidate;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  isolated_[best->upstream] = {self, now + options_.isolation_lifetime};
  return Isolation{best->upstream, now + options_.isolation_start_delay};
}

void CrashTracker::RenewIsolation(const UpstreamId& upstream, TimePoint now) {
  if (const auto found = isolated_.find(upstream); found != isolated_.end()) {
    found->second.until = now + options_.isolation_lifetime;
  }
}

bool CrashTracker::OnIsolation(const IsolationNotice& notice, const DaemonId& self, TimePoint now) {
  const auto found = isolated_.find(notice.upstream);
  const bool reserved = found != isolated_.end() && now < found->second.until;
  if (!notice.reserved) {
    if (reserved && found->second.daemon == notice.daemon) {
      isolated_.erase(found);
    }
    return false;
  }
  const bool lost = reserved && found->second.daemon == self && notice.daemon < self;
  if (!reserved || notice.daemon <= found->second.daemon) {
    isolated_[notice.upstream] = {notice.daemon, now + options_.isolation_lifetime};
  }
  return lost;
}

bool CrashTracker::IsIsolated(const UpstreamId& upstream, TimePoint now) const {
  const auto found = isolated_.find(upstream);
  return found != isolated_.end() && now < found->second.until;
}

bool CrashTracker::HasKnownCause(const UpstreamId& upstream, TimePoint failed_at) const {
  const auto found = known_causes_.find(upstream);
  return found != known_causes_.end() && found->second.from <= failed_at &&
         failed_at <= found->second.until;
}

bool CrashTracker::AddMark(const Sha256Digest& digest, const UpstreamId& upstream,
                           TimePoint failed_at, TimePoint now) {
  if (HasKnownCause(upstream, failed_at) || failed_at + options_.mark_lifetime <= now) {
    return false;
  }
  Expire(now);
  if (!marks_.contains(digest) && marks_.size() >= options_.max_digests) {
    EvictDigest();
  }
  std::vector<TimePoint>& failures = marks_[digest][upstream];
  const bool known = std::any_of(failures.begin(), failures.end(), [&](TimePoint other) {
    return other <= failed_at + options_.same_failure_window &&
           failed_at <= other + options_.same_failure_window;
  });
  // Two failures are enough to refuse a body, so further failures of the same upstream are not
  // stored.
  if (!known && failures.size() < 2) {
    failures.push_back(failed_at);
  }
  return true;
}

CrashTracker::MarkCounts CrashTracker::CountMarks(const FailureTimes& failures,
                                                  TimePoint now) const {
  MarkCounts marks;
  for (const auto& [upstream, instants] : failures) {
    for (const TimePoint failed_at : instants) {
      if (now < failed_at + options_.mark_lifetime && !HasKnownCause(upstream, failed_at)) {
        ++marks.total;
        marks.confirmed += failed_at + options_.vm_list_lag <= now ? 1 : 0;
      }
    }
  }
  return marks;
}

void CrashTracker::Expire(TimePoint now) {
  for (auto& [digest, failures] : marks_) {
    for (auto& [upstream, instants] : failures) {
      std::erase_if(instants,
                    [&](TimePoint failed_at) { return failed_at + options_.mark_lifetime <= now; });
    }
    std::erase_if(failures, [](const auto& entry) { return entry.second.empty(); });
  }
  std::erase_if(marks_, [](const auto& entry) { return entry.second.empty(); });
  std::erase_if(known_causes_, [&](const auto& entry) {
    return entry.second.until + options_.mark_lifetime <= now;
  });
}

void CrashTracker::EvictDigest() {
  // Evicts the body with the fewest failures. A body to be refused is evicted last, because two
  // more upstreams would crash before it is detected again.
  auto victim = marks_.end();
  std::size_t fewest = 0;
  TimePoint oldest;
  for (auto entry = marks_.begin(); entry != marks_.end(); ++entry) {
    std::size_t count = 0;
    TimePoint latest = TimePoint::min();
    for (const auto& [upstream, instants] : entry->second) {
      count += instants.size();
      latest = std::max(latest, *std::max_element(instants.begin(), instants.end()));
    }
    if (victim == marks_.end() || count < fewest || (count == fewest && latest < oldest)) {
      victim = entry;
      fewest = count;
      oldest = latest;
    }
  }
  if (victim != marks_.end()) {
    marks_.erase(victim);
  }
}

}  // namespace savoryglade
