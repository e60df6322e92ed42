#include "gateway/crash_detector.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include "core/prefix_hash.h"
#include "logging/logger.h"

namespace savoryglade::gateway {
namespace {

constexpr unsigned kFirstServerErrorStatus = 500;
// Losses after which a request with a prompt part is sent to one upstream only.
constexpr std::size_t kLossesBeforeSuspicion = 2;
// Time without an answer after which the losses of a service say nothing about prompts.
constexpr Duration kServiceFailureTime = 10s;

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

std::string_view PathOf(const Call& call) {
  const std::string_view target = call.exchange.target();
  return target.substr(0, target.find('?'));
}

// Returns a hash of the query, which itself may hold secrets, or "-" if there is none.
std::string QueryHash(const Call& call) {
  const std::string_view query = call.exchange.target().substr(PathOf(call).size());
  return query.empty() ? std::string("-") : ToHex(Fnv1aHash(query));
}

}  // namespace

void CrashDetector::Identify(Call& call) {
  call.fingerprint = Fingerprint(call);
  const std::vector<PromptPart>& parts = call.metadata.work.parts;
  // The last part belongs to the request itself.
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
    call.shared_parts.push_back(
        Fnv1aHash(ToHex(parts[i].id), Fnv1aHash(call.service.value() + '/')));
  }
}

Duration CrashDetector::RemainingRefusal(Call& call, TimePoint now) const {
  for (const std::uint64_t part : call.shared_parts) {
    const Duration remaining = fleet_.part_crash_registry.RemainingRefusal(part, now);
    if (remaining > Duration::zero()) {
      call.rejection_detail = fmt::format("prompt part {}, {} losses", ToHex(part),
                                          fleet_.part_crash_registry.LossCount(part));
      return remaining;
    }
  }
  const Duration remaining = fleet_.crash_registry.RemainingRefusal(call.fingerprint, now);
  if (remaining > Duration::zero()) {
    call.rejection_detail = fmt::format(
        "fingerprint {}, {} losses, path {}, query hash {}", ToHex(call.fingerprint),
        fleet_.crash_registry.LossCount(call.fingerprint), PathOf(call), QueryHash(call));
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
             {"path", PathOf(call)},
             {"query_hash", QueryHash(call)},
             {"upstream", attempt.placement.upstream.id.value()},
             {"started_ms", attempt.placement.upstream.started_ms},
             {"losses", fleet_.crash_registry.LossCount(call.fingerprint)},
             {"refused", fleet_.crash_registry.IsRefused(call.fingerprint, now)}});
  RecordPartLosses(call, attempt, now);
  on_change_();
}

void CrashDetector::RecordPartLosses(const Call& call, const Attempt& attempt, TimePoint now) {
  // A response that timed out, or a connection that this daemon closed, shows no crash.
  if (call.shared_parts.empty() || attempt.connection == nullptr ||
      !attempt.connection->is_open()) {
    return;
  }
  const auto last_answer = last_answers_.find(call.service);
  if (last_answer == last_answers_.end() || now - last_answer->second > kServiceFailureTime) {
    kLog.Info("Recorded no prompt part, because the service has not answered any request recently.",
              {{"request", call.metadata.attempt_id}, {"service", call.service.value()}});
    return;
  }
  for (const std::uint64_t part : call.shared_parts) {
    fleet_.part_crash_registry.OnLoss(part, ProcessKey(attempt.placement.upstream), now);
    const std::size_t losses = fleet_.part_crash_registry.LossCount(part);
    if (losses > 0) {
      kLog.Info("Recorded that an upstream was lost while it ran a prompt part.",
                {{"request", call.metadata.attempt_id},
                 {"part", ToHex(part)},
                 {"upstream", attempt.placement.upstream.id.value()},
                 {"losses", losses},
                 {"refused", fleet_.part_crash_registry.IsRefused(part, now)}});
    }
  }
}

void CrashDetector::OnCallerDisconnected(const Call& call, const Attempt& attempt, TimePoint now) {
  kLog.Info("A caller disconnected while its request was at an upstream.",
            {{"request", call.metadata.attempt_id},
             {"fingerprint", ToHex(call.fingerprint)},
             {"path", PathOf(call)},
             {"query_hash", QueryHash(call)},
             {"upstream", attempt.placement.upstream.id.value()},
             {"first_byte", attempt.first_byte},
             {"ms", (now - attempt.sent_at) / 1ms}});
}

bool CrashDetector::IsSuspected(const Call& call) const {
  return std::ranges::any_of(call.shared_parts, [this](std::uint64_t part) {
    return fleet_.part_crash_registry.LossCount(part) >= kLossesBeforeSuspicion;
  });
}

void CrashDetector::OnAnswer(const Call& call, const Attempt& attempt, unsigned status,
                             TimePoint now) {
  // A worker that fails a request may not have begun to run it.
  if (status >= kFirstServerErrorStatus) {
    return;
  }
  // A crash between two events also ends a response that has no length and no chunks.
  if (attempt.has_framed_end) {
    last_answers_[call.service] = now;
    for (const std::uint64_t part : call.shared_parts) {
      if (fleet_.part_crash_registry.OnAnswer(part, now)) {
        kLog.Info("An answer showed that a prompt part does not crash upstreams.",
                  {{"request", call.metadata.attempt_id}, {"part", ToHex(part)}});
        on_change_();
      }
    }
  }
  if (!fleet_.crash_registry.OnAnswer(call.fingerprint, now)) {
    return;
  }
  fleet_.metrics.GetCounter(kCrashRecordsMetric, {{"event", "cleared"}}).Add();
  kLog.Info("An answer showed that a request does not crash upstreams.",
            {{"request", call.metadata.attempt_id}, {"fingerprint", ToHex(call.fingerprint)}});
  on_change_();
}

}  // namespace savoryglade::gateway
