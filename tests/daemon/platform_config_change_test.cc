#include "daemon/platform_config_change.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>

#include "core/event_queue.h"
#include "provider/memory_platform.h"

namespace savoryglade {
namespace {

using Kind = ConfigChangeOutcome::Kind;
using provider::MemoryPlatform;

Configuration WithUpstream(const std::string& name) {
  Configuration configuration;
  configuration.services.push_back({.name = ServiceId("assistant")});
  configuration.upstreams.push_back({.name = UpstreamId(name),
                                     .service = ServiceId("assistant"),
                                     .address = "127.0.0.1",
                                     .port = 1,
                                     .vm = VmId(name),
                                     .failure_domain = FailureDomainId("verona")});
  return configuration;
}

// Drives changes on the virtual clock against an in-memory platform.
class ConfigChangeTest : public testing::Test {
 protected:
  std::shared_ptr<ConfigChangeOutcome> StartChange(const std::string& upstream,
                                                   std::uint64_t expected, const std::string& id) {
    auto change =
        std::make_shared<ConfigChange>(WithUpstream(upstream), expected, id, clock_.now() + 10s);
    auto outcome = std::make_shared<ConfigChangeOutcome>();
    outcome->kind = Kind::kUnknown;
    ExecuteStep(change, ConfigChange::Start(), outcome);
    return outcome;
  }

  ConfigChangeOutcome RunChange(const std::string& upstream, std::uint64_t expected,
                                const std::string& id) {
    auto outcome = StartChange(upstream, expected, id);
    clock_.RunUntil(clock_.now() + 60s);
    return *outcome;
  }

  std::uint64_t ReadTableVersion() {
    std::uint64_t version = 0;
    platform_.Read(kConfigurationVersionRowKey, [&version](const provider::ReadResult& row) {
      version = row->value.empty() ? 0 : std::stoull(row->value);
    });
    return version;
  }

  EventQueue clock_;
  MemoryPlatform platform_{[this](Duration d, auto f) { clock_.After(d, std::move(f)); }};

 private:
  void ExecuteStep(const std::shared_ptr<ConfigChange>& change, const ConfigChange::Step& step,
                   const std::shared_ptr<ConfigChangeOutcome>& outcome) {
    if (std::holds_alternative<ConfigChange::ReadRow>(step)) {
      platform_.Read(kConfigurationRowKey, [=, this](const provider::ReadResult& result) {
        ExecuteStep(change, change->OnRead(result, clock_.now()), outcome);
      });
    } else if (const auto* commit = std::get_if<ConfigChange::CommitRows>(&step)) {
      platform_.Commit(commit->transaction, [=, this](provider::CommitStatus status) {
        ExecuteStep(change, change->OnCommit(status, clock_.now()), outcome);
      });
    } else if (const auto* wait = std::get_if<ConfigChange::Wait>(&step)) {
      clock_.After(wait->duration,
                   [=, this] { ExecuteStep(change, ConfigChange::OnWaitElapsed(), outcome); });
    } else {
      *outcome = std::get<ConfigChangeOutcome>(step);
    }
  }
};

TEST_F(ConfigChangeTest, AcceptedChangeIsStoredInTable) {
  const ConfigChangeOutcome outcome = RunChange("a", 0, "id-1");
  EXPECT_EQ(outcome.kind, Kind::kAccepted);
  EXPECT_EQ(outcome.version, 1U);
  EXPECT_EQ(ReadTableVersion(), 1U);
}

// Guards against an operator's change that silently overwrites a concurrent change.
TEST_F(ConfigChangeTest, ConflictReportsChangedNames) {
  platform_.SetFaults({.delay = 100ms});
  const auto first = StartChange("a", 0, "id-1");
  const auto second = StartChange("b", 0, "id-2");
  clock_.RunUntil(clock_.now() + 60s);
  EXPECT_EQ(first->kind, Kind::kAccepted);
  ASSERT_EQ(second->kind, Kind::kConflict);
  EXPECT_EQ(second->version, 1U);
  EXPECT_EQ(second->changed_names, (std::vector<std::string>{"services.assistant", "upstreams.a"}));
}

// Guards against a change that is reported as not applied although it takes effect.
TEST_F(ConfigChangeTest, LostResponseIsResolvedByReading) {
  platform_.SetFaults({.lose_answers = true});
  const auto outcome = StartChange("a", 0, "id-1");
  clock_.RunUntil(clock_.now() + 3s);
  platform_.SetFaults({});
  clock_.RunUntil(clock_.now() + 60s);
  EXPECT_EQ(outcome->kind, Kind::kNotApplied) << "the first read was lost, so nothing was written";
  EXPECT_EQ(ReadTableVersion(), 0U);

  // Only the response to the commit is lost.
  const auto written = StartChange("a", 0, "id-2");
  EXPECT_EQ(written->kind, Kind::kAccepted);
}

// Guards against treating a write as not applied when its response was lost and another change
// followed it.
TEST_F(ConfigChangeTest, LostWriteIsFoundAfterLaterChange) {
  platform_.SetFaults({.delay = 100ms});
  const auto first = StartChange("a", 0, "id-1");
  // The read completes after 200 ms; the response to the commit that follows is lost.
  clock_.RunUntil(clock_.now() + 150ms);
  platform_.SetFaults({.lose_answers = true});
  clock_.RunUntil(clock_.now() + 200ms);
  platform_.SetFaults({});
  EXPECT_EQ(ReadTableVersion(), 1U);
  EXPECT_EQ(RunChange("b", 1, "id-2").kind, Kind::kAccepted);
  EXPECT_EQ(first->kind, Kind::kAccepted);
  EXPECT_EQ(first->version, 1U);
  EXPECT_EQ(first->current->version, 2U);
}

// Guards against a change that is reported as not applied while a write of it may still take
// effect.
TEST_F(ConfigChangeTest, OutageAfterLostWriteIsReportedAsUnknown) {
  platform_.SetFaults({.delay = 100ms});
  const auto outcome = StartChange("a", 0, "id-1");
  clock_.RunUntil(clock_.now() + 150ms);
  platform_.SetFaults({.lose_answers = true});
  clock_.RunUntil(clock_.now() + 200ms);
  platform_.SetFaults({.outage = true});
  outcome->kind = Kind::kNotApplied;
  clock_.RunUntil(clock_.now() + 60s);
  EXPECT_EQ(outcome->kind, Kind::kUnknown);
  platform_.SetFaults({});
  EXPECT_EQ(ReadTableVersion(), 1U);
}

// Guards against a change that waits for an unavailable platform instead of being rejected.
TEST_F(ConfigChangeTest, ChangeDuringOutageIsNotApplied) {
  platform_.SetFaults({.outage = true});
  EXPECT_EQ(StartChange("a", 0, "id-1")->kind, Kind::kNotApplied);
  platform_.SetFaults({});
  EXPECT_EQ(ReadTableVersion(), 0U);
}

// Guards against fields of the row that are formatted but not parsed.
TEST_F(ConfigChangeTest, FormattedRowParsesToTheSameValue) {
  ConfigurationRow row;
  row.configuration = std::make_shared<const Configuration>(WithUpstream("a"));
  row.changes.push_back({.version = 3, .change_id = "id", .names = {"upstreams.a"}});
  const auto parsed = ParseConfigurationRow(FormatConfigurationRow(row));
  ASSERT_TRUE(parsed) << parsed.error().message;
  EXPECT_EQ(*parsed->configuration, *row.configuration);
  EXPECT_EQ(parsed->changes, row.changes);
}

}  // namespace
}  // namespace savoryglade
