#include <fmt/format.h>
#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "tests/gateway/signal_fixture.h"

namespace savoryglade::gateway {
namespace {

const HttpHeaders kLeaving = {{"Server-Leaving", "1"}};

// An upstream that says in its answers that it leaves, while its registration stays ready.
class LeavingUpstreamTest : public SignalFixture {
 protected:
  // Sends requests of all kinds, which must be served.
  void ServeRequests(const Gateway& gateway) {
    for (int i = 0; i < 20; ++i) {
      for (const char* path : {"/reads/1", "/orders/1", "/stream/1"}) {
        const Response response =
            SendText(gateway.callers_endpoint(), FormatRequest("POST", path, NewAttempt()));
        EXPECT_EQ(response.status, 200U) << path;
      }
    }
  }

  // Changes the registrations and waits until the gateway has read the change.
  void ReadRegistrationsAgain() {
    workers_.push_back(std::make_unique<ServiceServer<WorkerService>>(WorkerName(2)));
    RegisterWorker(0, "ready");
    RegisterWorker(2, "ready");
    SendUntilReceivedBy(Worker(2));
  }
};

// Guards against requests to an upstream that has said in an answer that it leaves.
TEST_F(LeavingUpstreamTest, NoticeInAnAnswerEndsItsRequests) {
  Worker(0).SetSignals(kLeaving);
  SendUntilReceivedBy(Worker(0));
  const int arrivals = Worker(0).arrivals();
  ServeRequests(*gateway_);
  EXPECT_EQ(Worker(0).arrivals(), arrivals);
}

TEST_F(LeavingUpstreamTest, NoticeInTheHeadOfAStreamEndsItsRequests) {
  Worker(0).SetSignals(kLeaving);
  SendUntilReceivedBy(Worker(0), "/stream/1");
  const int arrivals = Worker(0).arrivals();
  ServeRequests(*gateway_);
  EXPECT_EQ(Worker(0).arrivals(), arrivals);
}

TEST_F(LeavingUpstreamTest, NoticeInARejectionEndsItsRequests) {
  Worker(0).SetSignals(kLeaving);
  Worker(0).SetFault(WorkerFault::kRejectNotExecuted, 1);
  SendUntilReceivedBy(Worker(0));
  const int arrivals = Worker(0).arrivals();
  // A rejection alone also keeps requests away for a short time.
  for (int i = 0; i < 40; ++i) {
    ServeRequests(*gateway_);
  }
  EXPECT_EQ(Worker(0).arrivals(), arrivals);
}

TEST_F(LeavingUpstreamTest, NoticeHoldsWhileTheStoreIsAway) {
  store_.service.SetFaults({.outage = true});
  Worker(0).SetSignals(kLeaving);
  SendUntilReceivedBy(Worker(0));
  const int arrivals = Worker(0).arrivals();
  ServeRequests(*gateway_);
  EXPECT_EQ(Worker(0).arrivals(), arrivals);
}

// Guards against a registration that is read later and takes the notice back.
TEST_F(LeavingUpstreamTest, RegistrationDoesNotTakeTheNoticeBack) {
  Worker(0).SetSignals(kLeaving);
  SendUntilReceivedBy(Worker(0));
  const int arrivals = Worker(0).arrivals();
  ReadRegistrationsAgain();
  ServeRequests(*gateway_);
  EXPECT_EQ(Worker(0).arrivals(), arrivals);
}

// Guards against a notice that binds the next process under the same id.
TEST_F(LeavingUpstreamTest, NewProcessUnderTheIdIsUsed) {
  Worker(0).SetSignals(kLeaving);
  SendUntilReceivedBy(Worker(0));
  Worker(0).SetSignals({});
  store_.service.Put("servers", WorkerName(0),
                     fmt::format(R"({{"service":"s","address":"{}","zone":"verona","slots":4,)"
                                 R"("state":"ready","born":1796536800000}})",
                                 ToString(workers_[0]->endpoint)));
  SendUntilReceivedBy(Worker(0));
}

// Guards against a notice of the process that has taken over the address of an upstream.
TEST_F(LeavingUpstreamTest, ProcessOfAnotherUpstreamDoesNotSpeakForIt) {
  ServiceServer<WorkerService> other("other");
  other.service.SetSignals(kLeaving);
  RegisterUpstream("worker-3", other.endpoint, "ready");
  SendUntilReceivedBy(other.service);
  EXPECT_EQ(Metrics().find(R"(upstream_signals_total{signal="leaving"})"), std::string::npos);
}

// Guards against a stream that stays at an upstream that says in the stream's head that it leaves.
TEST_F(LeavingUpstreamTest, StreamContinuesElsewhere) {
  Worker(0).SetSignals(kLeaving);
  Worker(0).SetFault(WorkerFault::kWaitForMigration, 1);
  std::string body;
  for (int i = 0; Worker(0).arrivals() == 0; ++i) {
    body = SendRequest("POST", "/stream/1", fmt::format("m{}", i)).body;
  }
  EXPECT_EQ(body, CompleteStream());
  EXPECT_EQ(Worker(1).migrated_runs(), 1);
}

// Guards against a daemon that uses an upstream of which its peers know that it leaves.
TEST_F(LeavingUpstreamTest, PeersKnowOfTheNotice) {
  const auto peer = MakeGateway("daemon-2", store_.endpoint);
  WaitUntilReady(*peer);
  Worker(0).SetSignals(kLeaving);
  SendUntilReceivedBy(Worker(0));
  const std::string known = R"(upstream_signals_total{signal="leaving"} 1)";
  while (SendText(peer->metrics_endpoint(), "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n")
             .body.find(known) == std::string::npos) {
  }
  const int arrivals = Worker(0).arrivals();
  ServeRequests(*peer);
  EXPECT_EQ(Worker(0).arrivals(), arrivals);
}

// Guards against a relaying daemon that does not know what the answers that it relays say.
TEST_F(LeavingUpstreamTest, RelayingPeerReadsTheNotice) {
  EmulatedLink link(workers_[0]->endpoint);
  const auto peer = StartBehindPeer(link);
  Worker(0).SetSignals(kLeaving);
  SendUntilReceivedBy(Worker(0));
  gateway_.reset();
  ExpectNothingSentBy(*peer);
}

}  // namespace
}  // namespace savoryglade::gateway
