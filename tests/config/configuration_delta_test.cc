#include "config/configuration_delta.h"

#include "gtest/gtest.h"

namespace savoryglade {
namespace {

UpstreamConfig Upstream(const std::string& name, std::uint16_t port) {
  return {.name = UpstreamId(name), .service = ServiceId("orders"), .port = port};
}

Configuration Base() {
  Configuration configuration;
  configuration.version = 4;
  configuration.services.push_back({.name = ServiceId("orders")});
  configuration.accounts.push_back({.name = AccountId("office")});
  configuration.upstreams = {Upstream("a", 1), Upstream("b", 2), Upstream("c", 3)};
  return configuration;
}

Configuration Target() {
  Configuration configuration = Base();
  configuration.version = 6;
  configuration.accounts[0].share = 2;
  configuration.upstreams = {Upstream("a", 1), Upstream("c", 30), Upstream("d", 4)};
  return configuration;
}

// Guards against a conflict message that does not name what another operator changed.
TEST(ConfigurationDelta, ChangedNamesListsAddedChangedAndRemovedEntries) {
  EXPECT_EQ(ChangedNames(Base(), Target()),
            (std::vector<std::string>{"client_accounts.office", "upstreams.b", "upstreams.c",
                                      "upstreams.d"}));
  EXPECT_TRUE(ChangedNames(Base(), Base()).empty());
}

// Guards against a daemon whose configuration differs from the accepted one.
TEST(ConfigurationDelta, ApplyingTheDeltaToTheBaseYieldsTheTarget) {
  const ConfigurationDelta delta = MakeDelta(Base(), Target());
  EXPECT_EQ(delta.changed.upstreams.size(), 2U);
  EXPECT_EQ(ApplyDelta(Base(), delta), Target());
}

// Guards against applying a delta to a configuration other than its base.
TEST(ConfigurationDelta, IsRejectedOnAnotherBase) {
  Configuration other = Base();
  other.version = 5;
  EXPECT_EQ(ApplyDelta(other, MakeDelta(Base(), Target())), std::nullopt);
  Configuration same_version = Base();
  same_version.upstreams.pop_back();
  same_version.upstreams[0].port = 99;
  EXPECT_EQ(ApplyDelta(same_version, MakeDelta(Base(), Target())), std::nullopt);
}

// Guards against losing a changed order of upstreams: the whole document must be fetched instead.
TEST(ConfigurationDelta, IsRejectedIfTheOrderOfUpstreamsChanged) {
  Configuration target = Base();
  std::swap(target.upstreams[0], target.upstreams[1]);
  EXPECT_EQ(ApplyDelta(Base(), MakeDelta(Base(), target)), std::nullopt);
}

}  // namespace
}  // namespace savoryglade
