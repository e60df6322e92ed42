#include "gateway/backup_attempt.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <string>
#include <utility>
#include <vector>

#include "core/boot_clock.h"
#include "logging/logger.h"

namespace savoryglade::gateway {
namespace {

namespace asio = boost::asio;

// Interval at which an upstream for a second attempt is looked for while there is none.
constexpr Duration kChooseInterval = 50ms;
constexpr Duration kMinCheckInterval = 1ms;

const Logger kLog("gateway");

}  // namespace

void BackupAttempt::OnSent() {
  last_bytes_ = BootNow();
  CheckAfter(response_relay_.SilenceLimit(call_, *first_, last_bytes_));
}

void BackupAttempt::OnBytes() {
  last_bytes_ = BootNow();
  is_silence_recorded_ = false;
}

void BackupAttempt::OnRelay() {
  is_relaying_ = true;
  Cancel();
}

void BackupAttempt::OnRelayed() {
  is_relaying_ = false;
  OnBytes();
}

void BackupAttempt::CheckAfter(Duration time) {
  check_timer_.expires_after(std::max(time, kMinCheckInterval));
  check_timer_.async_wait([weak = weak_from_this()](boost::system::error_code error) {
    const std::shared_ptr<BackupAttempt> self = weak.lock();
    if (!error && self != nullptr) {
      self->Check();
    }
  });
}

void BackupAttempt::Check() {
  if (has_first_ended_ || !first_->registration) {
    return;
  }
  const TimePoint now = BootNow();
  const Duration limit = response_relay_.SilenceLimit(call_, *first_, now);
  // After a pause of this process the upstream's bytes may not have been read yet.
  boost::system::error_code ignored;
  const bool has_unread_bytes = first_->connection->stream().socket().available(ignored) > 0;
  if (is_relaying_ || is_running_ || has_unread_bytes) {
    CheckAfter(limit);
    return;
  }
  const Duration silence = now - last_bytes_;
  if (silence < limit) {
    CheckAfter(limit - silence);
    return;
  }
  RecordSilence(silence);
  if (!MayBegin()) {
    return;
  }
  is_running_ = true;
  asio::co_spawn(
      context_, [self = shared_from_this()]() -> asio::awaitable<void> { return self->Run(); },
      [](const std::exception_ptr& failure) {
        if (failure) {
          std::rethrow_exception(failure);
        }
      });
  CheckAfter(limit);
}

void BackupAttempt::RecordSilence(Duration silence) {
  if (std::exchange(is_silence_recorded_, true)) {
    return;
  }
  const UpstreamId& upstream = first_->placement.upstream.id;
  fleet_.load_balancer.OnSilence(upstream, BootNow());
  fleet_.metrics
      .GetCounter(kSilencesMetric, {{"stage", first_->first_byte ? "in_response" : "before"}})
      .Add();
  kLog.Info("An upstream is silent during a request.",
            {{"request", call_.metadata.attempt_id},
             {"route", call_.route->name},
             {"upstream", upstream.value()},
             {"first_byte", first_->first_byte},
             {"silent_ms", silence / 1ms},
             {"possible_runs", call_.possible_runs},
             {"sent", call_.sends},
             {"ms", (BootNow() - call_.received) / 1ms}});
}

bool BackupAttempt::MayBegin() const {
  // The first attempt and the second one count as well.
  constexpr int kUncounted = 2;
  return call_.route->Repeatable() &&
         call_.possible_runs + kUncounted <= call_.route->max_attempts && call_.sends < kMaxSends &&
         call_.connection_attempts < kMaxConnectionAttempts && !fleet_.drain.interrupted() &&
         !crash_detector_.IsSuspected(call_) && call_.RemainingTime(BootNow()) > kMinRemainingTime;
}

std::optional<Placement> BackupAttempt::ChooseUpstream(TimePoint now) {
  if (crash_detector_.RemainingRefusal(call_, now) > Duration::zero()) {
    return std::nullopt;
  }
  std::vector<UpstreamId> excluded = call_.tried_upstreams;
  excluded.push_back(first_->placement.upstream.id);
  std::optional<Placement> placement =
      fleet_.load_balancer.Choose(call_.metadata.work, excluded, now);
  if (placement && !fleet_.retry_budget.TryConsume(call_.service, now)) {
    placement.reset();
  }
  return placement;
}

asio::awaitable<void> BackupAttempt::Run() {
  while (!is_cancelled_ && !has_first_ended_ && MayBegin()) {
    const std::optional<Placement> placement = ChooseUpstream(BootNow());
    if (!placement) {
      change_.expires_after(kChooseInterval);
      co_await change_.async_wait(asio::as_tuple(asio::use_awaitable));
      continue;
    }
    second_ = runner_.Begin(call_, *placement, false);
    std::optional<AttemptOutcome> result = co_await runner_.Send(call_, *second_);
    if (!result) {
      result = co_await response_relay_.Prefetch(call_, *second_);
    }
    if (!result && !is_cancelled_) {
      is_at_hand_ = true;
      if (first_->registration) {
        first_->registration->Close(AttemptOutcome::kSuperseded);
      }
      break;
    }
    const std::shared_ptr<Attempt> ended = std::exchange(second_, nullptr);
    runner_.End(call_, *ended, result.value_or(AttemptOutcome::kSuperseded));
    if (!ended->sent) {
      fleet_.retry_budget.Refund(call_.service, 1);
    }
  }
  is_running_ = false;
  is_cancelled_ = false;
  change_.cancel();
}

void BackupAttempt::Cancel() {
  if (!is_running_) {
    return;
  }
  is_cancelled_ = true;
  if (second_ != nullptr) {
    second_->Withdraw(AttemptOutcome::kSuperseded);
  }
  change_.cancel();
}

asio::awaitable<std::shared_ptr<Attempt>> BackupAttempt::Finish(bool is_wanted) {
  has_first_ended_ = true;
  check_timer_.cancel();
  if (!is_wanted || second_ == nullptr) {
    Cancel();
  }
  while (is_running_) {
    change_.expires_at(asio::steady_timer::time_point::max());
    co_await change_.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  if (!is_at_hand_) {
    co_return nullptr;
  }
  std::shared_ptr<Attempt> second = std::exchange(second_, nullptr);
  if (!is_wanted) {
    runner_.End(call_, *second, AttemptOutcome::kSuperseded);
    co_return nullptr;
  }
  co_return second;
}

}  // namespace savoryglade::gateway
