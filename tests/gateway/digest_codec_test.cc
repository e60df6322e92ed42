#include "gateway/digest_codec.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "core/random.h"
#include "gateway/report_exchange.h"

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
  fleet->rate_limiter.Configure(document.accounts, At(0s));
  fleet->routes = std::make_shared<const RouteTable>(std::move(document));
  fleet->load_balancer.Update(
      {.id = kEngine, .service = kModel, .address = "127.0.0.1:1", .slots = 4});
  return fleet;
}

Result<FleetReport> SendReport(FleetState& from, FleetState& to, ReportScope scope, bool whole,
                               TimePoint now) {
  Result<FleetReport> report =
      DecodeDigest(EncodeDigest(ReportExchange(from).BuildReport(scope, whole, now)));
  if (report) {
    ReportExchange(to).Apply(*report, now);
  }
  return report;
}

// Guards against steps, orders and counts of roll-outs that are lost on the way between daemons.
TEST(DigestCodecTest, RoundTripsRollouts) {
  FleetReport report{.sender = {.id = DaemonId("there")}, .rollout_orders_age = 70ms};
  rollout::ReportedRollout rollout{
      .order = {.service = kModel, .to = "v2", .duration = 12s, .version = 1ULL << 49, .era = 2},
      .order_age = 1500ms,
      .abandoned = {5, 6},
      .step = {.fencing = 1'000'001,
               .number = 9,
               .stage = rollout::RolloutStage::kRamp,
               .share = 0.25,
               .upstreams = 3,
               .route_shares = {{7, 0.5}}},
      .confirmation = 12,
      .step_age = 40ms};
  rollout.counts[7] = {.requests = 100,
                       .sent_to_new = 8,
                       .old_version = {.good = 90, .failed = 1, .slow = 2},
                       .new_version = {.good = 3, .failed = 4, .slow = 1}};
  report.rollouts.push_back(rollout);
  const Result<FleetReport> read = DecodeDigest(EncodeDigest(report));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->rollouts, report.rollouts);
  EXPECT_EQ(read->rollout_orders_age, 70ms);
  // A report of an earlier build.
  const Result<FleetReport> earlier = DecodeDigest(EncodeDigest({.sender = report.sender}));
  ASSERT_TRUE(earlier);
  EXPECT_TRUE(earlier->rollouts.empty());
  EXPECT_FALSE(earlier->rollout_orders_age);
}

TEST(DigestCodecTest, RoundTripsTheStateOfADaemon) {
  const auto local = MakeFleet("here");
  const auto remote = MakeFleet("there");
  remote->load_balancer.OnSent(kEngine, {.service = kModel, .prompt_tokens = 10}, 10, At(1s));
  remote->usage.OnRequestStarted(remote->WindowAt(At(1s)), kDrivers);
  remote->crash_registry.OnLoss(7, 1, At(1s));
  remote->crash_registry.OnLoss(7, 2, At(1s));
  remote->crash_registry.OnLoss(7, 3, At(1s));
  remote->work.Add(kModel, 2.5);
  remote->crash_records_known = true;
  remote->OnStoreEra({.number = 3, .seen_since = At(400ms)});
  remote->load_balancer.signals().rate_limits().OnAnswer(5, 2.5, At(500ms), At(900ms));
  remote->load_balancer.signals().rate_limits().OnAnswer(6, 2.5, At(0s), At(0s));
  remote->load_balancer.signals().rate_limits().OnAnswer(6, std::nullopt, At(500ms), At(900ms));
  for (std::uint64_t upstream = 1; upstream <= 3; ++upstream) {
    remote->path_crash_registry.OnLoss(8, upstream, At(1s));
  }
  const Result<FleetReport> report =
      SendReport(*remote, *local, ReportScope::kDaemon, true, At(1s));
  ASSERT_TRUE(report);
  EXPECT_EQ(report->sender.id, DaemonId("there"));
  EXPECT_FALSE(report->leaving);
  EXPECT_EQ(local->load_balancer.FreeSlots(kModel, At(1s)), 3);
  EXPECT_EQ(local->usage.Total(local->WindowAt(At(1s))), (capacity::WindowCounts{{kDrivers, 1}}));
  EXPECT_TRUE(local->crash_registry.IsRefused(7, At(1s)));
  EXPECT_TRUE(local->path_crash_registry.IsRefused(8, At(1s)));
  EXPECT_TRUE(local->crash_records_known);
  EXPECT_EQ(local->store_era, (StoreEra{.number = 3, .seen_since = At(400ms)}));
  EXPECT_EQ(local->load_balancer.signals().rate_limits().RateOf(5), 2.5);
  EXPECT_EQ(report->rate_limits,
            (std::vector<ReportedRateLimit>{{.upstream = 5, .rate = 2.5, .age = 100ms},
                                            {.upstream = 6, .rate = std::nullopt, .age = 100ms}}));
  EXPECT_DOUBLE_EQ(local->work.Total(kModel), 2.5);
}

// Guards against notices and rejections that peers do not hear of, or take for newer than they are.
TEST(DigestCodecTest, RoundTripsWhatUpstreamsSayOfThemselves) {
  const auto local = MakeFleet("here");
  const auto remote = MakeFleet("there");
  const UpstreamRecord engine = *remote->load_balancer.Find(kEngine);
  const std::uint64_t process = FleetLoadBalancer::ProcessKeyOf(engine);
  remote->load_balancer.OnSignal(engine, {.leaving = true}, At(0s), At(400ms));
  remote->load_balancer.OnSignal(engine, {.rejection_limit = 4, .rejects = true}, At(0s),
                                 At(900ms));
  const Result<FleetReport> report =
      SendReport(*remote, *local, ReportScope::kDaemon, true, At(1s));
  ASSERT_TRUE(report);
  EXPECT_EQ(report->notices, (std::vector<ReportedNotice>{{.upstream = process, .age = 600ms}}));
  EXPECT_EQ(report->rejections, (std::vector<ReportedNotice>{{.upstream = process, .age = 100ms}}));
  UpstreamRecord registered = engine;
  registered.leaving = true;
  remote->load_balancer.Update(registered);
  EXPECT_TRUE(SendReport(*remote, *local, ReportScope::kDaemon, true, At(1s))->notices.empty());
}

TEST(DigestCodecTest, RoundTripsRegistrationChanges) {
  FleetReport report{.sender = {.id = DaemonId("there")}};
  const UpstreamRecord record{.id = kEngine,
                              .service = kModel,
                              .address = "10.0.0.1:80",
                              .failure_domain = FailureDomainId("verona"),
                              .slots = 4,
                              .leaving = true,
                              .reclaimable = true,
                              .started_ms = 77,
                              .software_version = "2.1-rc"};
  report.feed_update = FeedUpdate{.after = 3,
                                  .position = 9,
                                  .changes = {{.id = kEngine, .record = record, .version = 8},
                                              {.id = UpstreamId("gone"), .version = 9}}};
  report.feed_update_age = 20ms;
  const Result<FleetReport> read = DecodeDigest(EncodeDigest(report));
  ASSERT_TRUE(read);
  ASSERT_TRUE(read->feed_update);
  EXPECT_EQ(read->feed_update->after, 3U);
  EXPECT_EQ(read->feed_update->position, 9U);
  EXPECT_EQ(read->feed_update_age, 20ms);
  ASSERT_EQ(read->feed_update->changes.size(), 2U);
  EXPECT_EQ(read->feed_update->changes[0].record, record);
  EXPECT_EQ(read->feed_update->changes[0].version, 8U);
  EXPECT_FALSE(read->feed_update->changes[1].record);
}

TEST(DigestCodecTest, RoundTripsTheVersionsOfStreams) {
  FleetReport report{.sender = {.id = DaemonId("there")}};
  report.streams = {{.attempt = 1, .version = 5}, {.attempt = 2, .version = 6}};
  const Result<FleetReport> read = DecodeDigest(EncodeDigest(report));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->streams, report.streams);
}

// Guards against reports that grow by more than the eight bytes of each attempt.
TEST(DigestCodecTest, StreamTakesEightBytesOfAReport) {
  FleetReport report{.sender = {.id = DaemonId("there")}};
  report.streams = {{.attempt = 1, .version = 5}};
  const std::size_t size = EncodeDigest(report).size();
  for (std::uint64_t attempt = 2; attempt <= 101; ++attempt) {
    report.streams.push_back({.attempt = attempt, .version = 5});
  }
  EXPECT_EQ(EncodeDigest(report).size(), size + 800);
}

TEST(DigestCodecTest, RoundTripsASnapshotOfStreams) {
  StreamVersionSnapshot snapshot{.known_age = 40s};
  snapshot.versions.push_back({.service = kModel, .version = 5, .present_age = 20ms});
  snapshot.versions.push_back({.service = kModel, .version = 6, .absent_age = 3s});
  snapshot.records = {{.attempt = 1, .version = 5}, {.attempt = 2, .version = 6}};
  Result<StreamVersionSnapshot> read = DecodeStreamSnapshot(EncodeStreamSnapshot(snapshot));
  ASSERT_TRUE(read);
  // Rounded up to the next millisecond.
  snapshot.versions[1].absent_age = 3001ms;
  EXPECT_EQ(*read, snapshot);
  snapshot.known_age.reset();
  read = DecodeStreamSnapshot(EncodeStreamSnapshot(snapshot));
  ASSERT_TRUE(read);
  EXPECT_FALSE(read->known_age);
}

TEST(DigestCodecTest, MalformedSnapshotsDoNotCrash) {
  StreamVersionSnapshot snapshot{.known_age = 40s};
  snapshot.versions.push_back({.service = kModel, .version = 6, .absent_age = 3s});
  snapshot.records = {{.attempt = 1, .version = 5}, {.attempt = 2, .version = 6}};
  const std::string text = EncodeStreamSnapshot(snapshot);
  StreamVersionDirectory directory({});
  Random random(20261204);
  for (int i = 0; i < 2000; ++i) {
    std::string bytes = text;
    for (std::uint64_t change = random.UniformInt(8) + 1; change > 0; --change) {
      bytes[random.UniformInt(bytes.size())] = static_cast<char>(random.UniformInt(256));
    }
    bytes.resize(random.UniformInt(bytes.size()) + 1);
    if (const Result<StreamVersionSnapshot> read = DecodeStreamSnapshot(bytes)) {
      directory.OnPeerSnapshot(*read, 1ms, At(1s));
    }
  }
  EXPECT_FALSE(DecodeStreamSnapshot(""));
}

// Guards against counting a daemon's own requests twice when it receives its own datagram.
TEST(DigestCodecTest, IgnoresTheDaemonsOwnDatagram) {
  const auto local = MakeFleet("here");
  local->usage.OnRequestStarted(local->WindowAt(At(1s)), kDrivers);
  ASSERT_TRUE(SendReport(*local, *local, ReportScope::kDaemon, true, At(1s)));
  EXPECT_EQ(local->usage.Total(local->WindowAt(At(1s))), (capacity::WindowCounts{{kDrivers, 1}}));
}

// Guards against crashes on datagrams with random changes. Those that still decode are applied.
TEST(DigestCodecTest, MalformedDatagramsDoNotCrash) {
  const auto local = MakeFleet("here");
  const auto remote = MakeFleet("there");
  remote->work.Add(kModel, 2.5);
  const std::string digest =
      EncodeDigest(ReportExchange(*remote).BuildReport(ReportScope::kDaemon, true, At(1s)));
  Random random(20261204);
  for (int i = 0; i < 2000; ++i) {
    std::string bytes = digest;
    for (std::uint64_t change = random.UniformInt(8) + 1; change > 0; --change) {
      bytes[random.UniformInt(bytes.size())] = static_cast<char>(random.UniformInt(256));
    }
    bytes.resize(random.UniformInt(bytes.size()) + 1);
    if (const Result<FleetReport> report = DecodeDigest(bytes)) {
      ReportExchange(*local).Apply(*report, At(1s));
    }
  }
  EXPECT_FALSE(DecodeDigest(""));
  EXPECT_FALSE(DecodeDigest(std::string(64, '\xff')));
}

}  // namespace
}  // namespace savoryglade::gateway
