#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/event_queue.h"
#include "core/random.h"
#include "membership/membership.h"

namespace savoryglade::membership {

// Simulates daemons of several failure domains that exchange heartbeats over a lossy network in
// virtual time. Shared by the tests and the benchmarks.
class FleetModel {
 public:
  struct Options {
    int domains = 4;
    int daemons = 8;
    double loss = 0;
    Duration latency = 1ms;
    Duration tick = 50ms;
    std::uint64_t seed = 1;
  };

  // Called when a daemon, the observer, detects a change of another one.
  using Observer = std::function<void(int observer, const MemberChange& change)>;

  explicit FleetModel(const Options& options) : options_(options), random_(options.seed) {
    std::vector<Peer> peers;
    for (int i = 0; i < options.daemons; ++i) {
      names_.push_back(Name(i));
      index_[names_.back()] = i;
      peers.push_back({.daemon = names_.back(), .failure_domain = Domain(i)});
    }
    peers_ = peers;
    nodes_.resize(static_cast<std::size_t>(options.daemons));
    for (int i = 0; i < options.daemons; ++i) {
      Start(i);
    }
  }

  EventQueue& clock() { return clock_; }
  Membership& node(int i) { return *nodes_[static_cast<std::size_t>(i)].membership; }
  bool running(int i) const { return nodes_[static_cast<std::size_t>(i)].membership != nullptr; }
  FailureDomainId Domain(int i) const {
    return FailureDomainId("domain-" + std::to_string(100 + i % options_.domains));
  }
  DaemonId Name(int i) const { return DaemonId("daemon-" + std::to_string(1000 + i)); }
  int IndexOf(const DaemonId& daemon) const { return index_.at(daemon); }
  std::uint64_t heartbeats() const { return heartbeats_; }

  // Starts or restarts a daemon. The incarnation is its start time unless one is given.
  void Start(int i, std::optional<std::uint64_t> incarnation = std::nullopt) {
    Node& node = nodes_[static_cast<std::size_t>(i)];
    const auto start_ms = static_cast<std::uint64_t>(clock_.now().time_since_epoch() / 1ms) + 1;
    node.membership = std::make_unique<Membership>(names_[static_cast<std::size_t>(i)], Domain(i),
                                                   incarnation.value_or(start_ms),
                                                   MembershipOptions{}, clock_.now());
    node.membership->SetPeers(peers_, clock_.now());
    ++node.epoch;
    // The first tick is random, so that the daemons do not tick simultaneously.
    clock_.After(FromSeconds(ToSeconds(options_.tick) * random_.UniformReal()),
                 [this, i, epoch = node.epoch] { Tick(i, epoch); });
  }

  void Stop(int i) { nodes_[static_cast<std::size_t>(i)].membership.reset(); }

  // Pauses a daemon: it neither ticks nor receives until Resume, which runs the deferred events.
  void Pause(int i) { nodes_[static_cast<std::size_t>(i)].paused = true; }
  void Resume(int i) {
    Node& node = nodes_[static_cast<std::size_t>(i)];
    node.paused = false;
    for (auto& event : std::exchange(node.deferred_events, {})) {
      event();
    }
  }

  // Starts or ends a network partition between the failure domains with the indexes a and b.
  void SetPartitioned(int a, int b, bool partitioned) {
    partitions_[{std::min(a, b), std::max(a, b)}] = partitioned;
  }

  void Observe(Observer observer) { observer_ = std::move(observer); }

 private:
  struct Node {
    std::unique_ptr<Membership> membership;
    std::uint64_t epoch = 0;
    bool paused = false;
    std::vector<std::function<void()>> deferred_events;
  };

  void Tick(int i, std::uint64_t epoch) {
    Node& node = nodes_[static_cast<std::size_t>(i)];
    if (!node.membership || node.epoch != epoch) {
      return;
    }
    if (node.paused) {
      node.deferred_events.push_back([this, i, epoch] { Tick(i, epoch); });
      return;
    }
    for (const MemberChange& change : node.membership->Tick(clock_.now())) {
      if (observer_) {
        observer_(i, change);
      }
    }
    for (const DueHeartbeat& due : node.membership->TakeDueHeartbeats(clock_.now())) {
      Send(i, due);
    }
    clock_.After(options_.tick, [this, i, epoch] { Tick(i, epoch); });
  }

  void Send(int from, const DueHeartbeat& due) {
    const int to = IndexOf(due.to);
    ++heartbeats_;
    const int a = from % options_.domains;
    const int b = to % options_.domains;
    if (random_.Bernoulli(options_.loss) || partitions_[{std::min(a, b), std::max(a, b)}]) {
      return;
    }
    auto heartbeat =
        std::make_shared<Heartbeat>(node(from).MakeHeartbeat(due.to, due.answer_wanted));
    clock_.After(options_.latency, [this, to, heartbeat] { Deliver(to, heartbeat); });
  }

  void Deliver(int to, const std::shared_ptr<Heartbeat>& heartbeat) {
    Node& node = nodes_[static_cast<std::size_t>(to)];
    if (!node.membership) {
      return;
    }
    if (node.paused) {
      node.deferred_events.push_back([this, to, heartbeat] { Deliver(to, heartbeat); });
      return;
    }
    if (node.membership->OnHeartbeat(*heartbeat, clock_.now())) {
      Send(to, {.to = heartbeat->daemon});
    }
  }

  Options options_;
  Random random_;
  EventQueue clock_;
  std::vector<DaemonId> names_;
  std::map<DaemonId, int> index_;
  std::vector<Peer> peers_;
  std::vector<Node> nodes_;
  std::map<std::pair<int, int>, bool> partitions_;
  Observer observer_;
  std::uint64_t heartbeats_ = 0;
};

}  // namespace savoryglade::membership
