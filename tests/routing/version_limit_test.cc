#include <gtest/gtest.h>

#include <set>
#include <string>

#include "routing/fleet_load_balancer.h"
#include "routing/software_version.h"

namespace savoryglade {
namespace {

const ServiceId kService("model");
const std::uint64_t kNew = SoftwareVersionKey("v2");

TimePoint At(Duration time) { return TimePoint(100s) + time; }

class VersionLimitTest : public testing::Test {
 protected:
  VersionLimitTest() {
    for (int i = 0; i < 4; ++i) {
      Add("old-" + std::to_string(i), "v1");
      Add("new-" + std::to_string(i), "v2");
    }
  }

  static void Add(FleetLoadBalancer& balancer, const std::string& id, const std::string& version) {
    balancer.Update({.id = UpstreamId(id),
                     .service = kService,
                     .address = "127.0.0.1:1",
                     .slots = 100,
                     .software_version = version});
  }
  void Add(const std::string& id, const std::string& version) { Add(balancer_, id, version); }

  // Returns the upstreams that are chosen for requests that stay there.
  static std::set<std::string> Chosen(FleetLoadBalancer& balancer, WorkEstimate work,
                                      TimePoint now = At(0s)) {
    std::set<std::string> chosen;
    work.service = kService;
    for (int i = 0; i < 50; ++i) {
      if (const auto placement = balancer.Choose(work, {}, now)) {
        chosen.insert(placement->upstream.id.value());
        balancer.OnSent(placement->upstream.id, work, 0, now);
      }
    }
    return chosen;
  }
  std::set<std::string> Chosen(const WorkEstimate& work, TimePoint now = At(0s)) {
    return Chosen(balancer_, work, now);
  }

  const std::set<std::string> old_{"old-0", "old-1", "old-2", "old-3"};
  const std::set<std::string> new_{"new-0", "new-1", "new-2", "new-3"};
  FleetLoadBalancer balancer_{{}};
};

// Guards against requests to a limited version by code that does not know of the limit.
TEST_F(VersionLimitTest, LimitedVersionIsChosenOnRequestOnly) {
  balancer_.SetVersionLimits(kService, {{kNew, {.upstreams = 2}}});
  EXPECT_EQ(Chosen({}), old_);
  EXPECT_EQ(Chosen({.version_choice = VersionChoice::kLimited}).size(), 2U);
  EXPECT_EQ(balancer_.FreeSlots(kService, At(0s)), 350);
}

// Guards against daemons that spread the requests over different upstreams of the version.
TEST_F(VersionLimitTest, AllDaemonsChooseTheSameUpstreams) {
  FleetLoadBalancer other{{.seed = 99}};
  for (int i = 3; i >= 0; --i) {
    Add(other, "new-" + std::to_string(i), "v2");
  }
  for (FleetLoadBalancer* balancer : {&balancer_, &other}) {
    balancer->SetVersionLimits(kService, {{kNew, {.upstreams = 2}}});
  }
  const WorkEstimate work{.version_choice = VersionChoice::kLimited};
  EXPECT_EQ(Chosen(work), Chosen(other, work));
}

// Guards against a process that was stopped and goes on by the limits that it had.
TEST_F(VersionLimitTest, ExpiredLimitExcludesItsVersion) {
  balancer_.SetVersionLimits(kService,
                             {{kNew, {.upstreams = -1, .exclusive = true, .valid_until = At(1s)}}});
  EXPECT_EQ(Chosen({}), new_);
  EXPECT_TRUE(balancer_.MayReceive(UpstreamId("new-0"), At(0s)));
  EXPECT_EQ(Chosen({}, At(1s)), old_);
  EXPECT_TRUE(Chosen({.version_choice = VersionChoice::kLimited}, At(1s)).empty());
  EXPECT_FALSE(balancer_.MayReceive(UpstreamId("new-0"), At(1s)));
}

// Guards against streams that can't go on at their version while another one takes all requests,
// and against resumptions at a version that was rolled back.
TEST_F(VersionLimitTest, StreamsStayAtTheirVersionWhileItServes) {
  const WorkEstimate at_old{.required_version = SoftwareVersionKey("v1")};
  const WorkEstimate at_new{.required_version = kNew};
  balancer_.SetVersionLimits(kService, {{kNew, {.upstreams = -1, .exclusive = true}}});
  EXPECT_EQ(Chosen(at_old), old_);
  EXPECT_EQ(Chosen(at_new), new_);
  balancer_.SetVersionLimits(kService, {{kNew, {}}});
  EXPECT_EQ(Chosen(at_old), old_);
  EXPECT_TRUE(Chosen(at_new).empty());
  EXPECT_FALSE(balancer_.HasVersion(kService, kNew));
}

TEST_F(VersionLimitTest, LimitsCanBeLifted) {
  balancer_.SetVersionLimits(kService, {{kNew, {}}});
  balancer_.SetVersionLimits(kService, {});
  EXPECT_EQ(Chosen({}).size(), 8U);
}

}  // namespace
}  // namespace savoryglade
