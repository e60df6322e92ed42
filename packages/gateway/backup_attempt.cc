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

bool HasUnreadBytes(Attempt& attempt) {
  boost::system::error_code ignored;
  return attempt.connection->stream().socket().available(ignored) > 0;
}

}  // namespace

void BackupAttempt::OnSent() {
  last_bytes_ = BootNow();
  CheckAfter(response_relay_.SilenceLimit(call_, *first_, last_bytes_));
}

void BackupAttempt::OnBytes() {
  last_bytes_ = BootNow();
  first_->is_silence_recorded = false;
  if (first_->first_byte && !std::exchange(is_in_response_, true)) {
    CheckAfter(response_relay_.SilenceLimit(call_, *first_, last_bytes_));
  }
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
  const Duration silence =
      is_relaying_ || HasUnreadBytes(*first_) ? Duration::zero() : now - last_bytes_;
  if (silence < limit) {
    CheckAfter(limit - silence);
    return;
  }
  const MigratableStream* const stream = first_->stream.get();
  if (stream != nullptr && stream->stopped()) {
    // The upstream sends no more, and the stream goes on elsewhere.
    first_->registration->Close(AttemptOutcome::kTimedOut);
    return;
  }
  const bool is_stopping = stream != nullptr && stream->is_stopping();
  if (!is_stopping && !is_running_ && MayBegin()) {
    RecordSilence(*first_, silence);
    is_running_ = true;
    asio::co_spawn(
        context_, [self = shared_from_this()]() -> asio::awaitable<void> { return self->Run(); },
        [](const std::exception_ptr& failure) {
          if (failure) {
            std::rethrow_exception(failure);
          }
        });
  }
  CheckAfter(limit);
}

void BackupAttempt::CheckSecondAfter(Duration time) {
  second_timer_.expires_after(time);
  second_timer_.async_wait([weak = weak_from_this()](boost::system::error_code error) {
    const std::shared_ptr<BackupAttempt> self = weak.lock();
    if (!error && self != nullptr) {
      self->CheckSecond();
    }
  });
}

void BackupAttempt::CheckSecond() {
  const std::shared_ptr<Attempt> second = second_;
  if (second == nullptr || is_at_hand_ || !second->registration) {
    return;
  }
  const TimePoint now = BootNow();
  const std::size_t received = second->ReceivedBytes();
  if (std::exchange(second_received_, received) != received || HasUnreadBytes(*second)) {
    CheckSecondAfter(response_relay_.SilenceLimit(call_, *second, now));
    return;
  }
  RecordSilence(*second, now - second->sent_at);
  if (has_first_ended_ || !MayBegin()) {
    return;
  }
  // It is given up only for one that can be sent.
  std::optional<Placement> placement = ChooseUpstream(now);
  if (!placement) {
    CheckSecondAfter(response_relay_.SilenceLimit(call_, *second, now));
    return;
  }
  replacement_ = Replacement{.placement = std::move(*placement), .consumed_at = now};
  second->Withdraw(AttemptOutcome::kTimedOut);
}

void BackupAttempt::RecordSilence(Attempt& attempt, Duration silence) {
  if (std::exchange(attempt.is_silence_recorded, true)) {
    return;
  }
  const UpstreamId& upstream = attempt.placement.upstream.id;
  fleet_.load_balancer.OnSilence(upstream, BootNow());
  fleet_.metrics
      .GetCounter(kSilencesMetric, {{"stage", attempt.first_byte ? "in_response" : "before"}})
      .Add();
  kLog.Info("An upstream is silent during a request.",
            {{"request", call_.metadata.attempt_id},
             {"route", call_.route->name},
             {"upstream", upstream.value()},
             {"first_byte", attempt.first_byte},
             {"silent_ms", silence / 1ms},
             {"possible_runs", call_.possible_runs},
             {"sent", call_.sends},
             {"ms", (BootNow() - call_.received) / 1ms}});
}

bool BackupAttempt::MayBegin() const {
  // Attempts in progress count once they have ended, and the new one counts as well.
  const int runs = call_.possible_runs + static_cast<int>(call_.attempts.size()) + 1;
  return call_.route->Repeatable() && runs <= call_.route->max_attempts &&
         call_.sends < kMaxSends && call_.connection_attempts < kMaxConnectionAttempts &&
         !call_.caller.disconnected() && !fleet_.drain.interrupted() &&
         !crash_detector_.IsSuspected(call_) && call_.RemainingTime(BootNow()) > kMinRemainingTime;
}

std::optional<Placement> BackupAttempt::ChooseUpstream(TimePoint now) {
  if (crash_detector_.RemainingRefusal(call_, now) > Duration::zero()) {
    return std::nullopt;
  }
  std::vector<UpstreamId> excluded = call_.ExcludedUpstreams();
  excluded.push_back(first_->placement.upstream.id);
  if (second_ != nullptr) {
    excluded.push_back(second_->placement.upstream.id);
  }
  std::optional<Placement> placement =
      fleet_.load_balancer.Choose(call_.metadata.work, excluded, now);
  if (placement && !fleet_.retry_budget.TryConsume(call_.service, now)) {
    placement.reset();
  }
  return placement;
}

asio::awaitable<void> BackupAttempt::Run() {
  while (!is_cancelled_ && !has_first_ended_ && MayBegin()) {
    std::optional<Replacement> next = std::exchange(replacement_, std::nullopt);
    if (!next) {
      const TimePoint now = BootNow();
      if (std::optional<Placement> placement = ChooseUpstream(now)) {
        next = Replacement{.placement = std::move(*placement), .consumed_at = now};
      }
    }
    if (!next) {
      change_.expires_after(kChooseInterval);
      co_await change_.async_wait(asio::as_tuple(asio::use_awaitable));
      // They may have a place by then.
      call_.rejecting_upstreams.clear();
      continue;
    }
    second_ = runner_.Begin(call_, next->placement, false);
    second_received_ = 0;
    CheckSecondAfter(response_relay_.SilenceLimit(call_, *second_, BootNow()));
    std::optional<AttemptOutcome> result = co_await runner_.Send(call_, *second_);
    if (!result) {
      result = co_await response_relay_.Prefetch(call_, *second_);
    }
    second_timer_.cancel();
    if (!result && !is_cancelled_) {
      is_at_hand_ = true;
      if (first_->registration) {
        first_->registration->Close(AttemptOutcome::kSuperseded);
      }
      break;
    }
    const std::shared_ptr<Attempt> ended = std::exchange(second_, nullptr);
    const AttemptOutcome cause =
        co_await runner_.CauseOfEnd(call_, *ended, result.value_or(AttemptOutcome::kSuperseded));
    runner_.End(call_, *ended, cause);
    if (!ended->sent) {
      fleet_.retry_budget.Refund(call_.service, 1, next->consumed_at, BootNow());
    }
  }
  if (const auto unused = std::exchange(replacement_, std::nullopt)) {
    fleet_.retry_budget.Refund(call_.service, 1, unused->consumed_at, BootNow());
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

asio::awaitable<std::shared_ptr<Attempt>> BackupAttempt::Finish(Need need) {
  has_first_ended_ = true;
  check_timer_.cancel();
  const bool is_awaited = need == Need::kAwait && second_ != nullptr;
  if (!is_awaited && !is_at_hand_) {
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
  if (need == Need::kNone) {
    runner_.End(call_, *second, AttemptOutcome::kSuperseded);
    co_return nullptr;
  }
  co_return second;
}

}  // namespace savoryglade::gateway
