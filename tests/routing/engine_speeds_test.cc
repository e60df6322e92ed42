#include "routing/engine_speeds.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/event_queue.h"
#include "routing/fleet_load_balancer.h"

namespace savoryglade {
namespace {

const ServiceId kModel("model");

TimePoint At(Duration time) { return TimePoint(100s) + time; }

ReportSource Daemon(const std::string& name) { return ReportSource::Daemon(DaemonId(name)); }

// Guards against prompts that are read beside a stream, and pass for a slow engine.
TEST(StreamPaceTest, IgnoresIntervalsThatPromptsProlong) {
  StreamPace pace;
  TimePoint now = At(0s);
  for (int i = 0; i < 12; ++i) {
    pace.OnEvents(now);
    now += i % 3 == 2 ? 300ms : 40ms;
  }
  EXPECT_NEAR(pace.LowerQuartile(), 0.04, 1e-6);
}

// Guards against events that arrive together and pass for a fast engine.
TEST(StreamPaceTest, IgnoresEventsThatArriveTogether) {
  StreamPace pace;
  for (int i = 0; i < 10; ++i) {
    pace.OnEvents(At(i * 50ms));
    pace.OnEvents(At(i * 50ms));
  }
  EXPECT_NEAR(pace.LowerQuartile(), 0.05, 1e-6);
}

TEST(StreamPaceTest, KnowsNothingOfShortStreams) {
  StreamPace pace;
  pace.OnEvents(At(0s));
  pace.OnEvents(At(50ms));
  EXPECT_EQ(pace.LowerQuartile(), 0);
}

// Guards against single streams that mark an engine, and against small differences.
TEST(EngineSpeedsTest, SmallDifferencesAndFewStreamsAreNoOtherSpeed) {
  EngineSpeeds speeds({});
  speeds.OnStream(1, 0.2, false);
  EXPECT_EQ(speeds.FactorOf(1, std::log(0.05)), 1);
  for (int i = 0; i < 4; ++i) {
    speeds.OnStream(2, 0.053, false);
  }
  EXPECT_EQ(speeds.FactorOf(2, std::log(0.05)), 1);
}

// Load pattern: each daemon sees few streams of an engine.
TEST(EngineSpeedsTest, CombinesWhatDaemonsObserve) {
  EngineSpeeds one({});
  EngineSpeeds other({});
  one.OnStream(1, 0.08, true);
  other.OnStream(1, 0.08, false);
  one.OnReport(Daemon("other"), other.SelectForReport(8), At(0s));
  EXPECT_NEAR(one.FactorOf(1, std::log(0.05)), 1.6, 1e-6);
  EXPECT_NEAR(one.PaceOf(1).late_fraction, 0.5, 1e-6);
  // A newer report replaces the older one.
  one.OnReport(Daemon("other"), other.SelectForReport(8), At(1s));
  EXPECT_NEAR(one.PaceOf(1).late_fraction, 0.5, 1e-6);
}

// Guards against observations of a daemon that was lost and counts for ever.
TEST(EngineSpeedsTest, ForgetsDaemonsThatNoLongerReport) {
  EngineSpeeds speeds({});
  speeds.OnReport(Daemon("lost"), {{.process = 1, .interval_s = 0.1, .streams = 4}}, At(0s));
  EXPECT_TRUE(speeds.PaceOf(1).known);
  speeds.Expire(At(60s));
  EXPECT_FALSE(speeds.PaceOf(1).known);
}

// Guards against values in a datagram that no engine can have.
TEST(EngineSpeedsTest, IgnoresImpossiblePaces) {
  EngineSpeeds speeds({});
  speeds.OnReport(Daemon("other"),
                  {{.process = 1, .interval_s = 0, .streams = 4},
                   {.process = 2, .interval_s = -1, .streams = 4},
                   {.process = 3, .interval_s = std::nan(""), .streams = 4},
                   {.process = 4, .interval_s = 0.1, .streams = 0}},
                  At(0s));
  for (std::uint64_t process = 1; process <= 4; ++process) {
    EXPECT_FALSE(speeds.PaceOf(process).known);
  }
}

// Guards against a daemon that starts and never learns of engines whose paces do not change.
TEST(EngineSpeedsTest, ReportsAllPacesInTurn) {
  EngineSpeeds speeds({});
  for (std::uint64_t process = 1; process <= 20; ++process) {
    speeds.OnStream(process, 0.05, false);
  }
  std::map<std::uint64_t, int> reported;
  for (int i = 0; i < 10; ++i) {
    for (const ReportedPace& pace : speeds.SelectForReport(8)) {
      ++reported[pace.process];
    }
  }
  EXPECT_EQ(reported.size(), 20U);
  for (const auto& [process, count] : reported) {
    EXPECT_GE(count, 3) << process;
  }
}

// Load pattern: engines take 0.6, 1 and 1.6 times the usual time, at a load below what all can
// take.
class UnevenEnginesTest : public testing::Test {
 protected:
  static constexpr int kEngines = 12;
  static constexpr std::array<double, 3> kSpeeds = {0.6, 1.0, 1.6};

  UnevenEnginesTest() : balancer_({.local_domain = FailureDomainId("verona")}) {
    for (int i = 0; i < kEngines; ++i) {
      balancer_.Update({.id = UpstreamId("engine-" + std::to_string(i)),
                        .service = kModel,
                        .address = "127.0.0.1:80",
                        .failure_domain = FailureDomainId("verona"),
                        .slots = 64,
                        .started_ms = i + 1});
    }
  }

  static double SpeedOf(const UpstreamId& id) {
    return kSpeeds.at(static_cast<std::size_t>(std::stoi(id.value().substr(7))) % kSpeeds.size());
  }

  // Sends a request and records its stream at its end.
  void Send(EventQueue& events) {
    const WorkEstimate work{.service = kModel, .prompt_tokens = 600, .output_tokens = 300};
    const auto placement = balancer_.Choose(work, {}, events.now());
    ASSERT_TRUE(placement);
    const UpstreamRecord engine = placement->upstream;
    const double speed = SpeedOf(engine.id);
    balancer_.OnSent(engine.id, work, placement->uncached_tokens, events.now());
    balancer_.OnFirstByte(engine.id, placement->uncached_tokens, events.now());
    ++sent_[speed];
    events.After(FromSeconds(kStreamSeconds * speed), [this, engine, placement, speed, &events] {
      balancer_.OnEnd(engine.id, placement->uncached_tokens, true, AttemptEnd::kAnswered,
                      events.now());
      balancer_.speeds().OnStream(FleetLoadBalancer::ProcessKeyOf(engine), 0.05 * speed, false);
    });
  }

  static constexpr double kStreamSeconds = 2;

  FleetLoadBalancer balancer_;
  std::map<double, int> sent_;
};

// Guards against an equal number of running requests at all engines, with which those on slow ones
// wait for each of their events.
TEST_F(UnevenEnginesTest, FastEnginesRunMoreRequestsThanSlowOnes) {
  EventQueue events;
  events.RunUntil(At(0s));
  constexpr int kRequests = 3'000;
  for (int i = 0; i < kRequests; ++i) {
    events.After(i * 10ms, [this, &events, i] {
      if (i == kRequests / 3) {
        sent_.clear();
      }
      Send(events);
    });
  }
  events.RunUntil(At(60s));
  // With an equal number of running requests these ratios are 1.67 and 0.63.
  EXPECT_GT(sent_[0.6], 2 * sent_[1.0]);
  EXPECT_LT(2 * sent_[1.6], sent_[1.0]);
}

// Guards against streams that are placed at an engine whose pauses are too long for their callers,
// while others have room.
TEST_F(UnevenEnginesTest, EnginesWithLatePausesGetLessWork) {
  const UpstreamRecord late = *balancer_.Find(UpstreamId("engine-1"));
  for (int i = 0; i < 8; ++i) {
    balancer_.speeds().OnStream(FleetLoadBalancer::ProcessKeyOf(late), 0.05, true);
  }
  const WorkEstimate work{.service = kModel, .prompt_tokens = 600, .output_tokens = 300};
  for (int i = 0; i < 100; ++i) {
    const auto placement = balancer_.Choose(work, {}, At(1s));
    ASSERT_TRUE(placement);
    EXPECT_NE(placement->upstream.id, late.id);
    balancer_.OnSent(placement->upstream.id, work, placement->uncached_tokens, At(1s));
    balancer_.OnFirstByte(placement->upstream.id, placement->uncached_tokens, At(1s));
  }
}

}  // namespace
}  // namespace savoryglade
