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

namespace savoryglade::gateway {

// Exchanges reports with the other daemons by UDP, along the groups of the fleet. Daemons find each
// other by rows in the store; a daemon whose report arrives first is answered without its row.
class PeerReportTransport {
 public:
  // Called with each report that was brought into the fleet state.
  using ReportCallback = std::function<void(const FleetReport&)>;

  PeerReportTransport(FleetState& fleet, FleetStore& store, ReportCallback on_report);

  // Opens the socket. The error names the endpoint.
  Result<void> Open(boost::asio::io_context& context);

  // Loops that run until their context stops.
  boost::asio::awaitable<void> SendLoop();
  boost::asio::awaitable<void> ReceiveLoop();
  // Writes this daemon's row and reads those of the others.
  boost::asio::awaitable<void> RegisterLoop();

  // Sends the group what this daemon has read, or that it has new routes, without waiting for the
  // next report.
  void Publish(std::optional<FeedUpdate> feed_update);

 private:
  struct Peer {
    boost::asio::ip::udp::endpoint endpoint;
    // When a report of it or a new version of its row was last seen.
    TimePoint seen{};
    std::uint64_t incarnation = 0;
    std::uint64_t row_version = 0;
  };

  // Sends the group a report with news, in as many parts as they need.
  boost::asio::awaitable<void> SendFeedUpdate(std::optional<FeedUpdate> feed_update);
  // Sends a report to each of these daemons, a few at a time.
  boost::asio::awaitable<void> Send(const FleetReport& report, std::vector<DaemonId> receivers);
  bool SendDatagram(const std::string& datagram, const DaemonId& receiver);
  void ExpirePeers(TimePoint now);
  void RemovePeer(const DaemonId& daemon);
  // Gives up the reports that belong to the role that this daemon no longer has.
  void UpdateRole(TimePoint now);
  // Whether a report is for a daemon in this one's place.
  bool IsRelevant(const FleetReport& report, TimePoint now) const;
  void HandleReport(const FleetReport& report, const boost::asio::ip::udp::endpoint& from,
                    TimePoint now);
  void HandlePeerRow(const std::string& key, const provider::Row& row, TimePoint now);
  Duration RegisterInterval() const;

  FleetState& fleet_;
  FleetStore& store_;
  ReportExchange exchange_;
  ReportCallback on_report_;
  std::unique_ptr<boost::asio::ip::udp::socket> socket_;
  std::map<DaemonId, Peer> peers_;
  bool grouped_ = false;
  bool representative_ = false;
  // When slowly changing facts were last sent.
  TimePoint full_report_sent_at_{};
};

}  // namespace savoryglade::gateway
