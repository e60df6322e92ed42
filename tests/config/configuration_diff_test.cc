#include "config/configuration_diff.h"

#include "gtest/gtest.h"

namespace savoryglade {
namespace {

Configuration Parse(const char* text) {
  auto parsed = ParseConfiguration(text);
  EXPECT_TRUE(parsed) << parsed.error().message;
  return *parsed;
}

// Guards against a conflict message that does not name what another operator changed.
TEST(ConfigurationDiffTest, NamesEachEntryAndFieldThatDiffers) {
  const Configuration before = Parse(R"({"services": [{"name": "a"}, {"name": "b"}],
    "upstreams": [{"name": "u", "service": "a", "failure_domain": "verona", "port": 1}]})");
  const Configuration after =
      Parse(R"({"services": [{"name": "a", "deadline": "5s"}, {"name": "c"}],
    "upstreams": [{"name": "u", "service": "a", "failure_domain": "verona", "port": 2}]})");
  EXPECT_EQ(PrintChanges(DiffConfigurations(before, after)),
            "~ services/a: deadline\n- services/b\n+ services/c\n~ upstreams/u: port\n");
  EXPECT_EQ(PrintChanges(DiffConfigurations(after, after)), "");
}

}  // namespace
}  // namespace savoryglade
