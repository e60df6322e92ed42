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

// An attempt that gave the caller no whole answer.
struct FailedAttempt {
  AccountId account;
  ServiceId service;
  // kNotRun if no byte was handed to the socket, or if the upstream stated that it did not run the
  // request.
  RunState run_state = RunState::kMayHaveRun;
  Reason reason = Reason::kUpstreamLost;
  // Whether the first byte was handed to the socket.
  bool dispatched = true;
  // Marked in the configuration; never dispatched twice.
  bool may_not_repeat = false;
  // Model requests, and calls of plain services for which IsRepeatableMethod is true.
  bool repeatable = false;
  // Attempts so far, this one included; hedges don't count.
  int attempts = 1;
  TimePoint deadline;
  // Time that another attempt is expected to take.
  Duration predicted_duration = Duration::zero();
};

// The request is to be dispatched again after a delay. The budget has been charged.
struct Retry {
  Duration delay = Duration::zero();

  friend auto operator<=>(const Retry&, const Retry&) = default;
};

// The caller gets this verdict.
struct GiveUp {
  Verdict verdict;

  friend auto operator<=>(const GiveUp&, const GiveUp&) = default;
};

using RetryDecision = std::variant<Retry, GiveUp>;

// A request that waits for its first token or for its response.
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
  // The first delay doubles with each attempt up to the maximum. Half of each delay is random, so
  // that the requests of a lost upstream don't return together.
  Duration initial_delay = 50ms;
  Duration max_delay = 2s;
  // Part of the answers that come before a hedge is sent, and the least delay of a hedge.
  double hedge_quantile = 0.95;
  Duration min_hedge_delay = 20ms;
  RetryBudgetOptions budget;
};

// Returns true for the methods of plain services that may run more than once: GET, HEAD, OPTIONS,
// PUT and DELETE.
bool IsRepeatableMethod(std::string_view method);

// Decides after a failed attempt whether the request may go to an upstream again, and when a slow
// one gets a second attempt. Not safe to use from several threads.
class RetryPolicy {
 public:
  RetryPolicy(RetryPolicyOptions options, Random random)
      : options_(options), budget_(options.budget), random_(random) {}

  // Counts a request that is dispatched for the first time.
  void OnRequest(const AccountId& account, const ServiceId& service);

  // Records the time from dispatch to the first token, or to the response of a plain service.
  void OnFirstToken(const ServiceId& service, Duration latency);

  // Decides what follows a failed attempt.
  RetryDecision Decide(const FailedAttempt& attempt, TimePoint now);

  // Returns how long to wait before a hedge is sent; nothing if the request gets none. A
  // may-not-repeat request, and one that is not repeatable, never gets one.
  std::optional<Duration> HedgeDelay(const RunningRequest& request, TimePoint now) const;

  // Charges a hedge that is about to be sent. Returns false if the budget is used up.
  bool TakeHedge(const RunningRequest& request);

 private:
  // The last latencies of a service and a quantile of them.
  struct Latencies {
    std::vector<Duration> samples;
    std::size_t next = 0;
    std::size_t since_sorted = 0;
    std::optional<Duration> quantile;
  };

  Duration Backoff(int attempts);
  GiveUp GiveUpWith(const FailedAttempt& attempt, Reason reason);

  RetryPolicyOptions options_;
  RetryBudget budget_;
  Random random_;
  std::map<ServiceId, Latencies> latencies_;
};

}  // namespace savoryglade
