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

void CrashDetector::Identify(Call& call) { call.fingerprint = Fingerprint(call); }

Duration CrashDetector::RemainingRefusal(Call& call, TimePoint now) const {
  const Duration remaining = fleet_.crash_registry.RemainingRefusal(call.fingerprint, now);
  if (remaining > Duration::zero()) {
    call.rejection_detail = fmt::format("fingerprint {}, {} losses", ToHex(call.fingerprint),
                                        fleet_.crash_registry.LossCount(call.fingerprint));
  }
  return remaining;
}

void CrashDetector::OnAttemptLost(const Call& call, const Attempt& attempt, TimePoint now) {
  if (attempt.response_rejected) {
    return;
  }
  fleet_.crash_registry.OnLoss(call.fingerprint, ProcessKey(attempt.placement.upstream), now);
  fleet_.metrics.GetCounter(kCrashRecordsMetric, {{"event", "recorded"}}).Add();
  kLog.Info("Recorded that an upstream was lost while it ran a request.",
            {{"request", call.metadata.attempt_id},
             {"fingerprint", ToHex(call.fingerprint)},
             {"upstream", attempt.placement.upstream.id.value()},
             {"started_ms", attempt.placement.upstream.started_ms},
             {"losses", fleet_.crash_registry.LossCount(call.fingerprint)},
             {"refused", fleet_.crash_registry.IsRefused(call.fingerprint, now)}});
  on_change_();
}

void CrashDetector::OnAnswer(const Call& call, unsigned status, TimePoint now) {
  // A worker that fails a request may not have begun to run it.
  if (status >= kFirstServerErrorStatus || !fleet_.crash_registry.OnAnswer(call.fingerprint, now)) {
    return;
  }
  fleet_.metrics.GetCounter(kCrashRecordsMetric, {{"event", "cleared"}}).Add();
  kLog.Info("An answer showed that a request does not crash upstreams.",
            {{"request", call.metadata.attempt_id}, {"fingerprint", ToHex(call.fingerprint)}});
  on_change_();
}

}  // namespace savoryglade::gateway
