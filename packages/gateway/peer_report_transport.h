#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/error.h"
#include "gateway/adapter.h"
#include "gateway/fleet_report.h"
#include "gateway/fleet_state.h"
#include "gateway/report_exchange.h"
#include "membership/report_delay.h"

namespace savoryglade::gateway {

// Exchanges reports with the other daemons over UDP, following the groups of the fleet. Daemons
// discover each other through rows in the store, or through a report that arrives before the row.
class PeerReportTransport {
 public:
  // Called with each report that has been applied to the fleet state.
  using ReportCallback = std::function<void(const FleetReport&)>;

  // Called when reports of a daemon of the group arrive for the first time or after a pause, with
  // the endpoint at which it responds to requests.
  using PeerReturnedCallback = std::function<void(const Endpoint&)>;

  PeerReportTransport(FleetState& fleet, FleetStore& store, ReportCallback on_report,
                      PeerReturnedCallback on_peer_returned);

  // Binds the socket. The error names the endpoint.
  Result<void> Open(boost::asio::io_context& context);

  // Loops that run until their context stops.
  boost::asio::awaitable<void> SendLoop();
  boost::asio::awaitable<void> ReceiveLoop();
  // Writes this daemon's row and reads the rows of the others.
  boost::asio::awaitable<void> RegisterLoop();

  // Sends the group an update of the registrations, or without one the new version of the routes,
  // without waiting for the next report.
  void Publish(std::optional<FeedUpdate> feed_update);

 private:
  struct Peer {
    boost::asio::ip::udp::endpoint endpoint;
    // Time at which a report of the peer or a new version of its row was last received.
    TimePoint last_seen{};
    // Time of the last report that was applied.
    TimePoint last_report{};
    std::uint64_t incarnation = 0;
    std::uint64_t row_version = 0;
  };

  // Sends the group reports with the update, split into several datagrams if necessary.
  boost::asio::awaitable<void> SendFeedUpdate(std::optional<FeedUpdate> feed_update);
  // Sends a report to each of these daemons, in bursts.
  boost::asio::awaitable<void> Send(const FleetReport& report, std::vector<DaemonId> receivers);
  // Returns false if the receiver is unknown or the datagram cannot be sent.
  bool SendDatagram(const std::string& datagram, const DaemonId& receiver);
  // Returns the time after which a daemon without reports counts as silent.
  Duration SilenceTimeout() const;
  // Removes peers that have been silent for too long, and adapts to the size of the fleet.
  void ExpirePeers(TimePoint now);
  // Removes a daemon from the peers that receive reports.
  void ForgetPeer(const DaemonId& daemon);
  // Also stops to count its usage.
  void RemovePeer(const DaemonId& daemon);
  // Updates this daemon's role in the groups and discards the reports of its previous role.
  void UpdateRole(TimePoint now);
  // Tells the rate limits of upstreams which daemons share them.
  void UpdateRateLimitPeers(TimePoint now);
  // Returns true if this daemon's role makes it a receiver of the report.
  bool IsRelevant(const FleetReport& report, TimePoint now) const;
  // Updates the sender's peer entry and applies the report if it is relevant.
  void HandleReport(const FleetReport& report, const boost::asio::ip::udp::endpoint& from,
                    TimePoint now);
  void HandlePeerRow(const std::string& key, const provider::Row& row, TimePoint now);
  // Returns the time between two writes of this daemon's row, which grows with the fleet.
  Duration RegisterInterval() const;

  FleetState& fleet_;
  FleetStore& store_;
  ReportExchange exchange_;
  ReportDelay report_delay_;
  ReportCallback on_report_;
  PeerReturnedCallback on_peer_returned_;
  std::unique_ptr<boost::asio::ip::udp::socket> socket_;
  std::map<DaemonId, Peer> peers_;
  bool grouped_ = false;
  bool representative_ = false;
  // Time of the last full report.
  TimePoint full_report_sent_at_{};
};

}  // namespace savoryglade::gateway
