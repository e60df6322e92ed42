#include "gateway/open_attempts.h"

#include <boost/asio.hpp>

#include "logging/logger.h"
#include "net/sleep.h"

namespace savoryglade::gateway {
namespace {

// Exceeds TCP's shortest retransmission timeout of 200 ms, so that one lost packet does not end an
// attempt.
constexpr Duration kAcknowledgementTimeout = 300ms;

const Logger kLog("gateway");

}  // namespace

OpenAttempts::Registration::Registration(const OpenAttempts& attempts, UpstreamId upstream,
                                         HttpConnection& connection)
    : connections_(attempts.connections_), upstream_(std::move(upstream)), connection_(connection) {
  (*connections_)[upstream_].insert(&connection_);
  if (attempts.closed_) {
    connection_.Close();
  }
}

OpenAttempts::Registration::~Registration() {
  const auto found = connections_->find(upstream_);
  found->second.erase(&connection_);
  if (found->second.empty()) {
    connections_->erase(found);
  }
}

void OpenAttempts::OnUpstreamLeaving(const UpstreamId& upstream) {
  if (connections_->contains(upstream)) {
    boost::asio::co_spawn(context_, CloseUnacknowledged(upstream), boost::asio::detached);
  }
}

void OpenAttempts::CloseAll() {
  closed_ = true;
  for (const auto& [upstream, connections] : *connections_) {
    for (HttpConnection* const connection : connections) {
      connection->Close();
    }
  }
}

boost::asio::awaitable<void> OpenAttempts::CloseUnacknowledged(UpstreamId upstream) {
  co_await Sleep(kAcknowledgementTimeout);
  const auto found = connections_->find(upstream);
  if (found == connections_->end()) {
    co_return;
  }
  for (HttpConnection* const connection : found->second) {
    const std::size_t bytes = connection->UnacknowledgedBytes().value_or(0);
    if (bytes > 0) {
      kLog.Info("Closed a connection whose request has not reached an upstream that leaves.",
                {{"upstream", upstream.value()}, {"unacknowledged_bytes", bytes}});
      connection->Close();
    }
  }
}

}  // namespace savoryglade::gateway
