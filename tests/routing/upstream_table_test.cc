#include "routing/upstream_table.h"

#include "gtest/gtest.h"

namespace savoryglade {
namespace {

Configuration TwoUpstreams() {
  Configuration configuration;
  for (const char* name : {"a", "b"}) {
    UpstreamConfig upstream;
    upstream.name = UpstreamId(name);
    upstream.service = ServiceId("assistant");
    upstream.concurrency = 1;
    configuration.upstreams.push_back(upstream);
  }
  return configuration;
}

// Guards against new work for an upstream after the notice that it leaves.
TEST(UpstreamTableTest, LeavingUpstreamGetsNoNewWork) {
  UpstreamTable table(1);
  const TimePoint now{};
  table.Configure(TwoUpstreams(), now);
  table.OnNotice(UpstreamId("a"), true, now);
  const auto chosen = table.Select({.service = ServiceId("assistant")}, now);
  ASSERT_TRUE(chosen);
  EXPECT_EQ(*chosen, UpstreamId("b"));
  EXPECT_FALSE(table.HasCapacity(ServiceId("assistant"), now));
}

}  // namespace
}  // namespace savoryglade
