#include "gateway/admission_gate.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio.hpp>

#include "core/boot_clock.h"
#include "core/prefix_hash.h"
#include "logging/logger.h"
#include "net/sleep.h"

namespace savoryglade::gateway {
namespace {

namespace asio = boost::asio;

// Interval at which a waiting call checks whether it may be sent.
constexpr Duration kCheckInterval = 20ms;

const Logger kLog("gateway");

}  // namespace

ServiceLoad AdmissionGate::LoadOf(const ServiceId& service, bool has_place, TimePoint now) {
  constexpr double kTokens = 1'000;
  const Duration delay = fleet_.load_balancer.PredictFirstEvent(service, 0, now);
  const Duration with_tokens = fleet_.load_balancer.PredictFirstEvent(service, kTokens, now);
  const double token_s = ToSeconds(with_tokens - delay) / kTokens;
  const MeanLoad load = fleet_.load_balancer.MeanLoadOf(service);
  return {.delay = delay,
          .cost_s = token_s,
          .place_use = load.slot_use,
          .waiting_s = load.waiting_tokens * token_s,
          .has_place = has_place};
}

void AdmissionGate::Update(const WorkEstimate& work, TimePoint now) {
  AdmissionQueue& queue = fleet_.AdmissionQueueOf(work.service);
  for (const Ticket ticket : queue.Expire(now)) {
    waiters_[ticket] = WaiterState::kExpired;
  }
  if (queue.waiting() == 0) {
    return;
  }
  const bool has_place = fleet_.load_balancer.HasPlace(work, now);
  for (const Ticket ticket : queue.Release(LoadOf(work.service, has_place, now), now)) {
    waiters_[ticket] = WaiterState::kReleased;
  }
}

bool AdmissionGate::WaitsAreTooLong(const Call& call, TimePoint now) const {
  const std::optional<TimePoint> wait_end =
      fleet_.load_balancer.NextWaitEnd(call.metadata.work, now);
  return wait_end &&
         *wait_end > std::min(call.received + call.route->latency_objective, call.deadline);
}

AdmissionGate::Result AdmissionGate::Refuse(Call& call, const AdmissionRequest& request,
                                            const ServiceLoad& load, Duration retry_after) {
  call.rejection_detail =
      fmt::format("delay {} ms, place use {:.2f}, rank {}, cost {:.0f}, waiting {}, waited {} ms",
                  load.delay / 1ms, load.place_use, request.rank, request.cost,
                  fleet_.AdmissionQueueOf(call.service).waiting(), call.admission_wait / 1ms);
  // What is turned away is demand as well.
  fleet_.work.Add(call.service, fleet_.load_balancer.WorkSeconds(call.metadata.work, request.cost));
  return {.outcome = Outcome::kRefuse,
          .verdict = {.reason = load.has_place ? Reason::kDeadlineUnreachable : Reason::kQueueFull,
                      .retry_after = retry_after}};
}

asio::awaitable<AdmissionGate::Result> AdmissionGate::Admit(Call& call,
                                                            std::optional<Placement> placement) {
  const TimePoint begun_at = BootNow();
  const WorkEstimate& work = call.metadata.work;
  AdmissionQueue& queue = fleet_.AdmissionQueueOf(call.service);
  // Without a placement the cached part of the prompt is unknown.
  const double uncached = placement ? placement->uncached_tokens : work.prompt_tokens;
  const AdmissionRequest request{
      .ticket = next_ticket_++,
      .rank = call.rank(),
      .cost = work.IsGeneration() ? uncached : 1,
      .objective = std::min(call.route->latency_objective, call.deadline - call.received),
      .arrived = call.received,
      .spread = Fnv1aHash(call.metadata.attempt_id)};
  const ServiceLoad load = LoadOf(call.service, placement.has_value(), begun_at);
  const AdmissionDecision decision = queue.Offer(request, load, begun_at);
  if (decision.verdict == AdmissionVerdict::kStart) {
    co_return Result{};
  }
  if (decision.verdict == AdmissionVerdict::kRefuse) {
    co_return Refuse(call, request, load, decision.retry_after);
  }
  waiters_[request.ticket] = WaiterState::kWaiting;
  while (waiters_[request.ticket] == WaiterState::kWaiting && !call.caller.Check() &&
         !fleet_.drain.interrupted() && !WaitsAreTooLong(call, BootNow())) {
    co_await Sleep(kCheckInterval);
    Update(work, BootNow());
  }
  const WaiterState state = waiters_[request.ticket];
  waiters_.erase(request.ticket);
  queue.Remove(request.ticket);
  const TimePoint now = BootNow();
  call.admission_wait += now - begun_at;
  kLog.Info("A request has waited for an upstream.", {{"request", call.metadata.attempt_id},
                                                      {"route", call.route->name},
                                                      {"service", call.service.value()},
                                                      {"cost", request.cost},
                                                      {"delay_ms", load.delay / 1ms},
                                                      {"had_place", load.has_place},
                                                      {"released", state == WaiterState::kReleased},
                                                      {"ms", (now - begun_at) / 1ms}});
  if (state == WaiterState::kExpired) {
    const ServiceLoad last = LoadOf(call.service, load.has_place, now);
    co_return Refuse(call, request, last, queue.RefusalDelay(request, last, now));
  }
  co_return Result{.outcome = Outcome::kChooseAgain};
}

}  // namespace savoryglade::gateway
