#include "routing/upstream_signals.h"

#include <algorithm>

namespace savoryglade {
namespace {

// Processes whose waits or notices are kept.
constexpr std::size_t kMaxProcesses = 8192;

}  // namespace

bool UpstreamSignals::OnNotice(std::uint64_t upstream, TimePoint learned_at, TimePoint now) {
  if (notices_.size() >= kMaxProcesses) {
    std::erase_if(notices_,
                  [now](const auto& notice) { return now - notice.second > kNoticeLifetime; });
  }
  return notices_.try_emplace(upstream, learned_at).second;
}

bool UpstreamSignals::OnWait(std::uint64_t upstream, Duration wait, TimePoint now) {
  if (waits_.size() >= kMaxProcesses) {
    std::erase_if(waits_, [now](const auto& entry) { return entry.second.end <= now; });
  }
  Wait& known = waits_[upstream];
  const TimePoint end = now + std::min(wait, kMaxWait);
  known.probe_sent_at.reset();
  if (end <= known.end) {
    return false;
  }
  known.end = end;
  return true;
}

UpstreamSignalChanges UpstreamSignals::OnAnswer(std::uint64_t upstream,
                                                const UpstreamSignal& signal, TimePoint sent_at,
                                                TimePoint now) {
  UpstreamSignalChanges changes;
  if (signal.leaving) {
    changes.leaving = OnNotice(upstream, now, now);
  }
  if (signal.wait) {
    changes.wait = OnWait(upstream, *signal.wait, now);
  } else if (const auto found = waits_.find(upstream);
             found != waits_.end() && sent_at >= found->second.end) {
    if (signal.rejects) {
      found->second.probe_sent_at.reset();
    } else {
      waits_.erase(found);
    }
  }
  // An upstream that rejects a request may do so without a word on its limit.
  if (signal.rate_limit || signal.is_complete) {
    changes.rate_limit = rate_limits_.OnAnswer(upstream, signal.rate_limit, sent_at, now);
  }
  return changes;
}

bool UpstreamSignals::OnReport(const ReportedNotice& reported, TimePoint now) {
  return reported.age <= kNoticeLifetime && OnNotice(reported.upstream, now - reported.age, now);
}

std::vector<ReportedNotice> UpstreamSignals::Notices(TimePoint now) const {
  std::vector<ReportedNotice> notices;
  notices.reserve(notices_.size());
  for (const auto& [upstream, learned_at] : notices_) {
    notices.push_back({.upstream = upstream, .age = now - learned_at});
  }
  return notices;
}

std::optional<TimePoint> UpstreamSignals::WaitEnd(std::uint64_t upstream, TimePoint now) const {
  const auto found = waits_.find(upstream);
  return found != waits_.end() && now < found->second.end ? std::optional(found->second.end)
                                                          : std::nullopt;
}

bool UpstreamSignals::IsWaiting(std::uint64_t upstream, TimePoint now) const {
  const auto found = waits_.find(upstream);
  if (found == waits_.end()) {
    return false;
  }
  const Wait& wait = found->second;
  return now < wait.end || (wait.probe_sent_at && now - *wait.probe_sent_at < kProbeTimeout);
}

bool UpstreamSignals::MaySend(std::uint64_t upstream, const FailureDomainId& domain,
                              TimePoint now) const {
  return !IsLeaving(upstream) && !IsWaiting(upstream, now) &&
         rate_limits_.MaySend(upstream, domain, now);
}

void UpstreamSignals::OnSent(std::uint64_t upstream, TimePoint now) {
  rate_limits_.OnSent(upstream, now);
  if (const auto found = waits_.find(upstream); found != waits_.end()) {
    found->second.probe_sent_at = now;
  }
}

}  // namespace savoryglade
