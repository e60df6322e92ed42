#include "daemon/crash_guard.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

#include "core/prefix_hash.h"
#include "logging/logger.h"

namespace savoryglade {
namespace {

constexpr std::size_t kMaxReportedRecords = 48;
// Losses of one upstream within this time are those of one process.
constexpr auto kSameProcessTime = std::chrono::seconds(5);

const Logger kLog("crashes");

// Returns a key of an upstream process. The configuration names no start time, so the time of the
// loss distinguishes the processes; it is the time of day, which all daemons share.
std::uint64_t ProcessKey(const UpstreamId& upstream) {
  const auto slice = std::chrono::system_clock::now().time_since_epoch() / kSameProcessTime;
  return Fnv1aHash(fmt::format("{}/{}", upstream.value(), slice));
}

}  // namespace

CrashGuard::CrashGuard(const DaemonId& daemon, MetricRegistry& metrics)
    : refusals_(metrics.GetCounter("savoryglade_crash_refusals_total")),
      requests_(kRequestCrashPolicy, Fnv1aHash(daemon.value())),
      paths_(kPathCrashPolicy, Fnv1aHash(daemon.value())) {}

Duration CrashGuard::RemainingRefusal(const RequestFingerprint& fingerprint, TimePoint now) const {
  const std::lock_guard lock(mutex_);
  Duration remaining = Duration::zero();
  for (const CrashKey& key : fingerprint.LossKeys()) {
    remaining = std::max(remaining, RegistryOf(key.subject).RemainingRefusal(key.hash, now));
  }
  return remaining;
}

void CrashGuard::OnSent(const RequestFingerprint& fingerprint, TimePoint now) {
  const std::lock_guard lock(mutex_);
  for (const CrashKey& key : fingerprint.LossKeys()) {
    RegistryOf(key.subject).OnSent(key.hash, now);
  }
}

void CrashGuard::OnLoss(const RequestFingerprint& fingerprint, const UpstreamId& upstream,
                        TimePoint now) {
  const std::lock_guard lock(mutex_);
  for (const CrashKey& key : fingerprint.LossKeys()) {
    CrashRegistry& registry = RegistryOf(key.subject);
    const bool was_refused = registry.IsRefused(key.hash, now);
    registry.OnLoss(key.hash, ProcessKey(upstream), now);
    const bool refused = registry.IsRefused(key.hash, now);
    refusals_.Add(refused && !was_refused ? 1 : 0);
    kLog.Info("Recorded that an upstream was lost while it ran a request.",
              {{"fingerprint", fmt::format("{:016x}", key.hash)},
               {"upstream", upstream.value()},
               {"losses", registry.LossCount(key.hash)},
               {"refused", refused}});
  }
}

void CrashGuard::OnAnswer(const RequestFingerprint& fingerprint, TimePoint now) {
  const std::lock_guard lock(mutex_);
  requests_.OnAnswer(fingerprint.request, now);
  paths_.OnAnswer(fingerprint.path, now);
}

std::vector<CrashRecord> CrashGuard::SelectForReport(CrashSubject subject, TimePoint now) {
  const std::lock_guard lock(mutex_);
  return RegistryOf(subject).SelectForReport(kMaxReportedRecords, now);
}

void CrashGuard::OnPeerRecord(CrashSubject subject, const CrashRecord& record, TimePoint now) {
  const std::lock_guard lock(mutex_);
  CrashRegistry& registry = RegistryOf(subject);
  const bool was_refused = registry.IsRefused(record.request, now);
  if (!registry.OnPeerRecord(record, now)) {
    return;
  }
  const bool refused = registry.IsRefused(record.request, now);
  refusals_.Add(refused && !was_refused ? 1 : 0);
  kLog.Info("Merged the crash record of a peer.",
            {{"fingerprint", fmt::format("{:016x}", record.request)},
             {"losses", registry.LossCount(record.request)},
             {"refused", refused}});
}

}  // namespace savoryglade
