#include "routing/fleet_load_balancer.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace savoryglade {
namespace {

const ServiceId kModel("model");
const ServiceId kPlain("plain");

TimePoint At(Duration time) { return TimePoint(100s) + time; }

UpstreamRecord Engine(const std::string& name, int slots = 64) {
  return {.id = UpstreamId(name),
          .service = kModel,
          .address = "127.0.0.1:80",
          .failure_domain = FailureDomainId("verona"),
          .slots = slots,
          .started_ms = 1};
}

UpstreamRecord Plain(const std::string& name, const std::string& domain) {
  return {.id = UpstreamId(name),
          .service = kPlain,
          .address = "127.0.0.1:80",
          .failure_domain = FailureDomainId(domain),
          .slots = 6};
}

WorkEstimate Prompt(std::uint64_t shared, std::uint64_t session, double shared_tokens = 5000,
                    double own_tokens = 1000) {
  return {
      .service = kModel,
      .prompt_tokens = shared_tokens + own_tokens,
      .output_tokens = 100,
      .parts = {{.id = shared, .tokens = shared_tokens}, {.id = session, .tokens = own_tokens}}};
}

WorkEstimate Call() { return {.service = kPlain}; }

class FleetLoadBalancerTest : public testing::Test {
 protected:
  FleetLoadBalancerTest() : board_({.local_domain = FailureDomainId("verona")}) {}

  void AddEngines(int count) {
    for (int i = 0; i < count; ++i) {
      board_.Update(Engine("engine-" + std::to_string(i)));
    }
  }

  UpstreamId Send(const WorkEstimate& work, TimePoint now) {
    const auto placement = board_.Choose(work, {}, now);
    EXPECT_TRUE(placement);
    board_.OnSent(placement->upstream.id, work, placement->uncached_tokens, now);
    return placement->upstream.id;
  }

  FleetLoadBalancer board_;
};

// Load pattern: sessions that share one prompt arrive at daemons that know nothing of each other.
TEST_F(FleetLoadBalancerTest, DaemonsAgreeOnTheHomeOfASharedPrompt) {
  AddEngines(12);
  FleetLoadBalancer other({.local_domain = FailureDomainId("brescia")});
  for (int i = 0; i < 12; ++i) {
    other.Update(Engine("engine-" + std::to_string(i)));
  }
  for (std::uint64_t shared = 1; shared <= 50; ++shared) {
    const auto here = board_.Choose(Prompt(shared, 1000 + shared), {}, At(0s));
    const auto there = other.Choose(Prompt(shared, 2000 + shared), {}, At(0s));
    ASSERT_TRUE(here && there);
    EXPECT_EQ(here->upstream.id, there->upstream.id);
  }
}

// Load pattern: one shared prompt gets much of the traffic. Its home must not take all of it.
TEST_F(FleetLoadBalancerTest, AHotPromptLeavesItsHomeWhenTheQueueCostsMoreThanReading) {
  AddEngines(4);
  std::map<UpstreamId, int> sent;
  for (std::uint64_t i = 0; i < 80; ++i) {
    ++sent[Send(Prompt(7, 100 + i), At(0s))];
  }
  EXPECT_EQ(sent.size(), 4U);
  for (const auto& [id, count] : sent) {
    EXPECT_LT(count, 40) << id.value();
  }
}

// Load pattern: several daemons see the same load. What peers sent counts like what was sent here.
TEST_F(FleetLoadBalancerTest, TheLoadOfPeersCounts) {
  AddEngines(2);
  const WorkEstimate work = Prompt(1, 2);
  const UpstreamId home = board_.Choose(work, {}, At(0s))->upstream.id;
  board_.OnReport(ReportSource::Daemon(DaemonId("peer")),
                  {{.upstream = FleetLoadBalancer::KeyOf(home),
                    .load = {.running = 20, .waiting_tokens = 200'000}}},
                  At(0s));
  EXPECT_NE(board_.Choose(work, {}, At(100ms))->upstream.id, home);
  // A report that is old is not used.
  EXPECT_EQ(board_.Choose(work, {}, At(5s))->upstream.id, home);
}

TEST_F(FleetLoadBalancerTest, FullUpstreamsTakeNothing) {
  board_.Update(Engine("only", 2));
  Send(Prompt(1, 2), At(0s));
  EXPECT_EQ(board_.FreeSlots(kModel, At(0s)), 1);
  Send(Prompt(1, 3), At(0s));
  EXPECT_FALSE(board_.Choose(Prompt(1, 4), {}, At(0s)));
  EXPECT_EQ(board_.FreeSlots(kModel, At(0s)), 0);
}

TEST_F(FleetLoadBalancerTest, LeavingAndExcludedUpstreamsTakeNothing) {
  UpstreamRecord leaving = Engine("a");
  leaving.leaving = true;
  board_.Update(leaving);
  board_.Update(Engine("b"));
  EXPECT_EQ(board_.Choose(Prompt(1, 2), {}, At(0s))->upstream.id, UpstreamId("b"));
  EXPECT_FALSE(board_.Choose(Prompt(1, 2), {UpstreamId("b")}, At(0s)));
}

// Load pattern: an upstream goes dark while it holds requests. Its status says nothing.
TEST_F(FleetLoadBalancerTest, ASilentUpstreamIsLeft) {
  AddEngines(2);
  const WorkEstimate work = Prompt(1, 2);
  const UpstreamId home = Send(work, At(0s));
  EXPECT_EQ(board_.Choose(work, {}, At(300ms))->upstream.id, home);
  EXPECT_NE(board_.Choose(work, {}, At(2s))->upstream.id, home);
  // It is used again once bytes arrive.
  board_.OnFirstByte(home, 6000, At(2s));
  EXPECT_EQ(board_.Choose(work, {}, At(2s))->upstream.id, home);
}

TEST_F(FleetLoadBalancerTest, AnUnreachableUpstreamPausesForLongerEachTime) {
  AddEngines(2);
  const WorkEstimate work = Prompt(1, 2);
  const UpstreamId home = Send(work, At(0s));
  board_.OnEnd(home, 6000, false, AttemptEnd::kUnreachable, At(0s));
  EXPECT_NE(board_.Choose(work, {}, At(400ms))->upstream.id, home);
  board_.OnSent(home, work, 6000, At(600ms));
  board_.OnEnd(home, 6000, false, AttemptEnd::kUnreachable, At(600ms));
  EXPECT_NE(board_.Choose(work, {}, At(1500ms))->upstream.id, home);
  board_.OnSent(home, work, 6000, At(2s));
  board_.OnEnd(home, 1000, true, AttemptEnd::kAnswered, At(2s));
  EXPECT_EQ(board_.Choose(work, {}, At(2s))->upstream.id, home);
}

// Guards against refusing everything when all upstreams have just failed.
TEST_F(FleetLoadBalancerTest, DoubtfulUpstreamsAreUsedWhenThereAreNoOthers) {
  AddEngines(1);
  const WorkEstimate work = Prompt(1, 2);
  const UpstreamId only = Send(work, At(0s));
  board_.OnEnd(only, 6000, false, AttemptEnd::kUnreachable, At(0s));
  EXPECT_TRUE(board_.Choose(work, {}, At(100ms)));
}

TEST_F(FleetLoadBalancerTest, AnUpstreamInDoubtTakesWorkOnlyIfNoOtherDoes) {
  UpstreamRecord doubtful = Engine("a");
  doubtful.doubtful = true;
  board_.Update(doubtful);
  EXPECT_EQ(board_.Choose(Prompt(1, 2), {}, At(0s))->upstream.id, UpstreamId("a"));
  board_.Update(Engine("b"));
  for (std::uint64_t shared = 0; shared < 20; ++shared) {
    EXPECT_EQ(board_.Choose(Prompt(shared, 2), {}, At(0s))->upstream.id, UpstreamId("b"));
  }
}

TEST_F(FleetLoadBalancerTest, PlainCallsGoToTheNearestOfEquallyLoadedUpstreams) {
  board_.Update(Plain("far", "brescia"));
  board_.Update(Plain("near", "verona"));
  EXPECT_EQ(board_.Choose(Call(), {}, At(0s))->upstream.id, UpstreamId("near"));
  board_.OnSent(UpstreamId("near"), Call(), 0, At(0s));
  EXPECT_EQ(board_.Choose(Call(), {}, At(0s))->upstream.id, UpstreamId("far"));
}

// Load pattern: a neighbour that nobody sees slows an upstream for some hundred milliseconds.
TEST_F(FleetLoadBalancerTest, AStatedSlownessCountsForAMomentOnly) {
  AddEngines(2);
  const WorkEstimate work = Prompt(1, 2, 100, 100);
  const UpstreamId home = board_.Choose(work, {}, At(0s))->upstream.id;
  board_.OnSent(home, work, 2000, At(0s));
  board_.OnFirstByte(home, 2000, At(0s));
  board_.OnLoadReport(home, 1, 0, 8, At(0s));
  EXPECT_NE(board_.Choose(work, {}, At(100ms))->upstream.id, home);
  EXPECT_EQ(board_.Choose(work, {}, At(2s))->upstream.id, home);
}

// Load pattern: a burst of short calls fills the slots of a plain service for some milliseconds.
TEST_F(FleetLoadBalancerTest, PlainUpstreamsTakeAShortQueue) {
  board_.Update(Plain("only", "verona"));
  for (int i = 0; i < 12; ++i) {
    ASSERT_TRUE(board_.Choose(Call(), {}, At(0s))) << i;
    board_.OnSent(UpstreamId("only"), Call(), 0, At(0s));
  }
  EXPECT_FALSE(board_.Choose(Call(), {}, At(0s)));
}

// Guards against knowledge of an earlier process under the same name.
TEST_F(FleetLoadBalancerTest, ARestartedUpstreamStartsAnew) {
  AddEngines(1);
  Send(Prompt(1, 2), At(0s));
  EXPECT_EQ(board_.FreeSlots(kModel, At(0s)), 63);
  UpstreamRecord restarted = Engine("engine-0");
  restarted.started_ms = 2;
  board_.Update(restarted);
  EXPECT_EQ(board_.FreeSlots(kModel, At(0s)), 64);
}

}  // namespace
}  // namespace savoryglade
