#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <map>
#include <string>

#include "core/error.h"
#include "gateway/adapter.h"
#include "gateway/fleet_state.h"

namespace savoryglade::gateway {

// Exchanges digests with the other daemons by UDP. Daemons find each other by rows in the store; a
// daemon whose digest arrives first is answered without its row.
class PeerDigests {
 public:
  PeerDigests(FleetState& fleet, FleetStore& store);

  // Opens the socket. The error names the endpoint.
  Result<void> Open(boost::asio::io_context& context);

  // Loops that run until their context stops.
  boost::asio::awaitable<void> SendLoop();
  boost::asio::awaitable<void> ReceiveLoop();
  // Writes this daemon's row and reads those of the others.
  boost::asio::awaitable<void> RegisterLoop();

  // Daemons of the fleet, with this one.
  int daemons() const { return static_cast<int>(peers_.size()) + 1; }

 private:
  struct Peer {
    boost::asio::ip::udp::endpoint endpoint;
    // When its digest or a new version of its row was last seen.
    TimePoint seen{};
    std::uint64_t row_version = 0;
  };

  void SendDigest();
  void Expire(TimePoint now);
  void TakeRow(const std::string& key, const provider::Row& row, TimePoint now);

  FleetState& fleet_;
  FleetStore& store_;
  std::unique_ptr<boost::asio::ip::udp::socket> socket_;
  std::map<DaemonId, Peer> peers_;
};

}  // namespace savoryglade::gateway
