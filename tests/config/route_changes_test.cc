#include "config/route_changes.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace savoryglade {
namespace {

Route MakeStream(const std::string& prefix, const std::string& service) {
  return {.name = prefix,
          .host = "h",
          .prefix = prefix,
          .kind = CallKind::kStream,
          .resumable = true,
          .services = {{.service = ServiceId(service)}}};
}

std::vector<ServiceReplacement> Compare(std::vector<Route> before, std::vector<Route> after) {
  RouteDocument old_document;
  old_document.routes = std::move(before);
  RouteDocument new_document;
  new_document.routes = std::move(after);
  return FindServiceReplacements(RouteTable(std::move(old_document)),
                                 RouteTable(std::move(new_document)));
}

const ServiceReplacement kFromAToB{.from = ServiceId("a"), .to = ServiceId("b")};

TEST(RouteChangesTest, RouteThatLeadsElsewhereReplacesItsService) {
  EXPECT_EQ(Compare({MakeStream("/x/", "a")}, {MakeStream("/x/", "b")}), std::vector{kFromAToB});
}

// Guards against a stream that is resumed on a path whose route was added or removed, and whose
// version is then unknown.
TEST(RouteChangesTest, LongerPrefixThatIsAddedOrRemovedReplacesTheService) {
  const std::vector<Route> one = {MakeStream("/x/", "a")};
  const std::vector<Route> two = {MakeStream("/x/", "a"), MakeStream("/x/y/", "b")};
  EXPECT_EQ(Compare(one, two), std::vector{kFromAToB});
  EXPECT_EQ(Compare(two, one),
            (std::vector{ServiceReplacement{.from = ServiceId("b"), .to = ServiceId("a")}}));
}

TEST(RouteChangesTest, RoutesOfOtherCallsAndUnchangedRoutesReplaceNothing) {
  Route call = MakeStream("/x/", "a");
  call.kind = CallKind::kIdempotent;
  Route other = call;
  other.services = {{.service = ServiceId("b")}};
  EXPECT_TRUE(Compare({call, MakeStream("/z/", "a")}, {other, MakeStream("/z/", "a")}).empty());
  EXPECT_TRUE(Compare({}, {MakeStream("/x/", "a")}).empty());
}

// Guards against a comparison whose time grows with the square of the number of routes. 20,000
// routes took several seconds; a failure shows as a test that takes minutes under sanitizers.
TEST(RouteChangesTest, ManyResumableStreamsAreCompared) {
  constexpr int kRoutes = 20'000;
  std::vector<Route> before;
  std::vector<Route> after;
  for (int i = 0; i < kRoutes; ++i) {
    before.push_back(MakeStream(fmt::format("/route-{}/", i), "a"));
    after.push_back(MakeStream(fmt::format("/route-{}/", i), i == 0 ? "b" : "a"));
  }
  EXPECT_EQ(Compare(std::move(before), std::move(after)), std::vector{kFromAToB});
}

}  // namespace
}  // namespace savoryglade
