#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

#include "gtest/gtest.h"
#include "tests/daemon/daemon_fixture.h"
#include "tests/daemon/fleet_fixture.h"

namespace savoryglade {
namespace {

std::set<std::string> FindNames(const std::string& text, const std::regex& pattern) {
  std::set<std::string> names;
  for (std::sregex_iterator it(text.begin(), text.end(), pattern), end; it != end; ++it) {
    names.insert((*it)[1].str());
  }
  return names;
}

// Guards against metrics that operators can't look up, and against a table that promises more than
// a daemon prints.
TEST(MetricsTableTest, TheDocumentationListsWhatADaemonPrints) {
  FleetFixture fleet;
  fleet.Start(1, 1);
  ASSERT_EQ(fleet.WaitForStatus(0, 0, 1).first, 200U);
  // Counters of changes, requests and refusals appear with the first of each.
  ASSERT_EQ(fleet.PutConfiguration(0, 0, "a").first, 200U);
  CallerConnection stranger(fleet.daemon(0).callers_endpoint());
  stranger.Send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  ASSERT_TRUE(stranger.ReadAll());
  fleet.daemon(0).metrics().GetCounter("savoryglade_requests_total", {{"service", "a"}});
  fleet.daemon(0).metrics().GetCounter("savoryglade_streams_ended_early_total",
                                       {{"reason", "draining"}});

  const std::string path = std::string(SAVORYGLADE_SOURCE_DIR) + "/docs/metrics.md";
  std::ifstream file(path, std::ios::binary);
  const std::string documentation{std::istreambuf_iterator<char>(file), {}};
  const auto documented = FindNames(documentation, std::regex("\\| `(savoryglade_[a-z_]+)` \\|"));
  const auto printed = FindNames(fleet.daemon(0).metrics().RenderText(),
                                 std::regex("# TYPE (savoryglade_[a-z_]+) "));
  EXPECT_EQ(documented, printed);
}

}  // namespace
}  // namespace savoryglade
