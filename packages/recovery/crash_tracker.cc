#include "recovery/crash_tracker.h"

#include <algorithm>
#include <cmath>

namespace savoryglade {

std::vector<CrashMark> CrashTracker::OnUpstreamDied(const UpstreamId& upstream,
                                                    const std::vector<Sha256Digest>& running,
                                                    DeathCause cause, TimePoint now) {
  isolated_.erase(upstream);
  if (cause != DeathCause::kUnknown) {
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
  const TimePoint death = now - mark.age;
  if (!mark.withdrawn) {
    AddMark(mark.digest, mark.upstream, death, now);
    return;
  }
  const auto found = marks_.find(mark.digest);
  if (found == marks_.end()) {
    return;
  }
  const auto deaths = found->second.find(mark.upstream);
  if (deaths != found->second.end()) {
    std::erase_if(deaths->second, [&](TimePoint known) {
      return known <= death + options_.same_death && death <= known + options_.same_death;
    });
    if (deaths->second.empty()) {
      found->second.erase(deaths);
    }
  }
  if (found->second.empty()) {
    marks_.erase(found);
  }
}

std::vector<CrashMark> CrashTracker::OnNotice(const UpstreamId& upstream, TimePoint now) {
  return Explain(upstream, {now, now + options_.notice_lifetime}, now);
}

std::vector<CrashMark> CrashTracker::OnVmGone(const UpstreamId& upstream, TimePoint now) {
  return Explain(upstream, {now - options_.vm_list_lag, now}, now);
}

std::vector<CrashMark> CrashTracker::Explain(const UpstreamId& upstream, Explanation explanation,
                                             TimePoint now) {
  Expire(now);
  const auto [known, inserted] = explained_.try_emplace(upstream, explanation);
  if (!inserted) {
    // A notice and the later loss of the VM are one explanation; an older one is no longer needed.
    const bool overlaps =
        known->second.from <= explanation.until && explanation.from <= known->second.until;
    known->second = overlaps ? Explanation{std::min(known->second.from, explanation.from),
                                           std::max(known->second.until, explanation.until)}
                             : explanation;
  }
  std::vector<CrashMark> withdrawn;
  for (auto next = marks_.begin(); next != marks_.end();) {
    const auto entry = next++;
    const auto deaths = entry->second.find(upstream);
    if (deaths == entry->second.end()) {
      continue;
    }
    for (const TimePoint death : deaths->second) {
      if (Explained(upstream, death)) {
        withdrawn.push_back({entry->first, upstream, now - death, true});
      }
    }
    std::erase_if(deaths->second, [&](TimePoint death) { return Explained(upstream, death); });
    if (deaths->second.empty()) {
      entry->second.erase(deaths);
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
  if (found == marks_.end() || CountMarks(found->second, now).count >= 2) {
    return withdrawn;
  }
  for (const auto& [upstream, deaths] : found->second) {
    for (const TimePoint death : deaths) {
      withdrawn.push_back({digest, upstream, now - death, true});
    }
  }
  marks_.erase(found);
  return withdrawn;
}

CrashDecision CrashTracker::Decide(const Sha256Digest& digest, TimePoint now) const {
  const auto found = marks_.find(digest);
  const Marks marks = found == marks_.end() ? Marks{} : CountMarks(found->second, now);
  if (marks.count < 2) {
    return marks.count == 0 ? CrashDecision::kRun : CrashDecision::kRunAlone;
  }
  return marks.settled < 2 ? CrashDecision::kWait : CrashDecision::kRefuse;
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
  return Isolation{best->upstream, now + options_.settle};
}

void CrashTracker::RenewIsolation(const UpstreamId& upstream, TimePoint now) {
  if (const auto found = isolated_.find(upstream); found != isolated_.end()) {
    found->second.until = now + options_.isolation_lifetime;
  }
}

bool CrashTracker::OnIsolation(const IsolationNotice& notice, const DaemonId& self, TimePoint now) {
  const auto found = isolated_.find(notice.upstream);
  const bool held = found != isolated_.end() && now < found->second.until;
  if (!notice.held) {
    if (held && found->second.daemon == notice.daemon) {
      isolated_.erase(found);
    }
    return false;
  }
  const bool lost = held && found->second.daemon == self && notice.daemon < self;
  if (!held || notice.daemon <= found->second.daemon) {
    isolated_[notice.upstream] = {notice.daemon, now + options_.isolation_lifetime};
  }
  return lost;
}

bool CrashTracker::IsIsolated(const UpstreamId& upstream, TimePoint now) const {
  const auto found = isolated_.find(upstream);
  return found != isolated_.end() && now < found->second.until;
}

bool CrashTracker::Explained(const UpstreamId& upstream, TimePoint death) const {
  const auto found = explained_.find(upstream);
  return found != explained_.end() && found->second.from <= death && death <= found->second.until;
}

bool CrashTracker::AddMark(const Sha256Digest& digest, const UpstreamId& upstream, TimePoint death,
                           TimePoint now) {
  if (Explained(upstream, death) || death + options_.mark_lifetime <= now) {
    return false;
  }
  Expire(now);
  if (!marks_.contains(digest) && marks_.size() >= options_.max_digests) {
    MakeRoom();
  }
  std::vector<TimePoint>& deaths = marks_[digest][upstream];
  const bool known = std::any_of(deaths.begin(), deaths.end(), [&](TimePoint other) {
    return other <= death + options_.same_death && death <= other + options_.same_death;
  });
  // Two deaths are enough for a refusal, so a third of the same upstream needs no memory.
  if (!known && deaths.size() < 2) {
    deaths.push_back(death);
  }
  return true;
}

CrashTracker::Marks CrashTracker::CountMarks(const Deaths& deaths, TimePoint now) const {
  Marks marks;
  for (const auto& [upstream, instants] : deaths) {
    for (const TimePoint death : instants) {
      if (now < death + options_.mark_lifetime && !Explained(upstream, death)) {
        ++marks.count;
        marks.settled += death + options_.vm_list_lag <= now ? 1 : 0;
      }
    }
  }
  return marks;
}

void CrashTracker::Expire(TimePoint now) {
  for (auto& [digest, deaths] : marks_) {
    for (auto& [upstream, instants] : deaths) {
      std::erase_if(instants,
                    [&](TimePoint death) { return death + options_.mark_lifetime <= now; });
    }
    std::erase_if(deaths, [](const auto& entry) { return entry.second.empty(); });
  }
  std::erase_if(marks_, [](const auto& entry) { return entry.second.empty(); });
  std::erase_if(explained_, [&](const auto& entry) {
    return entry.second.until + options_.mark_lifetime <= now;
  });
}

void CrashTracker::MakeRoom() {
  // A body that is to be refused stays longest, because forgetting it costs two more upstreams.
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
