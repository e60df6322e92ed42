#include "recovery/retry_policy.h"

#include <algorithm>
#include <array>

namespace savoryglade {
namespace {

// 256 samples estimate the 95th percentile to within about 1.4 percentile points. The quantile is
// recomputed after every 32 new samples to keep the cost per sample low.
constexpr std::size_t kLatencySamples = 256;
constexpr std::size_t kSamplesPerUpdate = 32;

constexpr Duration kGiveUpRetryAfter = 1s;

constexpr std::array<std::string_view, 5> kRepeatableMethods = {"GET", "HEAD", "OPTIONS", "PUT",
                                                                "DELETE"};

}  // namespace

bool IsRepeatableMethod(std::string_view method) {
  return std::find(kRepeatableMethods.begin(), kRepeatableMethods.end(), method) !=
         kRepeatableMethods.end();
}

void RetryPolicy::OnRequest(const AccountId& account, const ServiceId& service) {
  budget_.OnRequest(account, service);
}

void RetryPolicy::OnFirstToken(const ServiceId& service, Duration latency) {
  RecentLatencies& latencies = latencies_[service];
  if (latencies.samples.size() < kLatencySamples) {
    latencies.samples.push_back(latency);
  } else {
    latencies.samples[latencies.next_index] = latency;
    latencies.next_index = (latencies.next_index + 1) % kLatencySamples;
  }
  if (++latencies.samples_since_update < kSamplesPerUpdate) {
    return;
  }
  latencies.samples_since_update = 0;
  std::vector<Duration> sorted = latencies.samples;
  const auto rank =
      static_cast<std::ptrdiff_t>(options_.hedge_quantile * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(), sorted.begin() + rank, sorted.end());
  latencies.quantile = sorted[static_cast<std::size_t>(rank)];
}

RetryDecision RetryPolicy::Decide(const FailedAttempt& attempt, TimePoint now) {
  // A may-not-repeat request is never dispatched twice, even if the upstream reported that it did
  // not run it.
  if (attempt.may_not_repeat && attempt.dispatched) {
    return MakeGiveUp(attempt, attempt.reason);
  }
  const bool may_run_again =
      attempt.run_state == RunState::kNotRun ||
      (attempt.run_state == RunState::kMayHaveRun && attempt.repeatable && !attempt.may_not_repeat);
  if (!may_run_again || attempt.attempts >= options_.max_attempts) {
    return MakeGiveUp(attempt, attempt.reason);
  }
  const Duration delay = Backoff(attempt.attempts);
  if (now + delay + attempt.predicted_duration >= attempt.deadline) {
    return MakeGiveUp(attempt, attempt.reason);
  }
  if (!budget_.TryConsume(attempt.account, attempt.service)) {
    return MakeGiveUp(attempt, Reason::kRetryBudgetExhausted);
  }
  return Retry{.delay = delay};
}

std::optional<Duration> RetryPolicy::HedgeDelay(const RunningRequest& request,
                                                TimePoint now) const {
  if (request.may_not_repeat || !request.repeatable || request.hedged ||
      !budget_.Allows(request.account, request.service)) {
    return std::nullopt;
  }
  const auto found = latencies_.find(request.service);
  if (found == latencies_.end() || !found->second.quantile) {
    return std::nullopt;
  }
  const Duration expected = std::max(*found->second.quantile, options_.min_hedge_delay);
  const TimePoint send_at = std::max(request.dispatched + expected, now);
  if (send_at + expected >= request.deadline) {
    return std::nullopt;
  }
  return send_at - now;
}

bool RetryPolicy::ChargeHedge(const RunningRequest& request) {
  return !request.may_not_repeat && request.repeatable && !request.hedged &&
         budget_.TryConsume(request.account, request.service);
}

Duration RetryPolicy::Backoff(int attempts) {
  Duration delay = options_.initial_delay;
  for (int i = 1; i < attempts && delay < options_.max_delay; ++i) {
    delay *= 2;
  }
  delay = std::min(delay, options_.max_delay);
  return delay / 2 + FromSeconds(random_.UniformReal() * ToSeconds(delay) / 2);
}

GiveUp RetryPolicy::MakeGiveUp(const FailedAttempt& attempt, Reason reason) {
  Verdict verdict{.run_state = attempt.run_state, .reason = reason};
  // The caller may send the request again if it did not run or may run more than once.
  if (attempt.run_state == RunState::kNotRun || (attempt.repeatable && !attempt.may_not_repeat)) {
    verdict.retry_after = kGiveUpRetryAfter + FromSeconds(random_.UniformReal());
  }
  return {.verdict = verdict};
}

}  // namespace savoryglade
