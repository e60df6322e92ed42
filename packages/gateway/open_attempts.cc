#include "gateway/open_attempts.h"

#include <boost/asio.hpp>

#include "core/boot_clock.h"
#include "logging/logger.h"
#include "net/sleep.h"

namespace savoryglade::gateway {
namespace {

// Exceeds TCP's shortest retransmission timeout of 200 ms, so that one lost packet does not end an
// attempt.
constexpr Duration kAcknowledgementTimeout = 300ms;
constexpr Duration kWatchInterval = 150ms;

const Logger kLog("gateway");

}  // namespace

OpenAttempts::Registration::Registration(const OpenAttempts& attempts, UpstreamId upstream,
                                         HttpConnection& connection)
    : connections_(attempts.connections_), upstream_(std::move(upstream)), connection_(connection) {
  (*connections_)[upstream_].emplace(&connection_, OpenAttempt{});
  if (attempts.closed_) {
    Close(AttemptOutcome::kInterrupted);
  }
}

OpenAttempts::Registration::~Registration() {
  const auto found = connections_->find(upstream_);
  found->second.erase(&connection_);
  if (found->second.empty()) {
    connections_->erase(found);
  }
}

void OpenAttempts::Registration::AwaitAnswer(bool may_be_repeated, TimePoint now) {
  attempt().awaiting_since = now;
  attempt().may_be_repeated = may_be_repeated;
}

void OpenAttempts::Registration::OnAnswer() { attempt().awaiting_since.reset(); }

void OpenAttempts::Registration::Close(AttemptOutcome reason) {
  OpenAttempts::Close(connection_, attempt(), reason);
}

void OpenAttempts::Close(HttpConnection& connection, OpenAttempt& attempt, AttemptOutcome reason) {
  if (!attempt.closed_because) {
    attempt.closed_because = reason;
    connection.Close();
  }
}

boost::asio::awaitable<void> OpenAttempts::WatchLoop(
    std::function<void(const UpstreamId&)> on_undelivered) {
  while (true) {
    co_await Sleep(kWatchInterval);
    const TimePoint sent_before = BootNow() - kAcknowledgementTimeout;
    for (auto& [upstream, attempts] : *connections_) {
      for (auto& [connection, attempt] : attempts) {
        if (!attempt.awaiting_since || *attempt.awaiting_since > sent_before) {
          continue;
        }
        const std::size_t bytes = connection->UnacknowledgedBytes().value_or(0);
        if (bytes == 0) {
          // The upstream's host has the request, so the path worked.
          attempt.awaiting_since.reset();
          continue;
        }
        kLog.Info("A request has not reached an upstream.", {{"upstream", upstream.value()},
                                                             {"unacknowledged_bytes", bytes},
                                                             {"closed", attempt.may_be_repeated}});
        on_undelivered(upstream);
        attempt.awaiting_since.reset();
        if (attempt.may_be_repeated) {
          Close(*connection, attempt, AttemptOutcome::kUndelivered);
        }
      }
    }
  }
}

void OpenAttempts::OnUpstreamLeaving(const UpstreamId& upstream) {
  if (connections_->contains(upstream)) {
    boost::asio::co_spawn(context_, CloseUnacknowledged(upstream), boost::asio::detached);
  }
}

void OpenAttempts::CloseAll() {
  closed_ = true;
  for (auto& [upstream, attempts] : *connections_) {
    for (auto& [connection, attempt] : attempts) {
      // Input is read as it arrives unless the answer waits for its caller, and the upstream may
      // have finished it.
      boost::system::error_code ignored;
      if (connection->stream().socket().available(ignored) == 0) {
        Close(*connection, attempt, AttemptOutcome::kInterrupted);
      }
    }
  }
}

boost::asio::awaitable<void> OpenAttempts::CloseUnacknowledged(UpstreamId upstream) {
  co_await Sleep(kAcknowledgementTimeout);
  const auto found = connections_->find(upstream);
  if (found == connections_->end()) {
    co_return;
  }
  for (auto& [connection, attempt] : found->second) {
    const std::size_t bytes = connection->UnacknowledgedBytes().value_or(0);
    if (bytes > 0) {
      kLog.Info("Closed a connection whose request has not reached an upstream that leaves.",
                {{"upstream", upstream.value()}, {"unacknowledged_bytes", bytes}});
      Close(*connection, attempt, AttemptOutcome::kUndelivered);
    }
  }
}

}  // namespace savoryglade::gateway
