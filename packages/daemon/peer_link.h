#pragma once

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "core/strong_id.h"
#include "core/time.h"
#include "metrics/registry.h"
#include "wire/connection_codec.h"

namespace savoryglade {

// Metrics of all peer links of a daemon.
struct PeerCounters {
  explicit PeerCounters(MetricRegistry& metrics);

  Counter& bytes_sent;
  Counter& bytes_received;
  Counter& messages_sent;
  Counter& messages_received;
  Counter& connections_refused;
};

// One authenticated TCP connection to another daemon. Used on one context only.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  // Receives the peer's Hello first, then each message of the authenticated peer.
  using Handler = std::function<void(const std::shared_ptr<PeerLink>&, const wire::MessageT&)>;

  PeerLink(boost::asio::ip::tcp::socket socket, const std::string& fleet_key, wire::Side side,
           PeerCounters& counters);

  // Sends the Hello of this daemon, then reads messages until the connection ends.
  boost::asio::awaitable<void> Run(wire::HelloT hello, Handler handler);

  // Queues a message. Closes the connection if the peer reads too slowly.
  void Send(const wire::MessageT& message);

  void Close();

  // Content of the peer's Hello. The daemon is empty until it has been received.
  const DaemonId& daemon() const { return daemon_; }
  const FailureDomainId& failure_domain() const { return failure_domain_; }
  const std::string& address() const { return address_; }
  std::uint64_t incarnation() const { return incarnation_; }
  // Incarnation in the Hello of this daemon.
  std::uint64_t own_incarnation() const { return own_incarnation_; }

  wire::Side side() const { return side_; }
  bool authenticated() const { return codec_.authenticated(); }
  bool open() const { return socket_.is_open(); }
  TimePoint started_at() const { return started_at_; }
  TimePoint last_received_at() const { return last_received_at_; }

 private:
  void QueueFrame(std::string frame);
  void WriteNextFrame();
  bool DispatchMessages(const Handler& handler);

  boost::asio::ip::tcp::socket socket_;
  wire::Side side_;
  wire::ConnectionCodec codec_;
  PeerCounters& counters_;
  TimePoint started_at_ = std::chrono::steady_clock::now();
  TimePoint last_received_at_ = started_at_;
  DaemonId daemon_;
  FailureDomainId failure_domain_;
  std::string address_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t own_incarnation_ = 0;
  std::deque<std::string> queue_;
  std::size_t queued_bytes_ = 0;
  bool writing_ = false;
  std::array<char, 4096> buffer_;
};

}  // namespace savoryglade
