#include "gateway/report_exchange.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "core/prefix_hash.h"
#include "gateway/crash_detector.h"
#include "logging/logger.h"

namespace savoryglade::gateway {
namespace {

// Windows before the current one whose counts are sent; these can still change or be reported.
constexpr capacity::WindowNumber kReportedPastWindows = 2;
constexpr std::size_t kMaxReportedCrashes = 48;
constexpr std::size_t kMaxReportedRateLimits = 256;
constexpr std::size_t kMaxReportedNotices = 256;
// Streams in one report, at 8 bytes each.
constexpr std::size_t kMaxReportedStreams = 512;
// Paces of engines in one report, at 16 bytes each; all take turns.
constexpr std::size_t kMaxReportedPaces = 3;

const Logger kLog("peers");

template <typename Id>
std::uint64_t HashOf(const Id& id) {
  return Fnv1aHash(id.value());
}

// Returns the accounts of the routes by the hashes of their names.
std::map<std::uint64_t, AccountId> AccountsByHash(const FleetState& fleet) {
  std::map<std::uint64_t, AccountId> accounts;
  if (fleet.routes != nullptr) {
    for (const AccountPolicy& account : fleet.routes->document().accounts) {
      accounts.emplace(HashOf(account.name), account.name);
    }
  }
  return accounts;
}

// Returns the services of the routes by the hashes of their names.
std::map<std::uint64_t, ServiceId> ServicesByHash(const FleetState& fleet) {
  std::map<std::uint64_t, ServiceId> services;
  if (fleet.routes != nullptr) {
    for (const RoutedService& service : fleet.routes->document().services) {
      services.emplace(HashOf(service.name), service.name);
    }
  }
  return services;
}

ReportSource SourceOf(const FleetReport& report) {
  switch (report.scope) {
    case ReportScope::kDaemon:
      return ReportSource::Daemon(report.sender.id);
    case ReportScope::kDomain:
      return ReportSource::Domain(report.sender.failure_domain);
    case ReportScope::kBeyond:
      break;
  }
  return ReportSource::Beyond();
}

}  // namespace

void ReportExchange::AddAllowanceUsage(bool full, TimePoint now, LastReported& last_reported,
                                       FleetReport& report) const {
  for (const auto& [account, use] : fleet_.rate_limiter.UsageOf(report.scope, now)) {
    AllowanceUsage& last = last_reported.allowance_usage[account];
    if (full || last.asked != use.asked || last.taken != use.taken) {
      report.allowances.emplace(HashOf(account), use);
      last = use;
    }
  }
}

void ReportExchange::AddUsageCounts(bool full, TimePoint now, LastReported& last_reported,
                                    FleetReport& report) const {
  if (fleet_.settings.bounds.usage_window == Duration::zero()) {
    return;
  }
  const capacity::WindowNumber current = fleet_.WindowAt(now);
  const capacity::WindowNumber first = current - kReportedPastWindows;
  last_reported.begun.erase(last_reported.begun.begin(), last_reported.begun.lower_bound(first));
  for (capacity::WindowNumber window = first; window <= current; ++window) {
    capacity::WindowCounts& last = last_reported.begun[window];
    for (const auto& [account, count] : fleet_.usage.CountsOf(report.scope, window)) {
      if (full || last[account] != count) {
        report.begun.push_back({.window = window, .account = HashOf(account), .count = count});
        last[account] = count;
      }
    }
  }
}

FleetReport ReportExchange::BuildReport(ReportScope scope, bool full, TimePoint now) {
  FleetReport report{
      .sender = fleet_.Self(),
      .incarnation = fleet_.incarnation,
      .scope = scope,
      .daemons = fleet_.rate_limiter.ReportingDaemonsOf(scope, now),
      .time_of_day = fleet_.clock.OwnTime(now),
      .leaving = fleet_.drain.has_begun(),
      .highest_fencing = fleet_.highest_fencing,
      .store_era = fleet_.store_era.number,
      .store_era_age = now - fleet_.store_era.seen_since,
      .requests_port = fleet_.requests_port,
      .loads = fleet_.load_balancer.AggregateLoad(scope, now),
      .crash_records_known = fleet_.crash_records_known,
      .crashes = fleet_.crash_registry.SelectForReport(kMaxReportedCrashes, now),
      .path_crashes = fleet_.path_crash_registry.SelectForReport(kMaxReportedCrashes, now),
      .part_crashes = fleet_.part_crash_registry.SelectForReport(kMaxReportedCrashes, now),
      .rate_limits =
          fleet_.load_balancer.signals().rate_limits().SelectForReport(kMaxReportedRateLimits, now),
      .notices = fleet_.load_balancer.SelectNoticesForReport(kMaxReportedNotices, now),
      .rejections = fleet_.load_balancer.signals().SelectRejectionsForReport(now)};
  if (fleet_.holds_duties) {
    report.holder_age = Duration::zero();
    report.holder_announcement = {.incarnation = fleet_.incarnation, .time = report.time_of_day};
  } else if (fleet_.holder_last_reported != TimePoint{}) {
    report.holder_age = now - fleet_.holder_last_reported;
    report.holder_announcement = fleet_.holder_announcement;
  }
  if (fleet_.routes != nullptr) {
    report.routes_version = fleet_.routes->version();
    report.routes_age =
        fleet_.routes_read_at == TimePoint{} ? Duration::max() : now - fleet_.routes_read_at;
  }
  if (scope == ReportScope::kDaemon) {
    report.streams = fleet_.stream_versions.SelectForReport(kMaxReportedStreams, now);
    report.paces = fleet_.load_balancer.speeds().SelectForReport(kMaxReportedPaces);
  }
  report.rollouts = fleet_.rollouts.ReportOf(scope, now);
  if (fleet_.rollout_orders_read_at) {
    report.rollout_orders_age = now - *fleet_.rollout_orders_read_at;
  }
  AddAllowanceUsage(full, now, last_reported_[scope], report);
  AddUsageCounts(full, now, last_reported_[scope], report);
  if (full) {
    for (const auto& [service, seconds] : fleet_.work.WorkOf(scope)) {
      report.work.emplace(HashOf(service), seconds);
    }
  }
  return report;
}

void ReportExchange::Apply(const FleetReport& report, TimePoint now) {
  if (report.sender.id == fleet_.settings.daemon) {
    return;
  }
  const ReportSource source = SourceOf(report);
  fleet_.load_balancer.OnReport(source, report.loads, now);
  if (report.scope == ReportScope::kDaemon) {
    fleet_.load_balancer.speeds().OnReport(source, report.paces, now);
  }
  if (report.holder_age) {
    const TimePoint announced_at = now - *report.holder_age;
    const HolderAnnouncement& known = fleet_.holder_announcement;
    const HolderAnnouncement& reported = report.holder_announcement;
    if (announced_at > fleet_.holder_last_reported &&
        (reported.incarnation != known.incarnation || reported.time > known.time)) {
      fleet_.holder_last_reported = announced_at;
      fleet_.holder_announcement = reported;
    }
  }
  fleet_.highest_fencing = std::max(fleet_.highest_fencing, report.highest_fencing);
  if (report.store_era > 0) {
    fleet_.OnStoreEra({.number = report.store_era, .seen_since = now - report.store_era_age});
  }
  fleet_.clock.OnPeerTime(report.sender.id, report.time_of_day, now);
  fleet_.route_sources.OnReport(report.sender.id, report.routes_version, now);
  if (fleet_.routes != nullptr && report.routes_version == fleet_.routes->version()) {
    fleet_.routes_confirmed_at = std::max(fleet_.routes_confirmed_at, now - report.routes_age);
  }
  const auto accounts = AccountsByHash(fleet_);
  AllowanceReport allowance_report{.source = source,
                                   .incarnation = report.incarnation,
                                   .daemons = report.daemons,
                                   .leaving = report.leaving};
  for (const auto& [key, totals] : report.allowances) {
    if (const auto found = accounts.find(key); found != accounts.end()) {
      allowance_report.use.emplace(found->second, totals);
    }
  }
  fleet_.rate_limiter.OnReport(allowance_report, now);
  std::map<capacity::WindowNumber, capacity::WindowCounts> begun;
  for (const BegunCount& item : report.begun) {
    if (const auto found = accounts.find(item.account); found != accounts.end()) {
      begun[item.window][found->second] = item.count;
    }
  }
  for (const auto& [window, counts] : begun) {
    fleet_.usage.OnReport(source, report.incarnation, window, counts);
  }
  if (!report.work.empty()) {
    const auto services = ServicesByHash(fleet_);
    std::map<ServiceId, double> work;
    for (const auto& [key, seconds] : report.work) {
      if (const auto found = services.find(key); found != services.end()) {
        work.emplace(found->second, seconds);
      }
    }
    fleet_.work.OnReport(source, report.incarnation, work);
  }
  MergeCrashRecords(report.crashes, report.sender.id, fleet_.crash_registry, now);
  MergeCrashRecords(report.path_crashes, report.sender.id, fleet_.path_crash_registry, now);
  MergeCrashRecords(report.part_crashes, report.sender.id, fleet_.part_crash_registry, now);
  for (const ReportedRateLimit& limit : report.rate_limits) {
    if (fleet_.load_balancer.signals().rate_limits().OnReport(limit, now)) {
      kLog.Info("A peer reported the rate limit of an upstream, or its end.",
                {{"process", fmt::format("{:016x}", limit.upstream)},
                 {"daemon", report.sender.id.value()},
                 {"rate_per_s", limit.rate.value_or(0)},
                 {"age_ms", limit.age / 1ms}});
    }
  }
  fleet_.crash_records_known |= report.crash_records_known;
  fleet_.stream_versions.OnPeerRecords(report.streams, now);
  fleet_.rollouts.OnReport(source, report.incarnation, report.rollouts, now);
  if (report.rollout_orders_age) {
    fleet_.rollouts.OnOrdersRead(now - *report.rollout_orders_age);
  }
}

void ReportExchange::MergeCrashRecords(const std::vector<CrashRecord>& records,
                                       const DaemonId& sender, CrashRegistry& registry,
                                       TimePoint now) {
  for (const CrashRecord& record : records) {
    if (registry.OnPeerRecord(record, now)) {
      fleet_.metrics.GetCounter(kCrashRecordsMetric, {{"event", "received"}}).Add();
      kLog.Info("Merged the crash record of a peer.",
                {{"fingerprint", fmt::format("{:016x}", record.request)},
                 {"daemon", sender.value()},
                 {"losses", registry.LossCount(record.request)},
                 {"refused", registry.IsRefused(record.request, now)}});
    }
  }
}

void ReportExchange::DropScope(ReportScope scope) {
  fleet_.load_balancer.DiscardReports(scope);
  fleet_.rate_limiter.RemoveSources(scope);
}

void ReportExchange::RemoveDaemon(const DaemonId& daemon) {
  fleet_.rate_limiter.RemoveSource(ReportSource::Daemon(daemon));
}

void ReportExchange::DropDaemonReports(const DaemonId& daemon) {
  RemoveDaemon(daemon);
  fleet_.usage.DiscardReports(ReportSource::Daemon(daemon));
  fleet_.rollouts.DiscardReports(ReportSource::Daemon(daemon));
}

}  // namespace savoryglade::gateway
