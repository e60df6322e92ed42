#include <algorithm>
#include <cstddef>

#include "routing/fleet_load_balancer.h"
#include "routing/newest_reports.h"

// What the load balancer learns from other daemons and from the upstreams themselves.

namespace savoryglade {
namespace {

// Time after a rejection by a brittle upstream in which the daemons share the slots of its service.
constexpr Duration kRejectionCautionTime = 5s;
// Time after the last word of a brittle upstream in which the others of its service count as
// brittle too.
constexpr Duration kBrittleServiceTime = 5s;

}  // namespace

void FleetLoadBalancer::AddReport(const Report& report, int sign) {
  for (const ReportedLoad& reported_load : report.loads) {
    const auto found = by_key_.find(reported_load.upstream);
    if (found != by_key_.end()) {
      found->second->reported.Add(reported_load.load, sign);
    }
  }
}

void FleetLoadBalancer::ExpireReports(TimePoint now) {
  std::erase_if(reports_, [&](const auto& entry) {
    if (now - entry.second.received <= options_.report_lifetime) {
      return false;
    }
    AddReport(entry.second, -1);
    return true;
  });
}

void FleetLoadBalancer::OnReport(const ReportSource& source, std::vector<ReportedLoad> loads,
                                 TimePoint now) {
  Report& report = reports_[source];
  AddReport(report, -1);
  report = {.received = now, .loads = std::move(loads)};
  AddReport(report, 1);
}

void FleetLoadBalancer::DiscardReports(ReportScope scope) {
  std::erase_if(reports_, [&](const auto& entry) {
    if (entry.first.scope != scope) {
      return false;
    }
    AddReport(entry.second, -1);
    return true;
  });
}

std::vector<ReportedLoad> FleetLoadBalancer::AggregateLoad(ReportScope scope, TimePoint now) {
  ExpireReports(now);
  std::map<std::uint64_t, UpstreamLoad> sums;
  if (scope != ReportScope::kBeyond) {
    for (const auto& [id, entry] : entries_) {
      UpstreamLoad load = entry.own;
      load.suspect = (now < entry.paused_until && !entry.path_lost) || IsSilent(entry, now);
      if (load != UpstreamLoad{}) {
        sums.emplace(entry.key, load);
      }
    }
  }
  if (scope != ReportScope::kDaemon) {
    for (const auto& [source, report] : reports_) {
      if (source.scope != ComponentScope(scope)) {
        continue;
      }
      for (const ReportedLoad& reported_load : report.loads) {
        UpstreamLoad& sum = sums[reported_load.upstream];
        sum.running += reported_load.load.running;
        sum.waiting_tokens += reported_load.load.waiting_tokens;
        sum.suspect = sum.suspect || reported_load.load.suspect;
      }
    }
  }
  std::vector<ReportedLoad> loads;
  loads.reserve(sums.size());
  for (const auto& [upstream, load] : sums) {
    loads.push_back({.upstream = upstream, .load = load});
  }
  return loads;
}

UpstreamSignalChanges FleetLoadBalancer::OnSignal(const UpstreamRecord& upstream,
                                                  const UpstreamSignal& signal, TimePoint sent_at,
                                                  TimePoint now) {
  const std::uint64_t process = ProcessKeyOf(upstream);
  const auto found = entries_.find(upstream.id);
  if (signal.load && found != entries_.end() && found->second.process == process) {
    Entry& entry = found->second;
    entry.reported_running = signal.load->running + signal.load->waiting;
    entry.reported_at = now;
    constexpr double kMinSlowness = 0.5;
    constexpr double kMaxSlowness = 10;
    entry.slowness = std::clamp(signal.load->slowness, kMinSlowness, kMaxSlowness);
  }
  if (signal.rejection_limit) {
    OnBrittle(upstream.service, now);
  }
  const UpstreamSignalChanges changes = signals_.OnAnswer(process, signal, sent_at, now);
  OnLastRejection(process);
  if (const auto entry = by_process_.find(process); entry != by_process_.end()) {
    entry->second->record.leaving |= changes.leaving;
  }
  return changes;
}

void FleetLoadBalancer::OnReportedRejection(const ReportedNotice& reported, TimePoint now) {
  signals_.OnReportedRejection(reported, now);
  OnLastRejection(reported.upstream);
}

void FleetLoadBalancer::OnBrittle(const ServiceId& service, TimePoint at) {
  TimePoint& brittle_until = brittle_until_[service];
  brittle_until = std::max(brittle_until, at + kBrittleServiceTime);
}

void FleetLoadBalancer::OnLastRejection(std::uint64_t process) {
  const std::optional<TimePoint> rejection = signals_.LastRejection(process);
  const auto found = by_process_.find(process);
  if (rejection && found != by_process_.end()) {
    const ServiceId& service = found->second->record.service;
    OnBrittle(service, *rejection);
    ShareSlotsUntil(service, *rejection + kRejectionCautionTime);
  }
}

std::optional<UpstreamId> FleetLoadBalancer::OnReportedNotice(const ReportedNotice& reported,
                                                              TimePoint now) {
  if (!signals_.OnReport(reported, now)) {
    return std::nullopt;
  }
  const auto found = by_process_.find(reported.upstream);
  if (found == by_process_.end()) {
    return std::nullopt;
  }
  found->second->record.leaving = true;
  return found->second->record.id;
}

std::vector<ReportedNotice> FleetLoadBalancer::SelectNoticesForReport(std::size_t limit,
                                                                      TimePoint now) const {
  std::vector<ReportedNotice> selected = signals_.Notices(now);
  std::erase_if(selected, [this](const ReportedNotice& notice) {
    const auto found = by_process_.find(notice.upstream);
    return found == by_process_.end() || found->second->registered_as_leaving;
  });
  KeepNewest(selected, limit);
  return selected;
}

}  // namespace savoryglade
