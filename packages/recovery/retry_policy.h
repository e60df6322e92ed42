#pragma once

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "core/random.h"
#include "core/strong_id.h"
#include "core/time.h"
#include "core/verdict.h"
#include "recovery/retry_budget.h"

namespace savoryglade {

// Attempt that failed before the caller received a complete response.
struct FailedAttempt {
  AccountId account;
  ServiceId service;
  // kNotRun if no byte was passed to the socket, or if the upstream reported that it did not run
  // the request.
  RunState run_state = RunState::kMayHaveRun;
  Reason reason = Reason::kUpstreamLost;
  // Whether the first byte was passed to the socket.
  bool dispatched = true;
  // Set in the configuration. Such a request is never dispatched twice.
  bool may_not_repeat = false;
  // True for model requests, and for calls of plain services whose method satisfies
  // IsRepeatableMethod.
  bool repeatable = false;
  // Number of attempts including this one. Hedges are not counted.
  int attempts = 1;
  TimePoint deadline;
  // Predicted duration of another attempt.
  Duration predicted_duration = Duration::zero();
};

// Decision to dispatch the request again after a delay. The retry has been charged to the budget.
struct Retry {
  Duration delay = Duration::zero();

  friend auto operator<=>(const Retry&, const Retry&) = default;
};

// Decision not to retry; the caller receives this verdict.
struct GiveUp {
  Verdict verdict;

  friend auto operator<=>(const GiveUp&, const GiveUp&) = default;
};

using RetryDecision = std::variant<Retry, GiveUp>;

// Request that is waiting for its first token or for its response.
struct RunningRequest {
  AccountId account;
  ServiceId service;
  bool may_not_repeat = false;
  bool repeatable = false;
  bool hedged = false;
  TimePoint dispatched;
  TimePoint deadline;
};

// Delays and limits.
struct RetryPolicyOptions {
  int max_attempts = 3;
  // The delay doubles with each attempt up to `max_delay`. Half of each delay is random, so that
  // the requests of a lost upstream are not retried at the same time.
  Duration initial_delay = 50ms;
  Duration max_delay = 2s;
  // Quantile of the first-token latency after which a hedge is sent, and the minimum delay of a
  // hedge.
  double hedge_quantile = 0.95;
  Duration min_hedge_delay = 20ms;
  RetryBudgetOptions budget;
};

// Returns true for the methods that may run more than once at plain services: GET, HEAD, OPTIONS,
// PUT and DELETE.
bool IsRepeatableMethod(std::string_view method);

// Decides whether a request is retried after a failed attempt, and when a slow request gets a
// second, hedged attempt. Not thread-safe.
class RetryPolicy {
 public:
  RetryPolicy(RetryPolicyOptions options, Random random)
      : options_(options), budget_(options.budget), random_(random) {}

  // Counts a request that is dispatched for the first time.
  void OnRequest(const AccountId& account, const ServiceId& service);

  // Records the time from dispatch to the first token, or to the response of a plain service.
  void OnFirstToken(const ServiceId& service, Duration latency);

  // Returns whether to retry after a failed attempt. Charges a retry to the budget.
  RetryDecision Decide(const FailedAttempt& attempt, TimePoint now);

  // Returns the delay until a hedge is sent, or nothing if the request gets none. May-not-repeat
  // requests and requests that are not repeatable are never hedged.
  std::optional<Duration> HedgeDelay(const RunningRequest& request, TimePoint now) const;

  // Charges a hedge to the budget. Returns false if the request must not be hedged or the budget is
  // used up.
  bool ChargeHedge(const RunningRequest& request);

 private:
  // Most recent latencies of a service, as a ring buffer, and a quantile of them.
  struct RecentLatencies {
    std::vector<Duration> samples;
    std::size_t next_index = 0;
    std::size_t samples_since_update = 0;
    std::optional<Duration> quantile;
  };

  Duration Backoff(int attempts);
  GiveUp MakeGiveUp(const FailedAttempt& attempt, Reason reason);

  RetryPolicyOptions options_;
  RetryBudget budget_;
  Random random_;
  std::map<ServiceId, RecentLatencies> latencies_;
};

}  // namespace savoryglade
