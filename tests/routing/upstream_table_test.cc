#include "routing/upstream_table.h"

#include <set>
#include <string>
#include <vector>

#include "gtest/gtest.h"

namespace savoryglade {
namespace {

Configuration TwoUpstreams() {
  Configuration configuration;
  for (const char* name : {"a", "b"}) {
    UpstreamConfig upstream;
    upstream.name = UpstreamId(name);
    upstream.service = ServiceId("assistant");
    upstream.concurrency = 1;
    configuration.upstreams.push_back(upstream);
  }
  return configuration;
}

// Guards against new work for an upstream that announced that it leaves.
TEST(UpstreamTableTest, LeavingUpstreamGetsNoNewWork) {
  UpstreamTable table(1);
  const TimePoint now{};
  table.Configure(TwoUpstreams(), now);
  table.OnNotice(UpstreamId("a"), true, now);
  const auto chosen = table.Select({.service = ServiceId("assistant")}, now);
  ASSERT_TRUE(chosen);
  EXPECT_EQ(*chosen, UpstreamId("b"));
  EXPECT_FALSE(table.HasCapacity(ServiceId("assistant"), now));
}

const ServiceId kService("assistant");
const TimePoint kStart{};

UpstreamConfig MakeUpstream(const std::string& name, const std::string& domain = "brescia") {
  UpstreamConfig upstream;
  upstream.name = UpstreamId(name);
  upstream.service = kService;
  upstream.failure_domain = FailureDomainId(domain);
  upstream.concurrency = 64;
  return upstream;
}

Configuration MakeGroup(int size) {
  Configuration configuration;
  for (int i = 0; i < size; ++i) {
    configuration.upstreams.push_back(MakeUpstream("u" + std::to_string(i)));
  }
  return configuration;
}

// Sends requests to a table and answers them with a given latency.
class Driver {
 public:
  explicit Driver(UpstreamTable& table) : table_(table) {}

  AttemptId Dispatch(UpstreamId& upstream, bool repeatable = true, AttemptId hedge_of = 0) {
    const AttemptId attempt = ++last_attempt_;
    const auto chosen = table_.Select({.service = kService,
                                       .predicted_cost = 0.1,
                                       .attempt = attempt,
                                       .repeatable = repeatable,
                                       .hedge_of = hedge_of},
                                      now);
    upstream = chosen.value_or(UpstreamId());
    return chosen ? attempt : 0;
  }

  void Complete(AttemptId attempt, const UpstreamId& upstream, Duration total) {
    table_.OnFinish(upstream, {.total = total, .attempt = attempt}, now);
  }

  // Runs requests one at a time with normal latency and returns the upstreams that received one.
  std::set<UpstreamId> RunWithNormalLatency(int count) {
    std::set<UpstreamId> used;
    for (int i = 0; i < count; ++i) {
      UpstreamId upstream;
      const AttemptId attempt = Dispatch(upstream);
      now += 10ms;
      Complete(attempt, upstream, 100ms);
      used.insert(upstream);
    }
    return used;
  }

  // Dispatches requests until one goes to the wanted upstream, and returns its attempt.
  AttemptId DispatchTo(const UpstreamId& wanted, bool repeatable = true) {
    for (int i = 0; i < 1000; ++i) {
      UpstreamId upstream;
      const AttemptId attempt = Dispatch(upstream, repeatable);
      if (upstream == wanted) {
        return attempt;
      }
      Complete(attempt, upstream, 100ms);
    }
    ADD_FAILURE() << "no request went to " << wanted.value();
    return 0;
  }

  TimePoint now = kStart + 1s;

 private:
  UpstreamTable& table_;
  AttemptId last_attempt_ = 0;
};

// Guards against a late notice for a removed upstream that disables its successor of the same name.
TEST(UpstreamTableTest, NoticeForARemovedUpstreamDoesNotAffectItsSuccessor) {
  UpstreamTable table(1);
  Configuration configuration = MakeGroup(1);
  table.Configure(configuration, kStart);
  table.OnNotice(UpstreamId("u0"), {.leaving = true, .sequence = 3}, kStart);
  table.Configure(Configuration{}, kStart);
  table.OnNotice(UpstreamId("u0"), {.leaving = true, .sequence = 3}, kStart);
  EXPECT_EQ(table.counters()[RoutingCount::kNoticesUnknownUpstream], 1U);
  configuration.upstreams[0].vm = VmId("another");
  table.Configure(configuration, kStart);
  EXPECT_TRUE(table.HasCapacity(kService, kStart));
}

// Guards against rejections that are counted under the wrong cause.
TEST(UpstreamTableTest, EachRefusalIsCountedByItsCause) {
  UpstreamTable table(1);
  EXPECT_FALSE(table.Select({.service = kService}, kStart));
  EXPECT_EQ(table.counters()[RoutingCount::kRefusedUnknownService], 1U);
  table.Configure(MakeGroup(1), kStart);
  EXPECT_FALSE(table.Select({.service = kService, .excluded = {UpstreamId("u0")}}, kStart));
  EXPECT_EQ(table.counters()[RoutingCount::kRefusedExcluded], 1U);
  while (table.Select({.service = kService}, kStart)) {
  }
  EXPECT_EQ(table.counters()[RoutingCount::kRefusedAtLimit], 1U);
  table.OnNotice(UpstreamId("u0"), true, kStart);
  EXPECT_FALSE(table.Select({.service = kService}, kStart));
  EXPECT_EQ(table.counters()[RoutingCount::kRefusedLeaving], 1U);
}

// Guards against a failed upstream that receives a burst of requests at the end of its pause.
TEST(UpstreamTableTest, FailedUpstreamGetsOneProbeAfterItsPause) {
  UpstreamTable table(1);
  table.Configure(MakeGroup(1), kStart);
  Driver driver(table);
  UpstreamId upstream;
  AttemptId attempt = driver.Dispatch(upstream);
  table.OnFinish(upstream, {.result = AttemptResult::kConnectFailed, .attempt = attempt},
                 driver.now);
  EXPECT_FALSE(table.HasCapacity(kService, driver.now));
  driver.now += 1s;
  EXPECT_TRUE(table.HasCapacity(kService, driver.now));
  attempt = driver.Dispatch(upstream);
  EXPECT_NE(attempt, 0U);
  EXPECT_FALSE(table.HasCapacity(kService, driver.now));
  driver.Complete(attempt, upstream, 100ms);
  EXPECT_TRUE(table.HasCapacity(kService, driver.now));
  EXPECT_EQ(table.LimitOf(UpstreamId("u0")), 5);
}

// Guards against a probe that ends without an answer and blocks the upstream permanently.
TEST(UpstreamTableTest, CancelledProbeAllowsAnotherOne) {
  UpstreamTable table(1);
  table.Configure(MakeGroup(1), kStart);
  Driver driver(table);
  UpstreamId upstream;
  AttemptId attempt = driver.Dispatch(upstream);
  table.OnFinish(upstream, {.result = AttemptResult::kLost, .attempt = attempt}, driver.now);
  driver.now += 1s;
  attempt = driver.Dispatch(upstream);
  table.OnFinish(upstream, {.result = AttemptResult::kCancelled, .attempt = attempt}, driver.now);
  EXPECT_NE(driver.Dispatch(upstream), 0U);
}

// Guards against a repeated finish of an attempt that releases the slot of another one.
TEST(UpstreamTableTest, RepeatedFinishReleasesNoOtherSlot) {
  UpstreamTable table(1);
  Configuration configuration = MakeGroup(1);
  configuration.upstreams[0].concurrency = 2;
  table.Configure(configuration, kStart);
  Driver driver(table);
  UpstreamId upstream;
  const AttemptId first = driver.Dispatch(upstream);
  driver.Dispatch(upstream);
  driver.Complete(first, upstream, 100ms);
  driver.Complete(first, upstream, 100ms);
  EXPECT_NE(driver.Dispatch(upstream), 0U);
  EXPECT_FALSE(table.HasCapacity(kService, driver.now));
}

// Guards against a leaked slot when the caller starts an attempt with an id and finishes it without
// the id, as the daemon's model handler did.
TEST(UpstreamTableTest, AttemptFinishedWithoutItsIdReleasesItsSlot) {
  UpstreamTable table(1);
  table.Configure(TwoUpstreams(), kStart);
  TimePoint now = kStart;
  for (AttemptId attempt = 1; attempt <= 100; ++attempt) {
    const auto chosen = table.Select({.service = kService, .attempt = attempt}, now);
    ASSERT_TRUE(chosen) << "attempt " << attempt;
    table.OnFirstToken(*chosen, 10ms, now + 10ms);
    now += 20ms;
    table.OnFinish(*chosen, {.first_token = 10ms, .total = 20ms, .tokens = 5}, now);
  }
}

// Guards against a finish without an id that releases the slot of an attempt with an id while one
// without an id runs.
TEST(UpstreamTableTest, FinishWithoutAnIdPrefersAttemptsWithoutOne) {
  UpstreamTable table(1);
  Configuration configuration = MakeGroup(1);
  configuration.upstreams[0].concurrency = 2;
  table.Configure(configuration, kStart);
  const UpstreamId upstream("u0");
  ASSERT_TRUE(table.Select({.service = kService, .attempt = 7}, kStart));
  ASSERT_TRUE(table.Select({.service = kService}, kStart + 1ms));
  table.OnFinish(upstream, {.total = 100ms}, kStart + 100ms);
  table.OnFinish(upstream, {.total = 100ms, .attempt = 7}, kStart + 100ms);
  ASSERT_TRUE(table.Select({.service = kService}, kStart + 200ms));
  EXPECT_TRUE(table.HasCapacity(kService, kStart + 200ms));
}

// Guards against leaked slots when the caller gives no attempt ids.
TEST(UpstreamTableTest, AttemptsWithoutIdsReleaseTheirSlots) {
  UpstreamTable table(1);
  table.Configure(TwoUpstreams(), kStart);
  for (int i = 0; i < 100; ++i) {
    const auto chosen = table.Select({.service = kService}, kStart);
    ASSERT_TRUE(chosen);
    table.OnFirstToken(*chosen, 10ms, kStart + 10ms);
    table.OnFinish(*chosen, {.first_token = 10ms, .total = 20ms, .tokens = 5}, kStart + 20ms);
  }
}

// Guards against new work for a straggler, and against one that is never readmitted.
TEST(UpstreamTableTest, StragglerGetsOnlyProbesUntilItRecovers) {
  UpstreamTable table(1);
  table.Configure(MakeGroup(6), kStart);
  Driver driver(table);
  EXPECT_EQ(driver.RunWithNormalLatency(200).size(), 6U);
  const UpstreamId slow("u2");
  const AttemptId attempt = driver.DispatchTo(slow);
  driver.now += 10ms;
  driver.Complete(attempt, slow, 1500ms);
  ASSERT_TRUE(table.IsStraggler(slow));
  EXPECT_FALSE(driver.RunWithNormalLatency(15).contains(slow));
  driver.now += 1s;
  driver.RunWithNormalLatency(200);
  EXPECT_FALSE(table.IsStraggler(slow));
  EXPECT_EQ(table.counters()[RoutingCount::kStragglersReturned], 1U);
  EXPECT_GE(table.counters()[RoutingCount::kProbes], 2U);
}

// Guards against detecting a straggler only when its slow answers arrive.
TEST(UpstreamTableTest, StragglerIsDetectedByTheAgeOfUnansweredAttempts) {
  UpstreamTable table(1);
  table.Configure(MakeGroup(6), kStart);
  Driver driver(table);
  driver.RunWithNormalLatency(200);
  const UpstreamId slow("u2");
  driver.DispatchTo(slow);
  driver.now += 800ms;
  driver.RunWithNormalLatency(100);
  EXPECT_TRUE(table.IsStraggler(slow));
}

// Guards against a silent upstream that receives work until its next first token is late, although
// all its running streams have stopped.
TEST(UpstreamTableTest, StragglerIsDetectedByStalledStreams) {
  UpstreamTable table(1);
  table.Configure(MakeGroup(6), kStart);
  Driver driver(table);
  struct Stream {
    AttemptId attempt = 0;
    UpstreamId upstream;
    int tokens = 0;
  };
  std::vector<Stream> streams(24);
  for (Stream& stream : streams) {
    stream.attempt = driver.Dispatch(stream.upstream);
  }
  driver.now += 50ms;
  for (const Stream& stream : streams) {
    table.OnFirstToken(stream.upstream, 50ms, driver.now, stream.attempt);
  }
  const UpstreamId slow = streams[0].upstream;
  const auto advance = [&](int reads, bool slow_runs) {
    for (int i = 0; i < reads; ++i) {
      driver.now += 80ms;
      for (Stream& stream : streams) {
        if (slow_runs || stream.upstream != slow) {
          stream.tokens += 4;
          table.OnProgress(stream.attempt, stream.tokens, driver.now);
        }
      }
      UpstreamId upstream;
      driver.Complete(driver.Dispatch(upstream), upstream, 100ms);
    }
  };
  advance(20, true);
  ASSERT_FALSE(table.IsStraggler(slow));
  advance(20, false);
  EXPECT_TRUE(table.IsStraggler(slow));
}

// Guards against ejecting all upstreams when all of them are slow at once.
TEST(UpstreamTableTest, AtMostAThirdOfAGroupIsEjected) {
  UpstreamTable table(1);
  table.Configure(MakeGroup(6), kStart);
  Driver driver(table);
  driver.RunWithNormalLatency(200);
  for (int i = 0; i < 200; ++i) {
    UpstreamId upstream;
    const AttemptId attempt = driver.Dispatch(upstream);
    driver.now += 1ms;
    driver.Complete(attempt, upstream, 2s);
    EXPECT_TRUE(table.HasCapacity(kService, driver.now));
  }
  EXPECT_LE(table.counters()[RoutingCount::kStragglersLeft], 2U);
}

// Guards against running a request twice that may not repeat.
TEST(UpstreamTableTest, RequestThatMayNotRepeatIsNeverHedged) {
  UpstreamTable table(1);
  table.Configure(MakeGroup(6), kStart);
  Driver driver(table);
  driver.RunWithNormalLatency(400);
  UpstreamId upstream;
  const AttemptId attempt = driver.Dispatch(upstream, false);
  driver.now += 10s;
  EXPECT_FALSE(table.HedgeTime(attempt, driver.now));
  UpstreamId other;
  EXPECT_EQ(driver.Dispatch(other, true, attempt), 0U);
}

// Guards against a request that waits on a straggler until its slow answer arrives.
TEST(UpstreamTableTest, RequestThatWaitsOnAStragglerIsHedgedOnceElsewhere) {
  UpstreamTable table(1);
  table.Configure(MakeGroup(6), kStart);
  Driver driver(table);
  driver.RunWithNormalLatency(400);
  UpstreamId slow;
  const AttemptId attempt = driver.Dispatch(slow);
  const auto early = table.HedgeTime(attempt, driver.now);
  ASSERT_TRUE(early);
  EXPECT_GT(*early, driver.now);
  driver.now += 600ms;
  const auto due = table.HedgeTime(attempt, driver.now);
  ASSERT_TRUE(due);
  EXPECT_LE(*due, driver.now);
  UpstreamId other;
  const AttemptId hedge = driver.Dispatch(other, true, attempt);
  ASSERT_NE(hedge, 0U);
  EXPECT_NE(other, slow);
  EXPECT_FALSE(table.HedgeTime(attempt, driver.now));
  EXPECT_FALSE(table.HedgeTime(hedge, driver.now + 10s));
  UpstreamId third;
  EXPECT_EQ(driver.Dispatch(third, true, attempt), 0U);
}

// Guards against charging a hedge again when the winning attempt ends, which used up the budget and
// left later requests waiting on stragglers.
TEST(UpstreamTableTest, HedgeIsChargedOnceForTheLosingAttempt) {
  UpstreamTable table(1);
  table.Configure(MakeGroup(6), kStart);
  Driver driver(table);
  driver.RunWithNormalLatency(400);
  UpstreamId slow;
  const AttemptId attempt = driver.Dispatch(slow);
  driver.now += 600ms;
  UpstreamId other;
  const AttemptId hedge = driver.Dispatch(other, true, attempt);
  ASSERT_NE(hedge, 0U);
  driver.now += 100ms;
  table.OnFinish(slow, {.result = AttemptResult::kCancelled, .total = 700ms, .attempt = attempt},
                 driver.now);
  const double charged = table.hedge_waste();
  EXPECT_LE(charged, 0.1);
  driver.Complete(hedge, other, 100ms);
  EXPECT_DOUBLE_EQ(table.hedge_waste(), charged);
}

// Guards against work in remote failure domains while the local one has capacity.
TEST(UpstreamTableTest, LocalFailureDomainIsPreferredUntilItIsBusy) {
  UpstreamTable table(1, {.local_domain = FailureDomainId("brescia"),
                          .latency = {{FailureDomainId("verona"), 20ms}}});
  Configuration configuration;
  for (int i = 0; i < 4; ++i) {
    configuration.upstreams.push_back(MakeUpstream("local" + std::to_string(i)));
    configuration.upstreams.push_back(MakeUpstream("remote" + std::to_string(i), "verona"));
  }
  table.Configure(configuration, kStart);
  Driver driver(table);
  for (const UpstreamId& upstream : driver.RunWithNormalLatency(100)) {
    EXPECT_EQ(upstream.value().substr(0, 5), "local");
  }
  std::set<UpstreamId> used;
  for (int i = 0; i < 200; ++i) {
    UpstreamId upstream;
    driver.Dispatch(upstream);
    used.insert(upstream);
  }
  EXPECT_TRUE(used.contains(UpstreamId("remote0")));
}

// Guards against sending a turn of a conversation to an upstream that has none of it cached.
TEST(UpstreamTableTest, PromptGoesToTheUpstreamThatCachesItsPrefix) {
  UpstreamTable table(1);
  table.Configure(MakeGroup(20), kStart);
  RouteRequest request{
      .service = kService, .predicted_cost = 2, .prefix_hashes = {1, 2, 3, 4}, .prompt_cost = 1};
  const auto first = table.Select(request, kStart);
  ASSERT_TRUE(first);
  table.OnFirstToken(*first, 1s, kStart + 1s);
  table.OnFinish(*first, {.first_token = 1s, .total = 2s, .tokens = 50}, kStart + 2s);
  request.prefix_hashes.push_back(5);
  const auto second = table.Select(request, kStart + 3s);
  ASSERT_TRUE(second);
  EXPECT_EQ(*second, *first);
}

}  // namespace
}  // namespace savoryglade
