#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "core/boot_clock.h"
#include "logging/logger.h"
#include "tests/gateway/gateway_fixture.h"

namespace savoryglade::gateway {
namespace {

// Keeps the lines that are logged for as long as it lives.
class LogCapture {
 public:
  LogCapture() {
    Logger::SetSink([this](const std::string& line) {
      const std::lock_guard lock(mutex_);
      lines_.push_back(line);
    });
  }
  ~LogCapture() { Logger::SetSink(nullptr); }
  LogCapture(const LogCapture&) = delete;
  LogCapture& operator=(const LogCapture&) = delete;

  // Returns the lines that have both texts.
  std::vector<std::string> Find(const std::string& message, const std::string& field) const {
    const std::lock_guard lock(mutex_);
    std::vector<std::string> found;
    std::ranges::copy_if(lines_, std::back_inserter(found), [&](const std::string& line) {
      return line.find(message) != std::string::npos && line.find(field) != std::string::npos;
    });
    return found;
  }

 private:
  mutable std::mutex mutex_;
  std::vector<std::string> lines_;
};

// The capture is constructed before any thread logs, and destroyed after all have ended.
class RequestEndLogTest : protected LogCapture, public GatewayFixture {
 protected:
  static constexpr const char* kCutOff = "A request was cut off without its whole answer.";
  // More than the rate limit admits in one window.
  static constexpr int kRequests = 60;

  RequestEndLogTest() {
    PutRoutes(1);
    WaitUntilReady();
  }
};

// Guards against requests without a whole answer that no line names, because others end alike at
// the same time.
TEST_F(RequestEndLogTest, EachRequestThatIsCutOffHasALine) {
  SetFaults(WorkerFault::kTruncateStream, 2 * kRequests);
  std::vector<std::unique_ptr<CallerConnection>> callers;
  for (int i = 0; i < kRequests; ++i) {
    callers.push_back(std::make_unique<CallerConnection>(gateway_->callers_endpoint()));
    // Each has a path of its own, so that none is refused as one that crashes upstreams.
    callers.back()->Send(FormatRequest("POST", fmt::format("/once/stream/{}", i),
                                       fmt::format("c{}-", i), kApiKey, "prompt"));
    EXPECT_FALSE(callers.back()->ReadAll());
  }
  // The line precedes the end of the connection.
  for (int i = 0; i < kRequests; ++i) {
    if (callers[static_cast<std::size_t>(i)]->status() == 200) {
      EXPECT_EQ(Find(kCutOff, fmt::format("request=c{}- ", i)).size(), 1U) << i;
    }
  }
  EXPECT_GT(Find(kCutOff, "cause=rejected").size(), 20U);
}

// Upstream that sends a body of many megabytes.
struct LongBodyService {
  static boost::asio::awaitable<void> Handle(HttpExchange& exchange) {
    HttpHeaders headers;
    headers.emplace_back("Attempt-Id", std::string(exchange.Header("Attempt-Id")));
    headers.emplace_back("Response-Seal", "seal");
    const std::string chunk(1024 * 1024, 'x');
    bool open = co_await exchange.StartStream(200, std::move(headers), chunk);
    for (int i = 0; open && i < 256; ++i) {
      open = co_await exchange.WriteChunk(chunk);
    }
    exchange.Abort();
  }
};

// Guards against a request that ends with the process and that no line names.
TEST_F(RequestEndLogTest, RequestInProgressWhenTheDaemonExitsHasALine) {
  ServiceServer<LongBodyService> upstream;
  RegisterWorker(0, "draining");
  RegisterWorker(1, "draining");
  RegisterUpstream("worker-long", upstream.endpoint, "ready");
  FleetBounds bounds = TestBounds();
  bounds.stop_grace = 100ms;
  bounds.balancer_delay = 10ms;
  gateway_.reset();
  gateway_ = MakeGateway("daemon-1", store_.endpoint, bounds);
  WaitUntilReady();
  // The caller reads only the beginning, so that the gateway's writes do not end.
  CallerConnection caller(gateway_->callers_endpoint());
  caller.Send(FormatRequest("GET", "/reads/1", "long"));
  caller.ReadUntil([](const std::string& body) { return !body.empty(); });
  gateway_->BeginDrain(BootNow());
  while (!gateway_->DrainFinished()) {
    std::this_thread::yield();
  }
  EXPECT_EQ(Find(kCutOff, "request=long ").size(), 1U);
}

// Guards against a caller that leaves and is taken for one that was cut off.
TEST_F(RequestEndLogTest, CallerThatLeavesIsNotCutOff) {
  SetFaults(WorkerFault::kNoResponse, 1);
  {
    CallerConnection caller(gateway_->callers_endpoint());
    caller.Send(FormatRequest("POST", "/orders/1", "left"));
    while (RunCount("left") == 0) {
    }
  }
  while (Find("A caller left before its answer.", "request=left ").empty()) {
    std::this_thread::yield();
  }
  EXPECT_TRUE(Find(kCutOff, "request=left ").empty());
}

// Guards against a daemon that ends because a caller leaves before its request has a route.
TEST_F(RequestEndLogTest, CallerThatLeavesBeforeTheRoutesAreKnownIsLogged) {
  ServiceServer<StoreService> empty_store;
  const std::unique_ptr<Gateway> gateway = MakeGateway("daemon-2", empty_store.endpoint);
  // So many that the daemon still answers them when it gets the reset.
  constexpr int kRequestsAhead = 5000;
  std::string requests;
  for (int i = 0; i < kRequestsAhead; ++i) {
    requests += FormatRequest("GET", "/reads/1", fmt::format("p{}", i));
  }
  // A close with unread responses resets the connection while the daemon answers further requests.
  for (int i = 0; i < 200 && Find("A caller left before its answer.", "route=-").empty(); ++i) {
    CallerConnection caller(gateway->callers_endpoint());
    caller.Send(requests);
    caller.ReadUntil([](const std::string&) { return true; });
    caller.Close();
  }
  EXPECT_FALSE(Find("A caller left before its answer.", "route=-").empty());
}

}  // namespace
}  // namespace savoryglade::gateway
