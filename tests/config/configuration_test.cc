#include "config/configuration.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include "gtest/gtest.h"

namespace savoryglade {
namespace {

// Guards against a parser that stops at the first error, so that operators need one attempt for
// each.
TEST(ConfigurationTest, ReportsAllErrorsWithTheirPaths) {
  const auto parsed = ParseConfiguration(R"({"services": [{"nam": "a", "kind": "modle"}],
    "client_accounts": [{"name": "x", "share": -1, "key_sha256": "00"}],
    "upstreams": [{"name": "u", "service": "b", "failure_domain": "verona", "port": 70000}]})");
  ASSERT_FALSE(parsed);
  const std::string& message = parsed.error().message;
  for (const char* part :
       {"services[0].nam: found an unknown field, expected \"name\"", "services[0].name",
        "services[0].kind", "client_accounts[0].share", "client_accounts[0].key_sha256",
        "upstreams[0].port: found 70000", "upstreams[0].service: found \"b\""}) {
    EXPECT_NE(message.find(part), std::string::npos) << part << "\nin\n" << message;
  }
}

// Guards against fields that are parsed but not printed, and so are lost in a round trip.
TEST(ConfigurationTest, PrintedConfigurationParsesToTheSameValue) {
  const auto parsed = ParseConfiguration(R"({"version": 7, "services": [
    {"name": "orders", "kind": "plain", "path_prefix": "/orders", "deadline": "5s", "may_not_repeat": [
      {"method": "POST", "path": "/orders/confirm", "identity_field": "delivery"}]}],
    "upstreams": [{"name": "u", "service": "orders", "failure_domain": "verona", "port": 1,
      "checks_fencing": true, "concurrency": 3, "price_per_hour": 0.25}]})");
  ASSERT_TRUE(parsed) << parsed.error().message;
  const auto again = ParseConfiguration(PrintConfiguration(*parsed));
  ASSERT_TRUE(again) << again.error().message;
  EXPECT_EQ(*parsed, *again);
}

// Guards against documented examples that fail validation.
TEST(ConfigurationTest, EveryExampleIsValid) {
  int count = 0;
  const std::string directory = std::string(SAVORYGLADE_SOURCE_DIR) + "/examples";
  for (const auto& entry : std::filesystem::recursive_directory_iterator(directory)) {
    if (entry.path().filename().string().find("configuration.json") == std::string::npos) {
      continue;
    }
    std::ifstream file(entry.path(), std::ios::binary);
    const auto parsed = ParseConfiguration(std::string(std::istreambuf_iterator<char>(file), {}));
    EXPECT_TRUE(parsed) << entry.path() << ": " << parsed.error().message;
    ++count;
  }
  EXPECT_GE(count, 3);
}

}  // namespace
}  // namespace savoryglade
