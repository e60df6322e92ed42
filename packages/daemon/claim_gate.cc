#include "daemon/claim_gate.h"

#include <utility>

namespace savoryglade {
namespace {

// Section 4, rule 4 of the design page.
constexpr Duration kDispatchDeadline = 5s;

}  // namespace

boost::asio::awaitable<ClaimAnswer> MemoryClaimGate::Claim(ClaimSending sending, TimePoint now) {
  ClaimIdentity identity = std::move(sending.identity);
  const std::lock_guard lock(mutex_);
  ClaimAnswer answer;
  const auto found = entries_.find(identity);
  if (found == entries_.end()) {
    answer.kind = ClaimAnswer::Kind::kGranted;
    answer.token = next_token_++;
    open_.emplace(answer.token, identity);
    entries_.emplace(std::move(identity), Entry{.token = answer.token,
                                                .dispatch_deadline = now + kDispatchDeadline,
                                                .body = sending.body});
  } else if (found->second.body != sending.body) {
    answer.verdict = {.reason = Reason::kIdempotencyKeyReused};
  } else if (found->second.done) {
    answer.kind = ClaimAnswer::Kind::kDone;
    answer.response = found->second.response;
  } else {
    answer.verdict = {
        .run_state = RunState::kMayHaveRun,
        .reason = Reason::kClaimedElsewhere,
        .retry_after = open_.contains(found->second.token) ? Duration(1s) : Duration::zero()};
  }
  co_return answer;
}

bool MemoryClaimGate::BeginDispatch(ClaimTicket token, TimePoint now) {
  const std::lock_guard lock(mutex_);
  const auto found = open_.find(token);
  if (found == open_.end()) {
    return false;
  }
  if (now < entries_.at(found->second).dispatch_deadline) {
    return true;
  }
  entries_.erase(found->second);
  open_.erase(found);
  return false;
}

void MemoryClaimGate::Release(ClaimTicket token) {
  const std::lock_guard lock(mutex_);
  const auto found = open_.find(token);
  if (found != open_.end()) {
    entries_.erase(found->second);
    open_.erase(found);
  }
}

Verdict MemoryClaimGate::GiveUp(ClaimTicket token, Verdict verdict) {
  Release(token);
  return verdict;
}

void MemoryClaimGate::Complete(ClaimTicket token, StoredResponse response) {
  const std::lock_guard lock(mutex_);
  const auto found = open_.find(token);
  if (found != open_.end()) {
    Entry& entry = entries_.at(found->second);
    entry.done = true;
    entry.response = std::move(response);
    open_.erase(found);
  }
}

void MemoryClaimGate::Abandon(ClaimTicket token) {
  const std::lock_guard lock(mutex_);
  open_.erase(token);
}

}  // namespace savoryglade
