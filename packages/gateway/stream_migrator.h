#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gateway/adapter.h"
#include "gateway/fleet_state.h"
#include "routing/fleet_load_balancer.h"

namespace savoryglade::gateway {

// A stream that runs at one upstream, and where it goes if that upstream leaves.
class MigratableStream {
 public:
  enum class State : std::uint8_t {
    kRunning,
    // Its memory is being copied, and it runs on.
    kCopying,
    // Its upstream was told to stop it; the outcome is not known yet.
    kStopping,
    // The destination has the copy.
    kMigrated,
    // It was stopped, and its upstream kept the memory.
    kKeptAtSource,
    // It could not be moved.
    kFailed,
  };

  MigratableStream(boost::asio::io_context& context, std::string attempt_id, UpstreamRecord source,
                   WorkEstimate work)
      : attempt_id_(std::move(attempt_id)),
        source_(std::move(source)),
        work_(std::move(work)),
        stop_done_(context, boost::asio::steady_timer::time_point::max()) {}

  State state() const { return state_; }
  const UpstreamRecord& source() const { return source_; }
  // Where the run goes on, with what: the destination, or its upstream if that kept the memory.
  const UpstreamRecord& resume_upstream() const {
    return state_ == State::kMigrated ? destination_ : source_;
  }
  KvCacheCopy kv_copy() const { return {.source = source_.address, .handle = handle_}; }
  bool stopped() const { return state_ == State::kMigrated || state_ == State::kKeptAtSource; }

 private:
  friend class StreamMigrator;

  std::string attempt_id_;
  UpstreamRecord source_;
  WorkEstimate work_;
  State state_ = State::kRunning;
  // Whether the stream has ended, so that a copy is of no use.
  bool ended_ = false;
  UpstreamRecord destination_;
  std::string handle_;
  // Cancelled once a stop has its outcome.
  boost::asio::steady_timer stop_done_;
};

// Moves streams away from upstreams that leave, before they break off: copies the memory of a run
// to another engine while it runs on, and then stops it and copies the rest. Used by one thread.
class StreamMigrator {
 public:
  StreamMigrator(FleetState& fleet, EngineApi& engines, boost::asio::io_context& context);

  // Watches a stream until it is forgotten. It is moved if its upstream leaves.
  std::shared_ptr<MigratableStream> Track(const std::string& attempt_id,
                                          const UpstreamRecord& source, const WorkEstimate& work);
  void Untrack(const std::shared_ptr<MigratableStream>& stream);

  // Takes the notice of an upstream that leaves.
  void OnUpstreamLeaving(const UpstreamId& upstream);

  // Waits for the outcome if the upstream was told to stop the run. Returns whether it was stopped,
  // so that it goes on elsewhere.
  boost::asio::awaitable<bool> AwaitStopOutcome(std::shared_ptr<MigratableStream> stream);

 private:
  void StartMigration(const std::shared_ptr<MigratableStream>& stream);
  boost::asio::awaitable<void> Migrate(std::shared_ptr<MigratableStream> stream);
  // Copies the run to the first engine with room. Returns false if there is none.
  boost::asio::awaitable<bool> CopyToAvailableEngine(MigratableStream& stream);

  FleetState& fleet_;
  EngineApi& engines_;
  boost::asio::io_context& context_;
  std::map<UpstreamId, std::set<std::shared_ptr<MigratableStream>>> streams_by_source_;
};

}  // namespace savoryglade::gateway
