#pragma once

#include <mutex>
#include <vector>

#include "core/strong_id.h"
#include "core/time.h"
#include "metrics/registry.h"
#include "recovery/crash_registry.h"
#include "recovery/request_fingerprint.h"

namespace savoryglade {

// Records which requests lose the upstreams that run them and refuses them, by the crash registries
// of the recovery package. Safe to use from all workers.
class CrashGuard {
 public:
  CrashGuard(const DaemonId& daemon, MetricRegistry& metrics);

  // Returns the time for which the request is still refused, or zero if it is not refused.
  Duration RemainingRefusal(const RequestFingerprint& fingerprint, TimePoint now) const;
  // Records that the request is sent to an upstream.
  void OnSent(const RequestFingerprint& fingerprint, TimePoint now);
  // Records that the upstream was lost while it ran the request.
  void OnLoss(const RequestFingerprint& fingerprint, const UpstreamId& upstream, TimePoint now);
  // Records that an upstream has answered the request.
  void OnAnswer(const RequestFingerprint& fingerprint, TimePoint now);

  // Returns the records of the subject for the next report to peers.
  std::vector<CrashRecord> SelectForReport(CrashSubject subject, TimePoint now);
  void OnPeerRecord(CrashSubject subject, const CrashRecord& record, TimePoint now);

 private:
  // Both may only be called while the mutex is locked.
  CrashRegistry& RegistryOf(CrashSubject subject) {
    return subject == CrashSubject::kPath ? paths_ : requests_;
  }
  const CrashRegistry& RegistryOf(CrashSubject subject) const {
    return subject == CrashSubject::kPath ? paths_ : requests_;
  }

  // Counts requests and paths that this daemon began to refuse.
  Counter& refusals_;
  mutable std::mutex mutex_;
  CrashRegistry requests_;
  CrashRegistry paths_;
};

}  // namespace savoryglade
