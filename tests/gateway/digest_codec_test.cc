#include "gateway/digest_codec.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "core/random.h"

namespace savoryglade::gateway {
namespace {

const AccountId kDrivers("drivers");
const ServiceId kModel("model");
const UpstreamId kEngine("engine");

TimePoint At(Duration time) { return TimePoint(100s) + time; }

std::unique_ptr<FleetState> MakeFleet(const std::string& name) {
  GatewaySettings settings{.daemon = DaemonId(name), .failure_domain = FailureDomainId("verona")};
  settings.bounds.usage_window = 5s;
  auto fleet = std::make_unique<FleetState>(settings, 1, 1'000'000s, At(0s));
  RouteDocument document;
  document.accounts.push_back({.name = kDrivers, .rate = 100, .burst = 100});
  document.services.push_back({.name = kModel});
  fleet->allowance.Configure(document.accounts, At(0s));
  fleet->routes = std::make_shared<const RouteTable>(std::move(document));
  fleet->board.Update({.id = kEngine, .service = kModel, .address = "127.0.0.1:1", .slots = 4});
  return fleet;
}

TEST(DigestCodecTest, CarriesWhatADaemonKnows) {
  const auto here = MakeFleet("here");
  const auto there = MakeFleet("there");
  there->board.OnSent(kEngine, {.service = kModel, .prompt_tokens = 10}, 10, At(1s));
  there->usage.OnBegun(there->WindowAt(At(1s)), kDrivers);
  there->crashes.OnCrash(7, 1, At(1s));
  there->crashes.OnCrash(7, 2, At(1s));
  there->crashes.OnCrash(7, 3, At(1s));
  there->work.Add(kModel, 2.5);
  const Result<DigestSender> sender = ApplyDigest(EncodeDigest(*there, At(1s)), *here, At(1s));
  ASSERT_TRUE(sender);
  EXPECT_EQ(sender->daemon, DaemonId("there"));
  EXPECT_FALSE(sender->leaving);
  EXPECT_EQ(here->board.FreeSlots(kModel, At(1s)), 3);
  EXPECT_EQ(here->usage.Total(here->WindowAt(At(1s))), (capacity::WindowCounts{{kDrivers, 1}}));
  EXPECT_TRUE(here->crashes.IsRefused(7, At(1s)));
  EXPECT_DOUBLE_EQ(here->work.Total(kModel), 2.5);
}

// Guards against counting a daemon's own requests twice when its datagram comes back.
TEST(DigestCodecTest, ADaemonsOwnDatagramChangesNothing) {
  const auto here = MakeFleet("here");
  here->usage.OnBegun(here->WindowAt(At(1s)), kDrivers);
  ASSERT_TRUE(ApplyDigest(EncodeDigest(*here, At(1s)), *here, At(1s)));
  EXPECT_EQ(here->usage.Total(here->WindowAt(At(1s))), (capacity::WindowCounts{{kDrivers, 1}}));
}

// Guards against a crash or a half-applied digest after bytes from elsewhere.
TEST(DigestCodecTest, HostileDatagramsAreRejectedOrHarmless) {
  const auto here = MakeFleet("here");
  const auto there = MakeFleet("there");
  there->work.Add(kModel, 2.5);
  const std::string digest = EncodeDigest(*there, At(1s));
  Random random(20261204);
  for (int i = 0; i < 2000; ++i) {
    std::string bytes = digest;
    for (std::uint64_t change = random.Below(8) + 1; change > 0; --change) {
      bytes[random.Below(bytes.size())] = static_cast<char>(random.Below(256));
    }
    bytes.resize(random.Below(bytes.size()) + 1);
    ApplyDigest(bytes, *here, At(1s));
  }
  EXPECT_FALSE(ApplyDigest("", *here, At(1s)));
  EXPECT_FALSE(ApplyDigest(std::string(64, '\xff'), *here, At(1s)));
}

}  // namespace
}  // namespace savoryglade::gateway
