#include <array>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "tests/daemon/daemon_fixture.h"

namespace savoryglade {
namespace {

constexpr int kTokens = 40;

UpstreamClientOptions ShortTimeouts() {
  UpstreamClientOptions options;
  options.silence_timeout = 50ms;
  options.pool.health_timeout = 50ms;
  return options;
}

// Guards against a request that is refused as one that ends its upstreams, because this daemon gave
// up three upstreams that were silent while they ran it.
TEST(SilenceTest, SilentUpstreamsAreNoCrashes) {
  std::array<EngineServer, 4> engines;
  std::vector<Endpoint> endpoints;
  for (EngineServer& engine : engines) {
    engine.engine.SetFault(EngineFault::kStall);
    endpoints.push_back(engine.endpoint);
  }
  const auto daemon =
      StartDaemon({.engines = endpoints, .dependencies = {.path = ShortTimeouts()}});
  CallerConnection during(daemon->callers_endpoint());
  during.Send(MakeChatRequest(kTokens));
  EXPECT_TRUE(during.ReadAll());
  EXPECT_EQ(during.Header("Savoryglade-Reason"), "upstream_lost");
  for (EngineServer& engine : engines) {
    engine.engine.SetFault(EngineFault::kNone);
  }
  MetricRegistry& metrics = daemon->metrics();
  EXPECT_EQ(metrics.GetCounter("savoryglade_crash_refusals_total").value(), 0U);
  CallerConnection after(daemon->callers_endpoint());
  after.Send(MakeChatRequest(kTokens));
  EXPECT_TRUE(after.ReadAll());
  EXPECT_EQ(after.status(), 200U) << after.body();
}

}  // namespace
}  // namespace savoryglade
