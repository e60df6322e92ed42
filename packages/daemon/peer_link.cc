#include "daemon/peer_link.h"

#include <fmt/format.h>
#include <openssl/rand.h>

#include <boost/asio.hpp>
#include <utility>

#include "logging/logger.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kAwaitAsTuple = asio::as_tuple(asio::use_awaitable);
// Four messages of the largest size.
constexpr std::size_t kMaxQueuedBytes = 4 * wire::kLargestPayload;

const Logger kLog("peers");

wire::Nonce MakeNonce() {
  wire::Nonce nonce;
  if (RAND_bytes(nonce.data(), static_cast<int>(nonce.size())) != 1) {
    // Without a random nonce no connection can be authenticated.
    std::terminate();
  }
  return nonce;
}

}  // namespace

PeerCounters::PeerCounters(MetricRegistry& metrics)
    : bytes_sent(metrics.GetCounter("savoryglade_peer_bytes_sent_total")),
      bytes_received(metrics.GetCounter("savoryglade_peer_bytes_received_total")),
      messages_sent(metrics.GetCounter("savoryglade_peer_messages_sent_total")),
      messages_received(metrics.GetCounter("savoryglade_peer_messages_received_total")),
      connections_refused(metrics.GetCounter("savoryglade_peer_connections_refused_total")) {}

PeerLink::PeerLink(tcp::socket socket, const std::string& fleet_key, wire::Side side,
                   PeerCounters& counters)
    : socket_(std::move(socket)),
      side_(side),
      codec_(fleet_key, side, MakeNonce()),
      counters_(counters) {}

void PeerLink::Close() {
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void PeerLink::Send(const wire::MessageT& message) {
  if (!open() || !codec_.has_peer_hello()) {
    return;
  }
  Result<std::string> frame = codec_.Seal(message);
  if (!frame) {
    kLog.Error(frame.error().message, {{"peer", daemon_.value()}});
    return;
  }
  counters_.messages_sent.Add();
  QueueFrame(std::move(*frame));
}

void PeerLink::QueueFrame(std::string frame) {
  queued_bytes_ += frame.size();
  if (queued_bytes_ > kMaxQueuedBytes) {
    kLog.Warning("Closing the connection to a peer that reads too slowly.",
                 {{"peer", daemon_.value()}});
    Close();
    return;
  }
  queue_.push_back(std::move(frame));
  if (!writing_) {
    WriteNextFrame();
  }
}

void PeerLink::WriteNextFrame() {
  writing_ = true;
  asio::async_write(
      socket_, asio::buffer(queue_.front()),
      [self = shared_from_this()](const boost::system::error_code& error, std::size_t size) {
        self->writing_ = false;
        self->counters_.bytes_sent.Add(size);
        self->queued_bytes_ -= self->queue_.front().size();
        self->queue_.pop_front();
        if (error) {
          self->Close();
        } else if (!self->queue_.empty()) {
          self->WriteNextFrame();
        }
      });
}

bool PeerLink::DispatchMessages(const Handler& handler) {
  while (open()) {
    Result<std::optional<wire::MessageT>> message = codec_.Next();
    if (!message) {
      counters_.connections_refused.Add();
      kLog.Warning(message.error().message, {{"peer", daemon_.value()}});
      return false;
    }
    if (!*message) {
      return true;
    }
    counters_.messages_received.Add();
    if (const wire::HelloT* hello = (*message)->body.AsHello()) {
      daemon_ = DaemonId(hello->daemon);
      failure_domain_ = FailureDomainId(hello->failure_domain);
      address_ = hello->address;
      incarnation_ = hello->incarnation;
    }
    handler(shared_from_this(), **message);
  }
  return false;
}

asio::awaitable<void> PeerLink::Run(wire::HelloT hello, Handler handler) {
  const std::shared_ptr<PeerLink> self = shared_from_this();
  boost::system::error_code option_error;
  socket_.set_option(tcp::no_delay(true), option_error);
  own_incarnation_ = hello.incarnation;
  QueueFrame(codec_.SealHello(std::move(hello)));
  while (open()) {
    const auto [error, size] =
        co_await socket_.async_read_some(asio::buffer(buffer_), kAwaitAsTuple);
    if (error) {
      break;
    }
    last_received_at_ = std::chrono::steady_clock::now();
    counters_.bytes_received.Add(size);
    codec_.Append({buffer_.data(), size});
    if (!DispatchMessages(handler)) {
      break;
    }
  }
  Close();
}

}  // namespace savoryglade
