#pragma once

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "emulator/emulated_link.h"
#include "tests/gateway/gateway_fixture.h"

namespace savoryglade::gateway {

// A gateway whose workers say in their answers what they want.
class SignalFixture : public GatewayFixture {
 protected:
  static constexpr const char* kPartitionedAddress = "127.0.0.2";
  static constexpr const char* kPeerAddress = "127.0.0.3";

  SignalFixture() {
    PutRoutes(1);
    WaitUntilReady();
  }

  WorkerService& Worker(std::size_t i) { return workers_[i]->service; }

  // Returns an id that no other request has.
  std::string NewAttempt() { return fmt::format("u{}", ++attempts_); }

  // Sends requests until the worker has received one more.
  void SendUntilReceivedBy(const WorkerService& worker, const std::string& path = "/reads/1") {
    const bool is_stream = path.starts_with("/stream/");
    for (const int arrivals = worker.arrivals(); worker.arrivals() == arrivals;) {
      SendRequest(is_stream ? "POST" : "GET", path, NewAttempt());
    }
  }

  // Leaves only the first worker, behind this link, and starts the gateway again without a path to
  // it. Returns a peer that has one.
  std::unique_ptr<Gateway> StartBehindPeer(EmulatedLink& link) {
    gateway_.reset();
    store_.service.Remove("servers", WorkerName(1));
    RegisterUpstream(WorkerName(0), link.endpoint(), "ready");
    auto peer = MakeGateway("daemon-2", store_.endpoint, TestBounds(), kPeerAddress);
    gateway_ = MakeGateway("daemon-1", store_.endpoint, TestBounds(), kPartitionedAddress);
    WaitUntilReady();
    WaitUntilReady(*peer);
    link.SetPartitioned({kPartitionedAddress}, true);
    return peer;
  }

  // Sends requests to a peer, which must reject them without passing them on to the first worker.
  void ExpectNothingSentBy(const Gateway& peer) {
    const int arrivals = Worker(0).arrivals();
    for (int i = 0; i < 10; ++i) {
      EXPECT_EQ(
          SendText(peer.callers_endpoint(), FormatRequest("GET", "/reads/1", NewAttempt())).status,
          503U);
    }
    EXPECT_EQ(Worker(0).arrivals(), arrivals);
  }

 private:
  int attempts_ = 0;
};

}  // namespace savoryglade::gateway
