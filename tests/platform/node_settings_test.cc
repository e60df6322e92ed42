#include "platform/node_settings.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace savoryglade::platform {
namespace {

constexpr const char* kText = R"(node_name=edge-verona-1
role=daemon
ip=10.3.0.26
zone=verona
listen.front_addr=10.3.0.26:8107
listen.ready_addr=10.3.0.26:8110
internal_ports=7600,7615
limits.memory_mb=260
limits.max_fds=4100
bounds.grace_s=8
bounds.lease_ms=3000
bounds.report_window_s=5
bounds.retry_allowance=56
platform.address=10.200.1.7:8225
cloud_api.address=10.200.0.35:8225
cloud_api.duties=usage_report,autoscale
something.new=1
)";

TEST(NodeSettingsTest, ParsesThePlatformsSettingsFile) {
  const auto settings = ParseNodeSettings(kText);
  ASSERT_TRUE(settings) << settings.error().message;
  EXPECT_EQ(settings->daemon, DaemonId("edge-verona-1"));
  EXPECT_EQ(settings->failure_domain, FailureDomainId("verona"));
  EXPECT_EQ(settings->callers, (Endpoint{.address = "10.3.0.26", .port = 8107}));
  EXPECT_EQ(settings->peers, (Endpoint{.address = "10.3.0.26", .port = 7600}));
  EXPECT_EQ(settings->store, (Endpoint{.address = "10.200.1.7", .port = 8225}));
  EXPECT_TRUE(settings->reports_usage);
  EXPECT_TRUE(settings->orders_capacity);
  EXPECT_EQ(settings->bounds.stop_grace, 8s);
  EXPECT_EQ(settings->bounds.lease, 3s);
  EXPECT_EQ(settings->bounds.usage_window, 5s);
  EXPECT_DOUBLE_EQ(settings->bounds.retry_allowance, 56);
  EXPECT_EQ(settings->memory_bytes, 260U * 1024 * 1024);
}

TEST(NodeSettingsTest, ReportsAllFaults) {
  const auto settings = ParseNodeSettings(
      "node_name=a\nip=10.0.0.1\ninternal_ports=7600,7601\nlisten.front_addr=nowhere\n"
      "listen.ready_addr=10.0.0.1:1\nplatform.address=10.0.0.2:1\nbounds.grace_s=soon\n");
  ASSERT_FALSE(settings);
  EXPECT_EQ(settings.error().message,
            "zone: missing\n"
            "listen.front_addr: found \"nowhere\", expected an address as 10.1.0.14:8221\n"
            "bounds.grace_s: found \"soon\", expected a number of at least 0");
}

// Guards against roll-outs in a deployment that does not ask for them, or does not bound them.
TEST(NodeSettingsTest, RollsOutOnlyWithTheContractAndAllBounds) {
  const std::string contract = "contracts=usage,rollout\n";
  const std::string bounds = "bounds.exposure_share=0.1\nbounds.exposure_allowance=50\n";
  const std::string rollback = "bounds.rollback_ms=5000\n";
  const auto settings = ParseNodeSettings(kText + contract + bounds + rollback);
  ASSERT_TRUE(settings);
  EXPECT_TRUE(settings->rolls_out);
  EXPECT_DOUBLE_EQ(settings->bounds.exposure_share, 0.1);
  EXPECT_DOUBLE_EQ(settings->bounds.exposure_allowance, 50);
  EXPECT_EQ(settings->bounds.rollback, 5s);
  EXPECT_FALSE(ParseNodeSettings(kText + contract + bounds)->rolls_out);
  EXPECT_FALSE(ParseNodeSettings(kText + bounds + rollback)->rolls_out);
  EXPECT_FALSE(ParseNodeSettings(kText)->rolls_out);
}

// Guards against numbers that no type of the settings can hold.
TEST(NodeSettingsTest, RejectsBoundsThatAreNoNumbers) {
  for (const char* name :
       {"bounds.drain_ms", "bounds.config_apply_ms", "bounds.grace_s", "bounds.retry_ratio",
        "bounds.retry_window_s", "bounds.retry_allowance", "bounds.quota_window_s",
        "bounds.quota_overshoot", "bounds.quota_allowance", "bounds.lease_ms",
        "bounds.report_window_s", "bounds.usage_delay_s", "bounds.exposure_share",
        "bounds.exposure_allowance", "bounds.rollback_ms"}) {
    for (const char* value : {"-1", "nan", "inf", "-inf", "1e400", "5s", "0x10", " 5"}) {
      const auto settings =
          ParseNodeSettings(std::string(kText) + name + "=" + std::string(value) + "\n");
      EXPECT_FALSE(settings) << name << "=" << value;
    }
  }
}

// Guards against a file that is cut off while it is written, whose missing bounds would become
// defaults at run time, and against changes at run time that are less strict than a start.
TEST(NodeSettingsTest, ChangedBoundsMustBeSetAndPossible) {
  const std::vector<const char*> names = {
      "bounds.drain_ms",       "bounds.config_apply_ms", "bounds.grace_s",
      "bounds.retry_ratio",    "bounds.retry_window_s",  "bounds.retry_allowance",
      "bounds.quota_window_s", "bounds.quota_overshoot", "bounds.quota_allowance",
      "bounds.lease_ms",       "bounds.report_window_s", "bounds.usage_delay_s"};
  std::string others = kText;
  const std::size_t first_bound = others.find("bounds.");
  others.erase(first_bound, others.find("platform.") - first_bound);
  std::string held = others;
  for (const char* name : names) {
    held += std::string(name) + "=7\n";
  }
  EXPECT_TRUE(ParseChangedNodeSettings(held, held));
  for (const char* changed : names) {
    std::string without = others;
    for (const char* name : names) {
      without += name == changed ? "" : std::string(name) + "=7\n";
    }
    const std::string field = std::string(changed) + "=";
    const auto missing = ParseChangedNodeSettings(held, without);
    ASSERT_FALSE(missing) << changed;
    EXPECT_EQ(missing.error().message, std::string(changed) + ": missing");
    for (const char* value : {"", "soon", "true", "-1", "nan", "inf", "1e400", "7s", "7,5"}) {
      EXPECT_FALSE(ParseChangedNodeSettings(held, without + field + value + "\n"))
          << field << value;
    }
    // Zero is for the gateway to judge, and a huge value is limited to what a duration holds.
    for (const char* value : {"0", "8", "1e300"}) {
      EXPECT_TRUE(ParseChangedNodeSettings(held, without + field + value + "\n")) << field << value;
    }
    EXPECT_TRUE(ParseChangedNodeSettings(without, without)) << changed;
  }
}

// Guards against requiring the duties' address in a deployment without duties.
TEST(NodeSettingsTest, RequiresNoDutyAddressWithoutDuties) {
  std::string text = kText;
  text.erase(text.find("cloud_api.address"));
  const auto settings = ParseNodeSettings(text);
  ASSERT_TRUE(settings) << settings.error().message;
  EXPECT_FALSE(settings->reports_usage);
}

}  // namespace
}  // namespace savoryglade::platform
