#include <fmt/format.h>
#include <gtest/gtest.h>

#include <atomic>
#include <boost/beast/http/verb.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "emulator/emulated_link.h"
#include "net/http_client.h"
#include "net/tunnel.h"
#include "routing/fleet_load_balancer.h"
#include "tests/gateway/routes_peer.h"

namespace savoryglade::gateway {
namespace {

constexpr const char* kPartitionedAddress = "127.0.0.2";
// Requests of one test.
constexpr int kRequests = 40;
// Requests that may fail while the daemon learns what its peer relays.
constexpr int kMaxFailures = 2;

// Formats a notice of the upstream with this name and address.
using NoticeFormat = std::function<std::string(const std::string&, const std::string&)>;

std::string ProcessKeyText(const std::string& name, const std::string& address) {
  return fmt::format("{:016x}",
                     FleetLoadBalancer::ProcessKeyOf({.id = UpstreamId(name), .address = address}));
}

// Peer that refuses tunnels to the upstream that it is asked for first and relays to all others.
class RefusingPeer {
 public:
  // The notice in its refusals is left out if it is empty.
  explicit RefusingPeer(unsigned status, NoticeFormat notice = {})
      : status_(status), notice_(std::move(notice)) {}

  boost::asio::awaitable<void> Handle(HttpExchange& exchange) {
    exchange.CloseAfterResponse();
    if (exchange.request().method() != boost::beast::http::verb::connect) {
      co_await exchange.Respond(404, {}, {});
      co_return;
    }
    const std::string name(exchange.Header(kTunnelTargetHeader));
    if (refused_.empty()) {
      refused_ = name;
    }
    if (name == refused_) {
      ++refusals_;
      HttpHeaders headers;
      if (notice_) {
        headers.emplace_back(kTunnelNoticeHeader, notice_(name, std::string(exchange.target())));
      }
      co_await exchange.Respond(status_, std::move(headers), {});
      co_return;
    }
    const Result<Endpoint> target = ParseEndpoint(exchange.target());
    const auto upstream = co_await HttpConnection::Connect(*target, 1s);
    if (upstream && co_await exchange.Respond(200, {}, {})) {
      co_await RelayBytes(exchange.stream(), (*upstream)->stream(), 10s);
    }
  }

  int refusals() const { return refusals_; }

 private:
  std::string refused_;
  unsigned status_;
  NoticeFormat notice_;
  std::atomic<int> refusals_{0};
};

// A daemon without a path to its upstreams whose only peer refuses tunnels to one of them.
class TunnelRefusalTest : public RoutesPeerFixture {
 protected:
  TunnelRefusalTest() {
    gateway_.reset();
    PutRoutes(1);
    for (int i = 0; i < 2; ++i) {
      const auto index = static_cast<std::size_t>(i);
      links_.push_back(std::make_unique<EmulatedLink>(workers_[index]->endpoint));
      RegisterUpstream(WorkerName(i), links_[index]->endpoint(), "ready");
    }
    gateway_ = MakeGateway("daemon-1", store_.endpoint, TestBounds(), kPartitionedAddress);
    WaitUntilReady();
  }

  // Sends requests until this peer has refused a tunnel. Returns the number of those after it that
  // are served.
  int ServeThrough(const ServiceServer<RefusingPeer>& peer) {
    const Endpoint reports = ReportsEndpoint("daemon-1");
    for (const auto& link : links_) {
      link->SetPartitioned({kPartitionedAddress}, true);
    }
    int served = 0;
    for (int i = 0, counted = 0; counted < kRequests; ++i) {
      const bool has_refused = peer.service.refusals() > 0;
      ReportRoutes(reports, 1, peer.endpoint);
      const bool is_served = SendRequest("GET", "/reads/1", fmt::format("r{}", i)).status == 200;
      served += has_refused && is_served ? 1 : 0;
      counted += has_refused ? 1 : 0;
    }
    return served;
  }

  std::vector<std::unique_ptr<EmulatedLink>> links_;
};

// Guards against a peer that is asked for no upstream of the service because one of them leaves, or
// is not known to it. A peer of an earlier build answers 404 in both cases.
TEST_F(TunnelRefusalTest, PeerThatDoesNotKnowOneUpstreamRelaysToOthers) {
  const ServiceServer<RefusingPeer> peer(kTunnelUnknownStatus);
  EXPECT_GE(ServeThrough(peer), kRequests - kMaxFailures);
}

TEST_F(TunnelRefusalTest, PeerOfWhichOneUpstreamWantsNothingRelaysToOthers) {
  const ServiceServer<RefusingPeer> peer(kTunnelUnwantedStatus);
  EXPECT_GE(ServeThrough(peer), kRequests - kMaxFailures);
}

// Guards against a daemon that goes on asking for an upstream of which its peer knows that it
// leaves.
TEST_F(TunnelRefusalTest, DaemonLearnsFromTheRefusalThatTheUpstreamLeaves) {
  const ServiceServer<RefusingPeer> peer(kTunnelUnwantedStatus, ProcessKeyText);
  EXPECT_GE(ServeThrough(peer), kRequests - kMaxFailures);
  EXPECT_EQ(peer.service.refusals(), 1);
  EXPECT_NE(Metrics().find(R"(upstream_signals_total{signal="leaving"} 1)"), std::string::npos);
}

// Guards against an unreadable notice that is taken for that of some process.
TEST_F(TunnelRefusalTest, UnreadableNoticeIsIgnored) {
  const ServiceServer<RefusingPeer> peer(
      kTunnelUnwantedStatus, [](const std::string&, const std::string&) { return "soon"; });
  EXPECT_GE(ServeThrough(peer), kRequests - kMaxFailures);
  EXPECT_EQ(Metrics().find(R"(upstream_signals_total{signal="leaving"})"), std::string::npos);
}

// Guards against an answer that blames this daemon for an upstream that leaves.
TEST_F(TunnelRefusalTest, UpstreamThatLeavesIsRefusedLikeOneThatWantsNothing) {
  gateway_.reset();
  gateway_ = MakeGateway("daemon-2", store_.endpoint);
  WaitUntilReady();
  workers_[0]->service.SetSignals({{"Server-Leaving", "1"}});
  for (int i = 0; workers_[0]->service.arrivals() == 0; ++i) {
    SendRequest("GET", "/reads/1", fmt::format("l{}", i));
  }
  CallerConnection connection(gateway_->peers_endpoint());
  connection.Send(fmt::format("CONNECT {0} HTTP/1.1\r\nHost: {0}\r\n{1}: {2}\r\n\r\n",
                              ToString(links_[0]->endpoint()), kTunnelTargetHeader, WorkerName(0)));
  connection.ReadAll();
  EXPECT_EQ(connection.status(), kTunnelUnwantedStatus);
  EXPECT_EQ(connection.Header(kTunnelNoticeHeader),
            ProcessKeyText(WorkerName(0), ToString(links_[0]->endpoint())));
}

}  // namespace
}  // namespace savoryglade::gateway
