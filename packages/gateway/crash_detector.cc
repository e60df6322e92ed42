#include "gateway/crash_detector.h"

#include <fmt/format.h>

#include <string>
#include <string_view>

#include "core/prefix_hash.h"
#include "logging/logger.h"

namespace savoryglade::gateway {
namespace {

constexpr unsigned kFirstServerErrorStatus = 500;

const Logger kLog("gateway");

// Returns a hash of account, method, target and body.
std::uint64_t Fingerprint(const Call& call) {
  const HttpRequest& request = call.exchange.request();
  // A separator that occurs in none of the parts before the body.
  constexpr std::string_view kSeparator("\0", 1);
  std::uint64_t hash = Fnv1aHash(call.account_id().value());
  hash = Fnv1aHash(kSeparator, hash);
  hash = Fnv1aHash(std::string(request.method_string()), hash);
  hash = Fnv1aHash(kSeparator, hash);
  hash = Fnv1aHash(call.exchange.target(), hash);
  hash = Fnv1aHash(kSeparator, hash);
  return Fnv1aHash(request.body(), hash);
}

// Returns a hash of the upstream's process: its name and start time.
std::uint64_t ProcessKey(const UpstreamRecord& upstream) {
  return Fnv1aHash(upstream.id.value()) + static_cast<std::uint64_t>(upstream.started_ms);
}

std::string ToHex(std::uint64_t fingerprint) { return fmt::format("{:016x}", fingerprint); }

}  // namespace

bool CrashDetector::IsRefused(Call& call, TimePoint now) {
  call.fingerprint = Fingerprint(call);
  if (!fleet_.crash_registry.IsRefused(call.fingerprint, now)) {
    return false;
  }
  call.rejection_detail = fmt::format("fingerprint {}, {} upstreams", ToHex(call.fingerprint),
                                      fleet_.crash_registry.UpstreamCount(call.fingerprint));
  return true;
}

void CrashDetector::OnAttemptLost(const Call& call, const Attempt& attempt, TimePoint now) {
  if (attempt.response_rejected) {
    return;
  }
  fleet_.crash_registry.OnCrash(call.fingerprint, ProcessKey(attempt.placement.upstream), now);
  fleet_.metrics.GetCounter(kCrashRecordsMetric, {{"event", "recorded"}}).Add();
  kLog.Info("Recorded that an upstream was lost while it ran a request.",
            {{"request", call.metadata.attempt_id},
             {"fingerprint", ToHex(call.fingerprint)},
             {"upstream", attempt.placement.upstream.id.value()},
             {"started_ms", attempt.placement.upstream.started_ms},
             {"upstreams", fleet_.crash_registry.UpstreamCount(call.fingerprint)},
             {"refused", fleet_.crash_registry.IsRefused(call.fingerprint, now)}});
}

void CrashDetector::OnAnswer(const Call& call, unsigned status) {
  // A worker that fails a request may not have begun to run it.
  if (status >= kFirstServerErrorStatus || !fleet_.crash_registry.OnCompleted(call.fingerprint)) {
    return;
  }
  fleet_.metrics.GetCounter(kCrashRecordsMetric, {{"event", "cleared"}}).Add();
  kLog.Info("An answer cleared the crash record of a request.",
            {{"request", call.metadata.attempt_id}, {"fingerprint", ToHex(call.fingerprint)}});
}

}  // namespace savoryglade::gateway
