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
class StreamRun {
 public:
  enum class State : std::uint8_t {
    kRuns,
    // Its memory is being copied, and it runs on.
    kCopies,
    // Its upstream was told to stop it; the outcome is not known yet.
    kStops,
    // The destination has the copy.
    kMoved,
    // It was stopped, and its upstream kept the memory.
    kKept,
    // It could not be moved.
    kFailed,
  };

  StreamRun(boost::asio::io_context& context, std::string attempt, UpstreamRecord from,
            WorkEstimate work)
      : attempt_(std::move(attempt)),
        from_(std::move(from)),
        work_(std::move(work)),
        settled_(context, boost::asio::steady_timer::time_point::max()) {}

  State state() const { return state_; }
  const UpstreamRecord& from() const { return from_; }
  // Where the run goes on, with what: the destination, or its upstream if that kept the memory.
  const UpstreamRecord& next() const { return state_ == State::kMoved ? to_ : from_; }
  RunCopy copy() const { return {.source = from_.address, .handle = handle_}; }
  bool stopped() const { return state_ == State::kMoved || state_ == State::kKept; }

 private:
  friend class RunMover;

  std::string attempt_;
  UpstreamRecord from_;
  WorkEstimate work_;
  State state_ = State::kRuns;
  // Whether the stream has ended, so that a copy is of no use.
  bool over_ = false;
  UpstreamRecord to_;
  std::string handle_;
  // Cancelled once a stop has its outcome.
  boost::asio::steady_timer settled_;
};

// Moves streams away from upstreams that leave, before they break off: copies the memory of a run
// to another engine while it runs on, and then stops it and copies the rest. Used by one thread.
class RunMover {
 public:
  RunMover(FleetState& fleet, EngineApi& engines, boost::asio::io_context& context);

  // Watches a stream until it is forgotten. It is moved if its upstream leaves.
  std::shared_ptr<StreamRun> Watch(const std::string& attempt, const UpstreamRecord& from,
                                   const WorkEstimate& work);
  void Forget(const std::shared_ptr<StreamRun>& run);

  // Takes the notice of an upstream that leaves.
  void OnLeaving(const UpstreamId& upstream);

  // Waits for the outcome if the upstream was told to stop the run. Returns whether it was stopped,
  // so that it goes on elsewhere.
  boost::asio::awaitable<bool> Settle(std::shared_ptr<StreamRun> run);

 private:
  void Begin(const std::shared_ptr<StreamRun>& run);
  boost::asio::awaitable<void> Move(std::shared_ptr<StreamRun> run);
  // Copies the run to the first engine with room. Returns false if there is none.
  boost::asio::awaitable<bool> CopyToAny(StreamRun& run);

  FleetState& fleet_;
  EngineApi& engines_;
  boost::asio::io_context& context_;
  std::map<UpstreamId, std::set<std::shared_ptr<StreamRun>>> runs_;
};

}  // namespace savoryglade::gateway
