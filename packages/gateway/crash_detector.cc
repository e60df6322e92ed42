#include "gateway/crash_detector.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
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

std::string ToHex(std::uint64_t fingerprint) { return fmt::format("{:016x}", fingerprint); }

std::string_view NameOf(CrashSubject subject) {
  static constexpr std::array<std::string_view, 3> kNames = {"request", "path", "prompt_part"};
  return kNames.at(static_cast<std::size_t>(subject));
}

// Returns a hash of the query, which itself may hold secrets, or "-" if there is none.
std::string QueryHash(const Call& call) {
  const std::string_view target = call.exchange.target();
  const std::string_view query = target.substr(PathOf(target).size());
  return query.empty() ? std::string("-") : ToHex(Fnv1aHash(query));
}

RequestRun RunOf(const Call& call) {
  return {.attempt_id = call.metadata.attempt_id,
          .path = std::string(PathOf(call.exchange.target())),
          .query_hash = QueryHash(call),
          .service = call.service,
          .crash_keys = call.fingerprint.LossKeys(),
          .shared_parts = call.shared_parts};
}

}  // namespace

void CrashDetector::Identify(Call& call) {
  const HttpRequest& request = call.exchange.request();
  const AccountId account = call.account_id();
  const std::string method(request.method_string());
  call.fingerprint = FingerprintOf({.account = account.value(),
                                    .scope = call.route->host,
                                    .method = method,
                                    .target = call.exchange.target(),
                                    .body = request.body()});
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
  for (const CrashKey& key : call.fingerprint.LossKeys()) {
    const CrashRegistry& registry = fleet_.CrashRegistryOf(key.subject);
    const Duration remaining = registry.RemainingRefusal(key.hash, now);
    if (remaining > Duration::zero()) {
      call.rejection_detail = fmt::format(
          "{} {}, {} losses, path {}, query hash {}", NameOf(key.subject), ToHex(key.hash),
          registry.LossCount(key.hash), PathOf(call.exchange.target()), QueryHash(call));
      return remaining;
    }
  }
  return Duration::zero();
}

void CrashDetector::OnSent(const Call& call, TimePoint now) {
  for (const CrashKey& key : call.fingerprint.LossKeys()) {
    fleet_.CrashRegistryOf(key.subject).OnSent(key.hash, now);
  }
  for (const std::uint64_t part : call.shared_parts) {
    fleet_.part_crash_registry.OnSent(part, now);
  }
}

void CrashDetector::OnAttemptEnded(const Call& call, const Attempt& attempt, AttemptOutcome result,
                                   TimePoint now) {
  const UpstreamRecord& upstream = attempt.placement.upstream;
  switch (TraitsOf(result).evidence) {
    case CrashEvidence::kNone:
      break;
    case CrashEvidence::kRunLeft:
      OnRunLeft(call, attempt, result, now);
      break;
    case CrashEvidence::kConnectionLost: {
      const RequestRun run = RunOf(call);
      RecordLosses(run, upstream, now);
      RecordPartLosses(run, upstream, now);
      OnUpstreamEnded(upstream, now);
      on_change_();
      break;
    }
  }
}

void CrashDetector::RecordLosses(const RequestRun& run, const UpstreamRecord& upstream,
                                 TimePoint now) {
  for (const CrashKey& key : run.crash_keys) {
    CrashRegistry& registry = fleet_.CrashRegistryOf(key.subject);
    registry.OnLoss(key.hash, FleetLoadBalancer::ProcessKeyOf(upstream), now);
    fleet_.metrics.GetCounter(kCrashRecordsMetric, {{"event", "recorded"}}).Add();
    kLog.Info("Recorded that an upstream was lost while it ran a request.",
              {{"request", run.attempt_id},
               {"subject", NameOf(key.subject)},
               {"fingerprint", ToHex(key.hash)},
               {"path", run.path},
               {"query_hash", run.query_hash},
               {"upstream", upstream.id.value()},
               {"started_ms", upstream.started_ms},
               {"losses", registry.LossCount(key.hash)},
               {"refused", registry.IsRefused(key.hash, now)}});
  }
}

void CrashDetector::RecordPartLosses(const RequestRun& run, const UpstreamRecord& upstream,
                                     TimePoint now) {
  if (run.shared_parts.empty()) {
    return;
  }
  const auto last_answer = last_answers_.find(run.service);
  if (last_answer == last_answers_.end() || now - last_answer->second > kServiceFailureTime) {
    kLog.Info("Recorded no prompt part, because the service has not answered any request recently.",
              {{"request", run.attempt_id}, {"service", run.service.value()}});
    return;
  }
  for (const std::uint64_t part : run.shared_parts) {
    fleet_.part_crash_registry.OnLoss(part, FleetLoadBalancer::ProcessKeyOf(upstream), now);
    const std::size_t losses = fleet_.part_crash_registry.LossCount(part);
    if (losses > 0) {
      kLog.Info("Recorded that an upstream was lost while it ran a prompt part.",
                {{"request", run.attempt_id},
                 {"part", ToHex(part)},
                 {"upstream", upstream.id.value()},
                 {"losses", losses},
                 {"refused", fleet_.part_crash_registry.IsRefused(part, now)}});
    }
  }
}

void CrashDetector::OnRunLeft(const Call& call, const Attempt& attempt, AttemptOutcome result,
                              TimePoint now) {
  const UpstreamRecord& upstream = attempt.placement.upstream;
  abandoned_runs_.Add(FleetLoadBalancer::ProcessKeyOf(upstream), RunOf(call), now);
  kLog.Info("An attempt ended while its request was at an upstream.",
            {{"request", call.metadata.attempt_id},
             {"result", TraitsOf(result).name},
             {"fingerprint", ToHex(call.fingerprint.request)},
             {"path", PathOf(call.exchange.target())},
             {"query_hash", QueryHash(call)},
             {"upstream", upstream.id.value()},
             {"first_byte", attempt.first_byte},
             {"ms", (now - attempt.sent_at) / 1ms}});
}

void CrashDetector::OnUpstreamEnded(const UpstreamRecord& upstream, TimePoint now) {
  const std::vector<RequestRun> runs =
      abandoned_runs_.Take(FleetLoadBalancer::ProcessKeyOf(upstream), now);
  for (const RequestRun& run : runs) {
    RecordLosses(run, upstream, now);
    RecordPartLosses(run, upstream, now);
  }
  if (!runs.empty()) {
    on_change_();
  }
}

bool CrashDetector::IsSuspected(const Call& call) const {
  return std::ranges::any_of(call.shared_parts, [this](std::uint64_t part) {
    return fleet_.part_crash_registry.LossCount(part) >= kLossesBeforeSuspicion;
  });
}

void CrashDetector::OnAnswer(const Call& call, const Attempt& attempt, unsigned status,
                             TimePoint now) {
  abandoned_runs_.OnAnswer(FleetLoadBalancer::ProcessKeyOf(attempt.placement.upstream),
                           attempt.sent_at);
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
  std::vector<CrashKey> answered = {
      {.subject = CrashSubject::kRequest, .hash = call.fingerprint.request}};
  if (attempt.has_framed_end) {
    answered.push_back({.subject = CrashSubject::kPath, .hash = call.fingerprint.path});
  }
  for (const CrashKey& key : answered) {
    if (fleet_.CrashRegistryOf(key.subject).OnAnswer(key.hash, now)) {
      fleet_.metrics.GetCounter(kCrashRecordsMetric, {{"event", "cleared"}}).Add();
      kLog.Info("An answer showed that a request does not crash upstreams.",
                {{"request", call.metadata.attempt_id},
                 {"subject", NameOf(key.subject)},
                 {"fingerprint", ToHex(key.hash)},
                 {"path", PathOf(call.exchange.target())},
                 {"query_hash", QueryHash(call)}});
      on_change_();
    }
  }
}

}  // namespace savoryglade::gateway
