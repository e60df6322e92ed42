#include "routing/fleet_load_balancer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "routing/software_version.h"

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
  FleetLoadBalancerTest() : balancer_({.local_domain = FailureDomainId("verona")}) {}

  void AddEngines(int count) {
    for (int i = 0; i < count; ++i) {
      balancer_.Update(Engine("engine-" + std::to_string(i)));
    }
  }

  UpstreamId Send(const WorkEstimate& work, TimePoint now) {
    const auto placement = balancer_.Choose(work, {}, now);
    EXPECT_TRUE(placement);
    balancer_.OnSent(placement->upstream.id, work, placement->uncached_tokens, now);
    return placement->upstream.id;
  }

  FleetLoadBalancer balancer_;
};

// Guards against daemons that each cache a shared prompt on a different upstream. The two balancers
// share no state.
TEST_F(FleetLoadBalancerTest, DaemonsChooseTheSameAffinityUpstreamForASharedPrompt) {
  AddEngines(12);
  FleetLoadBalancer other({.local_domain = FailureDomainId("brescia")});
  for (int i = 0; i < 12; ++i) {
    other.Update(Engine("engine-" + std::to_string(i)));
  }
  for (std::uint64_t shared = 1; shared <= 50; ++shared) {
    const auto here = balancer_.Choose(Prompt(shared, 1000 + shared), {}, At(0s));
    const auto there = other.Choose(Prompt(shared, 2000 + shared), {}, At(0s));
    ASSERT_TRUE(here && there);
    EXPECT_EQ(here->upstream.id, there->upstream.id);
  }
}

// Guards against sending all requests with a popular shared prompt to its affinity upstream.
TEST_F(FleetLoadBalancerTest, HotPromptSpreadsWhenTheQueueCostsMoreThanProcessing) {
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

// Guards against daemons that ignore each other's load and pick the same upstream. Load reported by
// a peer counts like the daemon's own.
TEST_F(FleetLoadBalancerTest, LoadReportedByPeersDivertsRequestsUntilItExpires) {
  AddEngines(2);
  const WorkEstimate work = Prompt(1, 2);
  const UpstreamId affinity_upstream = balancer_.Choose(work, {}, At(0s))->upstream.id;
  balancer_.OnReport(ReportSource::Daemon(DaemonId("peer")),
                     {{.upstream = FleetLoadBalancer::KeyOf(affinity_upstream),
                       .load = {.running = 20, .waiting_tokens = 200'000}}},
                     At(0s));
  EXPECT_NE(balancer_.Choose(work, {}, At(100ms))->upstream.id, affinity_upstream);
  // The report has expired.
  EXPECT_EQ(balancer_.Choose(work, {}, At(5s))->upstream.id, affinity_upstream);
}

TEST_F(FleetLoadBalancerTest, FullUpstreamsAreNotChosen) {
  balancer_.Update(Engine("only", 2));
  Send(Prompt(1, 2), At(0s));
  EXPECT_EQ(balancer_.FreeSlots(kModel, At(0s)), 1);
  Send(Prompt(1, 3), At(0s));
  EXPECT_FALSE(balancer_.Choose(Prompt(1, 4), {}, At(0s)));
  EXPECT_EQ(balancer_.FreeSlots(kModel, At(0s)), 0);
}

TEST_F(FleetLoadBalancerTest, LeavingAndExcludedUpstreamsAreNotChosen) {
  UpstreamRecord leaving = Engine("a");
  leaving.leaving = true;
  balancer_.Update(leaving);
  balancer_.Update(Engine("b"));
  EXPECT_EQ(balancer_.Choose(Prompt(1, 2), {}, At(0s))->upstream.id, UpstreamId("b"));
  EXPECT_FALSE(balancer_.Choose(Prompt(1, 2), {UpstreamId("b")}, At(0s)));
}

// Guards against a stream of a version that other daemons do not know of yet.
TEST_F(FleetLoadBalancerTest, HeldUpstreamIsNotChosenEvenIfThereIsNoOther) {
  AddEngines(1);
  balancer_.Hold(UpstreamId("engine-0"), At(1s));
  EXPECT_FALSE(balancer_.Choose(Prompt(1, 2), {}, At(1s - 1ms)));
  EXPECT_TRUE(balancer_.Choose(Prompt(1, 2), {}, At(1s)));
}

// Guards against new work for an upstream that stopped responding while it holds requests, although
// its record does not show it.
TEST_F(FleetLoadBalancerTest, SilentUpstreamIsAvoidedUntilItSendsBytes) {
  AddEngines(2);
  const WorkEstimate work = Prompt(1, 2);
  const UpstreamId affinity_upstream = Send(work, At(0s));
  EXPECT_EQ(balancer_.Choose(work, {}, At(300ms))->upstream.id, affinity_upstream);
  EXPECT_NE(balancer_.Choose(work, {}, At(2s))->upstream.id, affinity_upstream);
  // Received bytes make it eligible again.
  balancer_.OnFirstByte(affinity_upstream, 6000, At(2s));
  EXPECT_EQ(balancer_.Choose(work, {}, At(2s))->upstream.id, affinity_upstream);
}

TEST_F(FleetLoadBalancerTest, PauseOfAnUnreachableUpstreamGrowsWithEachFailure) {
  AddEngines(2);
  const WorkEstimate work = Prompt(1, 2);
  const UpstreamId affinity_upstream = Send(work, At(0s));
  balancer_.OnEnd(affinity_upstream, 6000, false, AttemptEnd::kUnreachable, At(0s));
  EXPECT_NE(balancer_.Choose(work, {}, At(400ms))->upstream.id, affinity_upstream);
  balancer_.OnSent(affinity_upstream, work, 6000, At(600ms));
  balancer_.OnEnd(affinity_upstream, 6000, false, AttemptEnd::kUnreachable, At(600ms));
  EXPECT_NE(balancer_.Choose(work, {}, At(1500ms))->upstream.id, affinity_upstream);
  balancer_.OnSent(affinity_upstream, work, 6000, At(2s));
  balancer_.OnEnd(affinity_upstream, 1000, true, AttemptEnd::kAnswered, At(2s));
  EXPECT_EQ(balancer_.Choose(work, {}, At(2s))->upstream.id, affinity_upstream);
}

// Guards against rejecting all requests when all upstreams have just failed.
TEST_F(FleetLoadBalancerTest, PausedUpstreamIsUsedWhenThereIsNoOther) {
  AddEngines(1);
  const WorkEstimate work = Prompt(1, 2);
  const UpstreamId only = Send(work, At(0s));
  balancer_.OnEnd(only, 6000, false, AttemptEnd::kUnreachable, At(0s));
  EXPECT_TRUE(balancer_.Choose(work, {}, At(100ms)));
}

TEST_F(FleetLoadBalancerTest, DoubtfulUpstreamIsUsedOnlyWhenThereIsNoOther) {
  UpstreamRecord doubtful = Engine("a");
  doubtful.doubtful = true;
  balancer_.Update(doubtful);
  EXPECT_EQ(balancer_.Choose(Prompt(1, 2), {}, At(0s))->upstream.id, UpstreamId("a"));
  balancer_.Update(Engine("b"));
  for (std::uint64_t shared = 0; shared < 20; ++shared) {
    EXPECT_EQ(balancer_.Choose(Prompt(shared, 2), {}, At(0s))->upstream.id, UpstreamId("b"));
  }
}

TEST_F(FleetLoadBalancerTest, PlainCallsGoToTheNearestOfEquallyLoadedUpstreams) {
  balancer_.Update(Plain("far", "brescia"));
  balancer_.Update(Plain("near", "verona"));
  EXPECT_EQ(balancer_.Choose(Call(), {}, At(0s))->upstream.id, UpstreamId("near"));
  balancer_.OnSent(UpstreamId("near"), Call(), 0, At(0s));
  EXPECT_EQ(balancer_.Choose(Call(), {}, At(0s))->upstream.id, UpstreamId("far"));
}

// Guards against avoiding an upstream after a slowdown of some hundred milliseconds, e.g. by
// another VM on the same host.
TEST_F(FleetLoadBalancerTest, ReportedSlownessExpires) {
  AddEngines(2);
  const WorkEstimate work = Prompt(1, 2, 100, 100);
  const UpstreamId affinity_upstream = balancer_.Choose(work, {}, At(0s))->upstream.id;
  balancer_.OnSent(affinity_upstream, work, 2000, At(0s));
  balancer_.OnFirstByte(affinity_upstream, 2000, At(0s));
  const UpstreamSignal slow{.load = UpstreamSignal::Load{.running = 1, .slowness = 8}};
  balancer_.OnSignal(*balancer_.Find(affinity_upstream), slow, At(0s), At(0s));
  EXPECT_NE(balancer_.Choose(work, {}, At(100ms))->upstream.id, affinity_upstream);
  EXPECT_EQ(balancer_.Choose(work, {}, At(2s))->upstream.id, affinity_upstream);
}

// Guards against rejecting a burst of short calls that fills the slots of a plain service for some
// milliseconds.
TEST_F(FleetLoadBalancerTest, PlainUpstreamsAcceptTwoRequestsPerSlot) {
  balancer_.Update(Plain("only", "verona"));
  for (int i = 0; i < 12; ++i) {
    ASSERT_TRUE(balancer_.Choose(Call(), {}, At(0s))) << i;
    balancer_.OnSent(UpstreamId("only"), Call(), 0, At(0s));
  }
  EXPECT_FALSE(balancer_.Choose(Call(), {}, At(0s)));
}

// Guards against state that survives a restart of the process under the same name.
TEST_F(FleetLoadBalancerTest, RestartedUpstreamHasNoRunningRequests) {
  AddEngines(1);
  Send(Prompt(1, 2), At(0s));
  EXPECT_EQ(balancer_.FreeSlots(kModel, At(0s)), 63);
  UpstreamRecord restarted = Engine("engine-0");
  restarted.started_ms = 2;
  balancer_.Update(restarted);
  EXPECT_EQ(balancer_.FreeSlots(kModel, At(0s)), 64);
}

// Guards against a stream that goes on at another version than the one that began it.
TEST_F(FleetLoadBalancerTest, ChoosesOnlyUpstreamsOfTheRequiredVersion) {
  UpstreamRecord old_engine = Engine("engine-old");
  old_engine.software_version = "v1";
  UpstreamRecord new_engine = Engine("engine-new");
  new_engine.software_version = "v2";
  balancer_.Update(old_engine);
  balancer_.Update(new_engine);
  WorkEstimate work = Prompt(1, 2);
  work.required_version = SoftwareVersionKey("v1");
  EXPECT_EQ(Send(work, At(0s)), old_engine.id);
  EXPECT_EQ(Send(work, At(0s)), old_engine.id);
  EXPECT_FALSE(balancer_.Choose(work, {old_engine.id}, At(0s)));
  EXPECT_TRUE(balancer_.HasVersion(kModel, SoftwareVersionKey("v1")));
  EXPECT_EQ(balancer_.FreeSlots(kModel, At(0s)), 126);
  EXPECT_EQ(balancer_.FreeSlots(kModel, At(0s), SoftwareVersionKey("v1")), 62);
  EXPECT_FALSE(balancer_.OnlyVersion(kModel));

  old_engine.leaving = true;
  balancer_.Update(old_engine);
  EXPECT_FALSE(balancer_.Choose(work, {}, At(0s)));
  EXPECT_FALSE(balancer_.HasVersion(kModel, SoftwareVersionKey("v1")));
  EXPECT_FALSE(balancer_.OnlyVersion(kModel));
}

// Guards against an upstream that counts as one of the version that it had before it started again
// under its id.
TEST_F(FleetLoadBalancerTest, AnUpstreamThatStartsAgainHasTheVersionOfItsNewProcess) {
  UpstreamRecord engine = Engine("engine");
  engine.software_version = "v1";
  balancer_.Update(engine);
  EXPECT_EQ(balancer_.OnlyVersion(kModel), SoftwareVersionKey("v1"));
  engine.started_ms = 2;
  engine.software_version = "v2";
  balancer_.Update(engine);
  EXPECT_EQ(balancer_.OnlyVersion(kModel), SoftwareVersionKey("v2"));
  WorkEstimate work = Prompt(1, 2);
  work.required_version = SoftwareVersionKey("v1");
  EXPECT_FALSE(balancer_.Choose(work, {}, At(0s)));
}

// Guards against a limited upstream that counts as free capacity, or is chosen as a last resort.
TEST_F(FleetLoadBalancerTest, LimitedUpstreamCountsAsWhatItTakes) {
  const DaemonId self("a");
  balancer_.signals().rate_limits().SetPeers(
      {.self = self, .failure_domain = FailureDomainId("verona"), .live = {self}, .domains = {}});
  AddEngines(2);
  EXPECT_EQ(balancer_.FreeSlots(kModel, At(0s)), 2 * 64);
  for (const UpstreamRecord& record : balancer_.Records()) {
    balancer_.signals().rate_limits().OnAnswer(FleetLoadBalancer::ProcessKeyOf(record), 1.0, At(0s),
                                               At(0s));
  }
  EXPECT_EQ(balancer_.FreeSlots(kModel, At(0s)), 2);
  EXPECT_DOUBLE_EQ(balancer_.BusyUpstreams(kModel, At(0s)), 2);
  for (int i = 0; i < 2; ++i) {
    const auto placement = balancer_.Choose(Prompt(1, 2), {}, At(0s));
    ASSERT_TRUE(placement);
    balancer_.OnSent(placement->upstream.id, Prompt(1, 2), 1, At(0s));
  }
  EXPECT_FALSE(balancer_.Choose(Prompt(1, 2), {}, At(900ms)));
  EXPECT_EQ(balancer_.FreeSlots(kModel, At(900ms)), 0);
  EXPECT_TRUE(balancer_.Choose(Prompt(1, 2), {}, At(1s)));
}

// Guards against the limit of a process that holds for the one that started in its place.
TEST_F(FleetLoadBalancerTest, LimitEndsWithItsProcess) {
  AddEngines(1);
  UpstreamRecord record = balancer_.Records().front();
  balancer_.signals().rate_limits().OnAnswer(FleetLoadBalancer::ProcessKeyOf(record), 1.0, At(0s),
                                             At(0s));
  EXPECT_FALSE(balancer_.Choose(Prompt(1, 2), {}, At(0s)));
  ++record.started_ms;
  balancer_.Update(record);
  EXPECT_TRUE(balancer_.Choose(Prompt(1, 2), {}, At(0s)));
}

// Guards against an upstream that leaves and counts as free, as of its version, or as sound again
// because of a registration of the same process.
TEST_F(FleetLoadBalancerTest, UpstreamThatSaysThatItLeavesGetsNoWork) {
  AddEngines(1);
  const UpstreamRecord record = balancer_.Records().front();
  EXPECT_TRUE(balancer_.OnSignal(record, {.leaving = true}, At(0s), At(0s)).leaving);
  EXPECT_TRUE(balancer_.Find(record.id)->leaving);
  balancer_.Update(record);
  EXPECT_FALSE(balancer_.Choose(Prompt(1, 2), {}, At(1s)));
  EXPECT_EQ(balancer_.FreeSlots(kModel, At(1s)), 0);
  EXPECT_FALSE(balancer_.HasVersion(kModel, SoftwareVersionKey(record.software_version)));
  balancer_.Remove(record.id);
  balancer_.Update(record);
  EXPECT_FALSE(balancer_.Choose(Prompt(1, 2), {}, At(1s)));
  UpstreamRecord next = record;
  next.started_ms += 1;
  balancer_.Update(next);
  EXPECT_TRUE(balancer_.Choose(Prompt(1, 2), {}, At(1s)));
}

// Guards against a process that is bound by its predecessor where no start time tells them apart.
TEST_F(FleetLoadBalancerTest, AnotherAddressIsAnotherProcess) {
  AddEngines(1);
  UpstreamRecord record = balancer_.Records().front();
  record.started_ms = 0;
  balancer_.Update(record);
  balancer_.OnSignal(record, {.leaving = true}, At(0s), At(0s));
  record.address = "10.9.9.9:1";
  balancer_.Update(record);
  EXPECT_TRUE(balancer_.Choose(Prompt(1, 2), {}, At(1s)));
}

// Guards against callers that are told to return too early or too late, and against an upstream
// that wants nothing for a while and counts as free or as lost capacity.
TEST_F(FleetLoadBalancerTest, ServiceWaitsForTheFirstUpstreamThatWantsRequests) {
  AddEngines(2);
  const std::vector<UpstreamRecord> records = balancer_.Records();
  EXPECT_FALSE(balancer_.NextWaitEnd(Prompt(1, 2), At(0s)));
  balancer_.OnSignal(records[0], {.wait = 4s, .rejects = true}, At(0s), At(0s));
  EXPECT_FALSE(balancer_.NextWaitEnd(Prompt(1, 2), At(0s)));
  balancer_.OnSignal(records[1], {.wait = 2s, .rejects = true}, At(0s), At(1s));
  EXPECT_EQ(balancer_.NextWaitEnd(Prompt(1, 2), At(1s)), At(3s));
  EXPECT_FALSE(balancer_.Choose(Prompt(1, 2), {}, At(2s)));
  EXPECT_EQ(balancer_.FreeSlots(kModel, At(2s)), 0);
  EXPECT_DOUBLE_EQ(balancer_.BusyUpstreams(kModel, At(2s)), 2);
  EXPECT_FALSE(balancer_.NextWaitEnd(Prompt(1, 2), At(3s)));
  EXPECT_TRUE(balancer_.Choose(Prompt(1, 2), {}, At(3s)));
}

// Guards against loaded engines that all count as silent, so that the few others get everything.
TEST_F(FleetLoadBalancerTest, EnginesThatAreAsSlowAsTheOthersAreNotSilent) {
  AddEngines(2);
  const WorkEstimate work = Prompt(1, 2);
  for (int i = 0; i < 50; ++i) {
    balancer_.OnFirstEvent(kModel, {.own_tokens = 1'000}, 1500ms, At(i * 20ms));
  }
  const UpstreamId first = Send(work, At(1s));
  EXPECT_EQ(Send(Prompt(1, 3), At(2500ms)), first);
}

// Guards against a herd: daemons with the same reports that choose the same engine.
TEST_F(FleetLoadBalancerTest, RandomCandidatesSpreadTheChoicesOfDaemonsWithTheSameReports) {
  constexpr int kDaemons = 50;
  constexpr int kEngines = 40;
  std::map<UpstreamId, int> chosen;
  for (int daemon = 0; daemon < kDaemons; ++daemon) {
    FleetLoadBalancer balancer({.local_domain = FailureDomainId("verona"),
                                .random_candidates = 2,
                                .seed = static_cast<std::uint64_t>(daemon)});
    std::vector<ReportedLoad> loads;
    for (int i = 0; i < kEngines; ++i) {
      const UpstreamRecord engine = Engine("engine-" + std::to_string(i));
      balancer.Update(engine);
      loads.push_back(
          {.upstream = FleetLoadBalancer::KeyOf(engine.id), .load = {.running = i == 7 ? 0 : 20}});
    }
    balancer.OnReport(ReportSource::Beyond(), loads, At(0s));
    ++chosen[balancer.Choose(Prompt(daemon, 1'000 + daemon, 10, 1'000), {}, At(0s))->upstream.id];
  }
  int most = 0;
  for (const auto& [engine, count] : chosen) {
    most = std::max(most, count);
  }
  EXPECT_LT(most, kDaemons / 4);
}

// Guards against a refusal because the upstreams that were drawn are full.
TEST_F(FleetLoadBalancerTest, FullCandidatesLeaveTheOtherUpstreams) {
  balancer_.SetRandomCandidates(1);
  for (int i = 0; i < 20; ++i) {
    balancer_.Update(Plain("plain-" + std::to_string(i), "verona"));
  }
  for (int i = 0; i < 20 * 12; ++i) {
    Send(Call(), At(0s));
  }
  EXPECT_FALSE(balancer_.Choose(Call(), {}, At(0s)));
}

}  // namespace
}  // namespace savoryglade
