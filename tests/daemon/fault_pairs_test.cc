#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "capacity/lease.h"
#include "core/event_queue.h"
#include "daemon/platform_config_change.h"
#include "membership/config_replica.h"
#include "provider/memory_platform.h"

namespace savoryglade {
namespace {

using capacity::Lease;
using capacity::LeaseOptions;
using membership::ConfigReplica;
using membership::ConfigSource;
using provider::CommitStatus;
using provider::MemoryPlatform;
using provider::ReadResult;

constexpr std::size_t kNodes = 3;
constexpr Duration kTableLatency = 40ms;

// Simulates three daemons in three failure domains, built from the daemon's own lease, replica and
// change objects, with a faulty platform and operators on a virtual clock. Checks the invariants at
// each step.
class FaultModel {
 public:
  FaultModel() {
    platform_.SetFaults({.delay = kTableLatency});
    for (std::size_t i = 0; i < kNodes; ++i) {
      nodes_.push_back(std::make_unique<Node>(i));
      TickNode(i);
      PollTable(i);
    }
    Gossip();
  }

  EventQueue& clock() { return clock_; }
  MemoryPlatform& platform() { return platform_; }
  void Pause(std::size_t node, bool paused) {
    nodes_[node]->paused = paused;
    if (!paused) {
      for (auto& event : std::exchange(nodes_[node]->deferred_events, {})) {
        event();
      }
    }
  }
  void SetPartitioned(std::size_t a, std::size_t b, bool partitioned) {
    partitioned_[a][b] = partitioned_[b][a] = partitioned;
  }
  // Makes the platform unreachable from a failure domain.
  void SetPlatformUnreachable(std::size_t node, bool unreachable) {
    nodes_[node]->platform_unreachable = unreachable;
  }

  std::size_t LeaseHolder() {
    for (std::size_t i = 0; i < kNodes; ++i) {
      if (!nodes_[i]->paused && nodes_[i]->lease.IsHeld(clock_.now())) {
        return i;
      }
    }
    return kNodes;
  }

  // Starts an operator's change at a node, based on the node's active version.
  void StartChange(std::size_t node) {
    const std::uint64_t expected = nodes_[node]->replica.version();
    Configuration requested;
    requested.accounts.push_back({.name = AccountId("change-" + std::to_string(++last_change_)),
                                  .key_sha256 = std::string(64, '0')});
    const std::string id = "id-" + std::to_string(last_change_);
    auto change =
        std::make_shared<ConfigChange>(std::move(requested), expected, id, clock_.now() + 10s);
    ExecuteStep(node, change, ConfigChange::Start(), id);
  }

  // Checks, after all faults have ended, that no accepted change is missing and that all daemons
  // have the newest version.
  void CheckFinalState() {
    const ConfigurationRow row = ReadTableRow();
    for (const std::string& id : accepted_) {
      EXPECT_TRUE(std::any_of(row.changes.begin(), row.changes.end(),
                              [&id](const auto& change) { return change.change_id == id; }))
          << "accepted change " << id << " is lost";
    }
    for (const std::string& id : not_applied_) {
      EXPECT_FALSE(std::any_of(row.changes.begin(), row.changes.end(),
                               [&id](const auto& change) { return change.change_id == id; }))
          << "change " << id << " was reported as not applied";
    }
    for (const auto& node : nodes_) {
      EXPECT_EQ(node->replica.version(), row.configuration->version);
      EXPECT_TRUE(node->replica.ready());
    }
    EXPECT_LT(LeaseHolder(), kNodes) << "no daemon holds the lease";
    EXPECT_FALSE(accepted_.empty());
  }

 private:
  struct Node {
    explicit Node(std::size_t index)
        : lease("capacity", DaemonId("daemon-" + std::to_string(index)), 1, LeaseOptions{}),
          replica({}, TimePoint{}),
          rate(0.95 + 0.05 * static_cast<double>(index)) {}

    Lease lease;
    ConfigReplica replica;
    // Rate of its clock: 5% slow, exact, 5% fast.
    double rate;
    bool paused = false;
    bool platform_unreachable = false;
    std::uint64_t last_version = 0;
    std::vector<std::function<void()>> deferred_events;
  };

  TimePoint LocalTime(const Node& node) const {
    return TimePoint(FromSeconds(ToSeconds(clock_.now().time_since_epoch()) * node.rate));
  }

  // Runs an event at a node, deferred until the end of a pause.
  void RunWhenResumed(std::size_t i, std::function<void()> event) {
    if (nodes_[i]->paused) {
      nodes_[i]->deferred_events.push_back(std::move(event));
    } else {
      event();
    }
  }

  void Read(std::size_t i, const std::string& key, const std::function<void(ReadResult)>& done) {
    if (nodes_[i]->platform_unreachable) {
      clock_.After(1s, [this, i, done] {
        RunWhenResumed(i, [done] {
          done(tl::make_unexpected(Error{.code = ErrorCode::kTimeout, .message = "cut off"}));
        });
      });
      return;
    }
    platform_.Read(
        key, [this, i, done](const ReadResult& r) { RunWhenResumed(i, [done, r] { done(r); }); });
  }

  void Commit(std::size_t i, const provider::Transaction& transaction,
              const std::function<void(CommitStatus)>& done) {
    if (nodes_[i]->platform_unreachable) {
      clock_.After(
          1s, [this, i, done] { RunWhenResumed(i, [done] { done(CommitStatus::kUnavailable); }); });
      return;
    }
    platform_.Commit(transaction, [this, i, done](CommitStatus s) {
      RunWhenResumed(i, [done, s] { done(s); });
    });
  }

  void TickNode(std::size_t i) {
    clock_.After(100ms, [this, i] { RunWhenResumed(i, [this, i] { TickNode(i); }); });
    Node& node = *nodes_[i];
    const TimePoint now = LocalTime(node);
    node.replica.UpdateReady(now);
    CheckInvariants();
    const auto operation = node.lease.Tick(now);
    if (!operation) {
      return;
    }
    if (const auto* commit = std::get_if<Lease::CommitRow>(&*operation)) {
      Commit(i, commit->transaction,
             [this, &node](CommitStatus status) { node.lease.OnCommit(status, LocalTime(node)); });
    } else {
      Read(i, "lease/capacity",
           [this, &node](const ReadResult& row) { node.lease.OnRead(row, LocalTime(node)); });
    }
  }

  void PollTable(std::size_t i) {
    Read(i, kConfigurationRowKey, [this, i](const ReadResult& result) {
      Node& node = *nodes_[i];
      if (!result) {
        node.replica.OnTableUnavailable();
      } else {
        const auto row = ParseConfigurationRow(result->value);
        node.replica.OnTableVersion(row->configuration->version, LocalTime(node));
        node.replica.ApplyIfNewer(row->configuration, ConfigSource::kTable, {}, LocalTime(node));
      }
      clock_.After(1s, [this, i] { RunWhenResumed(i, [this, i] { PollTable(i); }); });
    });
  }

  // Sends each daemon's snapshot to the others every second, as heartbeats and fetches do.
  void Gossip() {
    for (std::size_t from = 0; from < kNodes; ++from) {
      for (std::size_t to = 0; to < kNodes; ++to) {
        if (from == to || partitioned_[from][to] || nodes_[from]->paused) {
          continue;
        }
        clock_.After(1ms, [this, from, to, snapshot = nodes_[from]->replica.snapshot()] {
          RunWhenResumed(to, [this, from, to, snapshot] {
            Node& node = *nodes_[to];
            const DaemonId peer("daemon-" + std::to_string(from));
            node.replica.OnPeerVersion(peer, snapshot->version);
            node.replica.ApplyIfNewer(snapshot, ConfigSource::kPeer, peer, LocalTime(node));
          });
        });
      }
    }
    clock_.After(1s, [this] { Gossip(); });
  }

  void ExecuteStep(std::size_t i, const std::shared_ptr<ConfigChange>& change,
                   const ConfigChange::Step& step, const std::string& id) {
    if (std::holds_alternative<ConfigChange::ReadRow>(step)) {
      Read(i, kConfigurationRowKey, [=, this](const ReadResult& result) {
        ExecuteStep(i, change, change->OnRead(result, clock_.now()), id);
      });
    } else if (const auto* commit = std::get_if<ConfigChange::CommitRows>(&step)) {
      Commit(i, commit->transaction, [=, this](CommitStatus status) {
        ExecuteStep(i, change, change->OnCommit(status, clock_.now()), id);
      });
    } else if (const auto* wait = std::get_if<ConfigChange::Wait>(&step)) {
      clock_.After(wait->duration, [=, this] {
        RunWhenResumed(i, [=, this] { ExecuteStep(i, change, ConfigChange::OnWaitElapsed(), id); });
      });
    } else {
      const auto& outcome = std::get<ConfigChangeOutcome>(step);
      if (outcome.current) {
        nodes_[i]->replica.ApplyIfNewer(outcome.current, ConfigSource::kOperator, {},
                                        LocalTime(*nodes_[i]));
      }
      if (outcome.kind == ConfigChangeOutcome::Kind::kAccepted) {
        accepted_.push_back(id);
        EXPECT_GE(ReadTableVersion(), outcome.version);
      } else if (outcome.kind != ConfigChangeOutcome::Kind::kUnknown) {
        not_applied_.push_back(id);
      }
    }
  }

  // Reads a row with the platform's faults disabled.
  std::string ReadTableValue(const std::string& key) {
    const provider::Faults faults = platform_.faults();
    platform_.SetFaults({});
    std::string value;
    platform_.Read(key, [&value](const ReadResult& result) { value = result->value; });
    platform_.SetFaults(faults);
    return value;
  }

  ConfigurationRow ReadTableRow() {
    return *ParseConfigurationRow(ReadTableValue(kConfigurationRowKey));
  }

  std::uint64_t ReadTableVersion() {
    const std::string value = ReadTableValue(kConfigurationVersionRowKey);
    return value.empty() ? 0 : std::stoull(value);
  }

  void CheckInvariants() {
    int holders = 0;
    for (const auto& node : nodes_) {
      EXPECT_GE(node->replica.version(), node->last_version) << "a replica's version decreased";
      node->last_version = node->replica.version();
      // A paused daemon executes nothing, so it can't act on its lease.
      holders += !node->paused && node->lease.IsHeld(LocalTime(*node)) ? 1 : 0;
    }
    EXPECT_LE(holders, 1) << "two lease holders at " << ToSeconds(clock_.now().time_since_epoch());
    const std::uint64_t version = ReadTableVersion();
    EXPECT_GE(version, table_version_) << "the table's version decreased";
    table_version_ = version;
  }

  EventQueue clock_;
  MemoryPlatform platform_{[this](Duration d, auto f) { clock_.After(d, std::move(f)); }};
  std::vector<std::unique_ptr<Node>> nodes_;
  bool partitioned_[kNodes][kNodes] = {};
  int last_change_ = 0;
  std::uint64_t table_version_ = 0;
  std::vector<std::string> accepted_;
  std::vector<std::string> not_applied_;
};

struct Fault {
  std::string name;
  std::function<void(FaultModel&, bool begins)> set;
};

std::vector<Fault> AllFaults() {
  // Platform faults may overlap, so each changes only its own field.
  const auto platform_fault = [](void (*change)(provider::Faults&, bool)) {
    return [change](FaultModel& model, bool begins) {
      provider::Faults faults = model.platform().faults();
      change(faults, begins);
      model.platform().SetFaults(faults);
    };
  };
  auto paused = std::make_shared<std::vector<std::size_t>>();
  std::vector<Fault> faults = {
      {"table outage", platform_fault([](provider::Faults& f, bool on) { f.outage = on; })},
      {"slow table",
       platform_fault([](provider::Faults& f, bool on) { f.delay = on ? 1500ms : kTableLatency; })},
      {"lost responses", platform_fault([](provider::Faults& f, bool on) { f.lose_answers = on; })},
      {"paused holder",
       [paused](FaultModel& model, bool begins) {
         if (begins) {
           paused->push_back(std::min(model.LeaseHolder(), kNodes - 1));
           model.Pause(paused->back(), true);
         } else {
           model.Pause(paused->front(), false);
           paused->erase(paused->begin());
         }
       }},
      {"concurrent operators",
       [](FaultModel& model, bool begins) {
         if (begins) {
           model.StartChange(0);
           model.StartChange(1);
           model.StartChange(2);
         }
       }},
  };
  for (std::size_t a = 0; a < kNodes; ++a) {
    faults.push_back(
        {"no platform for domain " + std::to_string(a),
         [a](FaultModel& model, bool begins) { model.SetPlatformUnreachable(a, begins); }});
    for (std::size_t b = a + 1; b < kNodes; ++b) {
      faults.push_back(
          {"partition " + std::to_string(a) + "-" + std::to_string(b),
           [a, b](FaultModel& model, bool begins) { model.SetPartitioned(a, b, begins); }});
    }
  }
  return faults;
}

// Runs a pair of faults of 18 s each, the second starting after an offset, with one change per
// second.
void RunPair(const Fault& first, const Fault* second, Duration offset) {
  SCOPED_TRACE(first.name + " and " + (second ? second->name : "none") + " after " +
               std::to_string(offset / 1ms) + " ms");
  FaultModel model;
  EventQueue& clock = model.clock();
  for (int i = 0; i < 50; ++i) {
    clock.At(TimePoint(1s * i + 350ms),
             [&model, i] { model.StartChange(static_cast<std::size_t>(i) % kNodes); });
  }
  const Duration begin = 15s;
  const Duration length = 18s;
  // Changes whose read completes just before a fault begins, and whose commit is affected by it.
  clock.At(TimePoint(begin - kTableLatency), [&model] { model.StartChange(0); });
  clock.At(TimePoint(begin + offset - kTableLatency), [&model] { model.StartChange(1); });
  clock.At(TimePoint(begin), [&] { first.set(model, true); });
  clock.At(TimePoint(begin + length), [&] { first.set(model, false); });
  if (second) {
    clock.At(TimePoint(begin + offset), [&] { second->set(model, true); });
    clock.At(TimePoint(begin + offset + length), [&] { second->set(model, false); });
  }
  clock.RunUntil(TimePoint(90s));
  model.CheckFinalState();
}

// Guards against two active lease holders, decreasing versions and lost accepted changes under a
// single fault.
TEST(FaultPairs, SingleFaultPreservesInvariants) {
  for (const Fault& fault : AllFaults()) {
    RunPair(fault, nullptr, 0s);
  }
}

// Guards against the same failures under each ordered pair of faults, including a fault paired with
// itself: simultaneous, overlapping and consecutive.
TEST(FaultPairs, PairOfFaultsPreservesInvariants) {
  const std::vector<Fault> faults = AllFaults();
  for (const Fault& first : faults) {
    for (const Fault& second : faults) {
      for (const Duration offset : {Duration(0s), Duration(7300ms), Duration(18500ms)}) {
        RunPair(first, &second, offset);
      }
    }
  }
}

}  // namespace
}  // namespace savoryglade
