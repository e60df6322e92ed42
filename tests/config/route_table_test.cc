#include "config/route_table.h"

#include <gtest/gtest.h>

#include <string>

namespace savoryglade {
namespace {

RouteDocument MakeDocument() {
  RouteDocument document;
  document.version = 7;
  document.routes.push_back({.name = "all",
                             .host = "orders.example",
                             .prefix = "/",
                             .services = {{.service = ServiceId("orders")}}});
  document.routes.push_back({.name = "briefs",
                             .host = "orders.example",
                             .prefix = "/briefs/",
                             .services = {{.service = ServiceId("assistant")}}});
  document.accounts.push_back({.name = AccountId("drivers"), .keys = {"key-1", "key-2"}});
  return document;
}

TEST(RouteTableTest, TheLongestPrefixOfTheHostWins) {
  const RouteTable table(MakeDocument());
  ASSERT_NE(table.Match("orders.example", "/briefs/4"), nullptr);
  EXPECT_EQ(table.Match("orders.example", "/briefs/4")->name, "briefs");
  EXPECT_EQ(table.Match("orders.example", "/brief")->name, "all");
  EXPECT_EQ(table.Match("other.example", "/briefs/4"), nullptr);
}

// Guards against an index of prefixes that differs from a comparison with each of them.
TEST(RouteTableTest, MatchIsThatOfAComparisonWithAllPrefixes) {
  RouteDocument document;
  for (const char* prefix : {"", "/", "/a", "/a/", "/a/b", "/a/b/c/", "/ab/", "/a/"}) {
    document.routes.push_back({.name = std::to_string(document.routes.size()),
                               .host = "h",
                               .prefix = prefix,
                               .services = {{.service = ServiceId("s")}}});
  }
  const RouteTable table(document);
  for (const std::string path : {"", "/", "/a", "/a/", "/a/b", "/a/b/c", "/a/b/c/d", "/abc", "b"}) {
    const Route* longest = nullptr;
    for (const Route& route : table.document().routes) {
      if (path.starts_with(route.prefix) &&
          (longest == nullptr || route.prefix.size() > longest->prefix.size())) {
        longest = &route;
      }
    }
    EXPECT_EQ(table.Match("h", path), longest) << path;
  }
}

TEST(RouteTableTest, HostsMatchRegardlessOfPortAndCase) {
  const RouteTable table(MakeDocument());
  EXPECT_NE(table.Match("Orders.Example:8080", "/briefs/4"), nullptr);
}

// Guards against selecting a route by the query after the question mark.
TEST(RouteTableTest, TheQueryIsIgnored) {
  RouteDocument document = MakeDocument();
  document.routes.erase(document.routes.begin());
  const RouteTable table(std::move(document));
  EXPECT_EQ(table.Match("orders.example", "/other?x=/briefs/"), nullptr);
  EXPECT_NE(table.Match("orders.example", "/briefs/?x=1"), nullptr);
}

TEST(RouteTableTest, EachKeyIdentifiesItsAccount) {
  const RouteTable table(MakeDocument());
  ASSERT_NE(table.FindByKey("key-2"), nullptr);
  EXPECT_EQ(table.FindByKey("key-2")->name, AccountId("drivers"));
  EXPECT_EQ(table.FindByKey("key-3"), nullptr);
  EXPECT_EQ(table.FindByKey(""), nullptr);
}

TEST(RouteTableTest, ServicesAreChosenInProportionToTheirWeights) {
  Route route;
  route.services = {{.service = ServiceId("a"), .weight = 90},
                    {.service = ServiceId("b"), .weight = 10}};
  int second = 0;
  for (std::uint64_t seed = 0; seed < 1000; ++seed) {
    second += RouteTable::ChooseService(route, seed) == ServiceId("b") ? 1 : 0;
  }
  EXPECT_EQ(second, 100);
}

// Guards against a division by zero when operators set all weights of a route to zero.
TEST(RouteTableTest, WithAllWeightsZeroTheFirstServiceIsChosen) {
  Route route;
  route.services = {{.service = ServiceId("a"), .weight = 0}};
  EXPECT_EQ(RouteTable::ChooseService(route, 5), ServiceId("a"));
}

TEST(RouteTableTest, OnlyIdempotentCallsAndResumableStreamsAreRepeatable) {
  EXPECT_TRUE(Route{.kind = CallKind::kIdempotent}.Repeatable());
  EXPECT_FALSE(Route{.kind = CallKind::kAtMostOnce}.Repeatable());
  EXPECT_FALSE(Route{.kind = CallKind::kStream}.Repeatable());
  EXPECT_TRUE((Route{.kind = CallKind::kStream, .resumable = true}.Repeatable()));
  EXPECT_FALSE((Route{.kind = CallKind::kAtMostOnce, .resumable = true}.Repeatable()));
}

}  // namespace
}  // namespace savoryglade
