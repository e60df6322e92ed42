#include "routing/upstream_signals.h"

#include <algorithm>

namespace savoryglade {
namespace {

// Processes whose waits or notices are kept.
constexpr std::size_t kMaxProcesses = 8192;
// Time after a rejection in which peers know of it, so that the next one tells them nothing new.
constexpr Duration kMinPublishInterval = 250ms;

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
  } else if (signal.rejects && signal.rejection_limit) {
    changes.wait = OnWait(upstream, kBrittlePause, now);
    const std::optional<TimePoint> last = LastRejection(upstream);
    changes.rejection = !last || now - *last > kMinPublishInterval;
    OnReportedRejection({.upstream = upstream, .age = Duration::zero()}, now);
  } else if (const auto found = waits_.find(upstream);
             found != waits_.end() && sent_at >= found->second.end) {
    if (signal.rejects) {
      found->second.probe_sent_at.reset();
    } else {
      waits_.erase(found);
    }
  }
  changes.rejection_limit = OnRejectionLimit(upstream, signal, sent_at, now);
  // An upstream that rejects a request may do so without a word on its limit.
  if (signal.rate_limit || signal.is_complete) {
    changes.rate_limit = rate_limits_.OnAnswer(upstream, signal.rate_limit, sent_at, now);
  }
  return changes;
}

bool UpstreamSignals::OnRejectionLimit(std::uint64_t upstream, const UpstreamSignal& signal,
                                       TimePoint sent_at, TimePoint now) {
  const auto found = rejection_limits_.find(upstream);
  if (signal.rejection_limit) {
    if (rejection_limits_.size() >= kMaxProcesses) {
      std::erase_if(rejection_limits_,
                    [now](const auto& limit) { return now - limit.second.seen_at > 60s; });
    }
    const bool changed =
        found == rejection_limits_.end() || found->second.per_s != *signal.rejection_limit;
    rejection_limits_[upstream] = {.per_s = *signal.rejection_limit, .seen_at = now};
    return changed;
  }
  if (!signal.is_complete || found == rejection_limits_.end() || sent_at <= found->second.seen_at) {
    return false;
  }
  rejection_limits_.erase(found);
  return true;
}

std::optional<TimePoint> UpstreamSignals::LastRejection(std::uint64_t upstream) const {
  const auto found = rejected_at_.find(upstream);
  return found == rejected_at_.end() ? std::nullopt : std::optional(found->second);
}

void UpstreamSignals::OnReportedRejection(const ReportedNotice& reported, TimePoint now) {
  if (rejected_at_.size() >= kMaxProcesses) {
    std::erase_if(rejected_at_,
                  [now](const auto& entry) { return now - entry.second > kRejectionLifetime; });
  }
  TimePoint& rejected_at = rejected_at_[reported.upstream];
  rejected_at = std::max(rejected_at, now - reported.age);
}

std::vector<ReportedNotice> UpstreamSignals::SelectRejectionsForReport(TimePoint now) const {
  std::vector<ReportedNotice> rejections;
  for (const auto& [upstream, rejected_at] : rejected_at_) {
    if (now - rejected_at <= kRejectionLifetime) {
      rejections.push_back({.upstream = upstream, .age = now - rejected_at});
    }
  }
  return rejections;
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
