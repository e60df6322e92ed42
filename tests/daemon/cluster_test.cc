#include <gtest/gtest.h>

#include <string>
#include <thread>

#include "tests/daemon/fleet_fixture.h"

namespace savoryglade {
namespace {

namespace json = boost::json;
using boost::beast::http::verb;

std::uint64_t VersionOf(const json::value& status) {
  return status.at("configuration").at("version").to_number<std::uint64_t>();
}

std::string SourceOf(const json::value& status) {
  return std::string(status.at("configuration").at("source").as_string());
}

// Guards against a change that stays in the failure domain in which it was made.
TEST(Cluster, AChangeReachesAllOfEightDaemonsInFourFailureDomains) {
  FleetFixture fleet;
  fleet.Start(8, 4);
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    ASSERT_EQ(fleet.WaitForStatus(i, 0, 8).first, 200U) << i;
  }
  ASSERT_EQ(fleet.PutConfiguration(5, 0, "a").first, 200U);
  ASSERT_EQ(fleet.PutConfiguration(6, 1, "b").first, 200U)
      << "version 1 must be in the table already";
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    const auto [status, body] = fleet.WaitForStatus(i, 2, 8);
    ASSERT_EQ(status, 200U) << i;
    const auto [code, document] =
        fleet.SendAdministrationRequest(i, verb::get, "/v1/configuration");
    EXPECT_EQ(document.at("upstreams").at(0).at("name"), "b") << i;
  }
}

// Guards against an accepted change that is lost to all but one daemon when the platform goes down.
TEST(Cluster, AChangeAcceptedJustBeforeAnOutageReachesAllThroughPeers) {
  FleetFixture fleet;
  fleet.Start(8, 4);
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    ASSERT_EQ(fleet.WaitForStatus(i, 0, 8).first, 200U) << i;
  }
  ASSERT_EQ(fleet.PutConfiguration(7, 0, "a").first, 200U);
  fleet.platform().SetFaults({.outage = true});
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    const auto [status, body] = fleet.WaitForStatus(i, 1, 8);
    EXPECT_EQ(status, 200U) << i;
  }
  // Without the platform a change is refused and has no effect.
  EXPECT_EQ(fleet.PutConfiguration(0, 1, "b").first, 503U);
  fleet.platform().SetFaults({});
  EXPECT_EQ(fleet.PutConfiguration(0, 1, "c").first, 200U);
}

// Guards against a daemon that serves an older version, or none, after a restart of all daemons
// while the platform is slow.
TEST(Cluster, AfterARestartOfAllNoneServesAnOlderVersion) {
  FleetFixture fleet;
  fleet.Start(4, 2);
  ASSERT_EQ(fleet.WaitForStatus(0, 0, 4).first, 200U);
  ASSERT_EQ(fleet.PutConfiguration(0, 0, "a").first, 200U);
  ASSERT_EQ(fleet.PutConfiguration(1, 1, "b").first, 200U);
  fleet.StopAll();
  fleet.Start(4, 2, {.delay = 300ms});
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    // Until it is ready a daemon answers callers with 503; the first configuration that it serves
    // must be the newest.
    while (true) {
      const unsigned ready = FleetFixture::SendRequest(fleet.daemon(i).callers_endpoint(),
                                                       verb::get, "/readyz", "", "")
                                 .first;
      const auto [code, document] =
          fleet.SendAdministrationRequest(i, verb::get, "/v1/configuration");
      if (ready == 200U) {
        EXPECT_EQ(document.at("version").to_number<std::uint64_t>(), 2U) << i;
        break;
      }
    }
    const auto [status, body] = fleet.WaitForStatus(i, 2, 1);
    EXPECT_NE(SourceOf(body), "none") << i;
  }
}

// Guards against a daemon that becomes ready without table and peers, and one that stays unready
// although its peers can tell it the configuration.
TEST(Cluster, WithoutThePlatformADaemonStartsFromItsPeers) {
  FleetFixture fleet;
  fleet.Start(2, 1);
  ASSERT_EQ(fleet.WaitForStatus(0, 0, 2).first, 200U);
  ASSERT_EQ(fleet.PutConfiguration(0, 0, "a").first, 200U);
  ASSERT_EQ(fleet.WaitForStatus(1, 1, 2).first, 200U);
  fleet.platform().SetFaults({.outage = true});
  Settings settings;
  settings.daemon = DaemonId("daemon-9");
  settings.failure_domain = FailureDomainId("domain-1");
  settings.callers_address = settings.administration_address = settings.peers_address =
      "127.0.0.1:0";
  settings.platform_kind = PlatformKind::kHttp;
  settings.platform_address = "127.0.0.1:1";
  settings.peers = {{.daemon = DaemonId("daemon-1"),
                     .failure_domain = FailureDomainId("domain-1"),
                     .address = ToString(fleet.daemon(0).peers_endpoint())}};
  Daemon late(settings);
  ASSERT_TRUE(late.Start());
  const auto [status, body] =
      FleetFixture::SendRequest(late.administration_endpoint(), verb::get,
                                "/v1/status?wait_for_version=1&wait_for_members=3", "", "");
  EXPECT_EQ(status, 200U);
  EXPECT_EQ(SourceOf(body), "peer");
  EXPECT_EQ(VersionOf(body), 1U);
}

// Guards against two operators of whom the second overwrites the first without seeing it.
TEST(Cluster, OfTwoRacingOperatorsOneGetsAConflictWithTheNames) {
  FleetFixture fleet;
  fleet.Start(2, 2, {.delay = 20ms});
  ASSERT_EQ(fleet.WaitForStatus(0, 0, 2).first, 200U);
  ASSERT_EQ(fleet.WaitForStatus(1, 0, 2).first, 200U);
  std::pair<unsigned, json::value> first;
  std::thread other([&] { first = fleet.PutConfiguration(0, 0, "a"); });
  const auto second = fleet.PutConfiguration(1, 0, "b");
  other.join();
  ASSERT_EQ(first.first + second.first, 200U + 409U);
  const json::value& lost = first.first == 409U ? first.second : second.second;
  const std::string winner = first.first == 409U ? "upstreams.b" : "upstreams.a";
  EXPECT_EQ(lost.at("changed"), (json::array{"services.assistant", winner}));
  EXPECT_EQ(lost.at("version").to_number<int>(), 1);
}

// Guards against a change without the version it started from, and one that is not valid.
TEST(Cluster, AChangeNeedsAVersionAndAValidDocument) {
  FleetFixture fleet;
  fleet.Start(1, 1);
  ASSERT_EQ(fleet.WaitForStatus(0, 0, 1).first, 200U);
  EXPECT_EQ(fleet
                .SendAdministrationRequest(0, verb::put, "/v1/configuration",
                                           FleetFixture::MakeDocument("a"))
                .first,
            428U);
  EXPECT_EQ(
      fleet.SendAdministrationRequest(0, verb::put, "/v1/configuration", R"({"services": 3})", "0")
          .first,
      400U);
  EXPECT_EQ(VersionOf(fleet.SendAdministrationRequest(0, verb::get, "/v1/status").second), 0U);
}

// One end of a connection to a daemon, as a peer speaks.
class PeerClient {
 public:
  PeerClient(const Endpoint& peers, const std::string& daemon, const std::string& domain,
             std::uint8_t nonce)
      : codec_("", wire::Side::kDialer, wire::Nonce{nonce}) {
    socket_.connect({boost::asio::ip::make_address(peers.address), peers.port});
    wire::HelloT hello;
    hello.daemon = daemon;
    hello.failure_domain = domain;
    hello.incarnation = 1;
    boost::asio::write(socket_, boost::asio::buffer(codec_.SealHello(hello)));
    EXPECT_NE(Receive().body.AsHello(), nullptr);
  }

  void Send(const wire::HeartbeatT& heartbeat) {
    boost::asio::write(socket_, boost::asio::buffer(*codec_.Seal(wire::MakeMessage(heartbeat))));
  }

  // Returns the next message, or an empty one if the connection ended or the frame is refused.
  wire::MessageT Receive() {
    while (true) {
      Result<std::optional<wire::MessageT>> message = codec_.Next();
      if (!message) {
        ADD_FAILURE() << message.error().message;
        return {};
      }
      if (*message) {
        return std::move(**message);
      }
      std::string bytes(65536, '\0');
      boost::system::error_code error;
      bytes.resize(socket_.read_some(boost::asio::buffer(bytes), error));
      if (error) {
        ADD_FAILURE() << error.message();
        return {};
      }
      codec_.Append(bytes);
    }
  }

 private:
  boost::asio::io_context context_;
  boost::asio::ip::tcp::socket socket_{context_};
  wire::ConnectionCodec codec_;
};

// Guards against a daemon that can't join a large fleet because the representative's first frame
// carries the view of it, which is larger than a frame may be before authentication.
TEST(Cluster, ADaemonJoinsAFleetWhoseViewIsLarge) {
  FleetFixture fleet;
  fleet.platform().state().PutVm({.vm = VmId("daemon-9"),
                                  .failure_domain = FailureDomainId("domain-1"),
                                  .daemon = DaemonId("daemon-9"),
                                  .peers_address = "127.0.0.1:1"});
  fleet.Start(1, 1);
  // The fault needs a daemon that is listed before it connects.
  while (fleet.SendAdministrationRequest(0, verb::get, "/v1/status")
             .second.at("members")
             .as_array()
             .size() < 2) {
  }
  const Endpoint& peers = fleet.daemon(0).peers_endpoint();
  PeerClient remote(peers, "remote", "domain-2", 1);
  wire::HeartbeatT view;
  view.incarnation = 1;
  remote.Send(view);
  view.representative = true;
  view.view_sequence = 1;
  for (int i = 0; i < 200; ++i) {
    auto member = std::make_unique<wire::MemberT>();
    member->daemon = "a-daemon-with-a-long-name-" + std::to_string(i);
    member->failure_domain = "domain-2";
    member->incarnation = 1;
    view.members.push_back(std::move(member));
  }
  remote.Send(view);
  ASSERT_EQ(fleet.WaitForStatus(0, 0, 202).first, 200U);
  PeerClient joining(peers, "daemon-9", "domain-1", 2);
  wire::MessageT message = joining.Receive();
  ASSERT_NE(message.body.AsHeartbeat(), nullptr);
  wire::HeartbeatT heartbeat;
  heartbeat.incarnation = 1;
  joining.Send(heartbeat);
  // The view comes once the connection is authenticated in both directions.
  while (message.body.AsHeartbeat() != nullptr && message.body.AsHeartbeat()->members.empty()) {
    message = joining.Receive();
  }
  ASSERT_NE(message.body.AsHeartbeat(), nullptr);
  EXPECT_EQ(message.body.AsHeartbeat()->members.size(), 201U);
}

// Guards against a stranger without the fleet key that becomes a member.
TEST(Cluster, ADaemonWithAnotherKeyIsNoMember) {
  FleetFixture fleet;
  fleet.Start(1, 1);
  ASSERT_EQ(fleet.WaitForStatus(0, 0, 1).first, 200U);
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket(context);
  const Endpoint& peers = fleet.daemon(0).peers_endpoint();
  socket.connect({boost::asio::ip::make_address(peers.address), peers.port});
  wire::ConnectionCodec codec("another key", wire::Side::kDialer, wire::Nonce{});
  boost::asio::write(socket, boost::asio::buffer(codec.SealHello({})));
  // The daemon closes the connection; until then it sends no more than its Hello.
  std::string received;
  boost::system::error_code error;
  boost::asio::read(socket, boost::asio::dynamic_buffer(received), error);
  EXPECT_TRUE(error);
  EXPECT_LT(received.size(), 512U);
  const auto [status, body] = fleet.SendAdministrationRequest(0, verb::get, "/v1/status");
  EXPECT_EQ(body.at("members").as_array().size(), 1U);
}

}  // namespace
}  // namespace savoryglade
