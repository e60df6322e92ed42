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

// Migration state of a stream that runs at one upstream.
class MigratableStream {
 public:
  enum class State : std::uint8_t {
    kRunning,
    // The KV cache is being copied while the stream runs.
    kCopying,
    // The source was asked to stop the stream; the outcome is not known yet.
    kStopping,
    // The stream was stopped, and the destination holds its KV cache.
    kMigrated,
    // The stream was stopped, and the source still holds its KV cache.
    kKeptAtSource,
    // The stream could not be migrated and was not asked to stop.
    kFailed,
    // The source was asked to stop the stream and did not say whether it did.
    kStopUnknown,
  };

  MigratableStream(boost::asio::io_context& context, std::string attempt_id, UpstreamRecord source,
                   WorkEstimate work)
      : attempt_id_(std::move(attempt_id)),
        source_(std::move(source)),
        work_(std::move(work)),
        stop_done_(context, boost::asio::steady_timer::time_point::max()) {}

  State state() const { return state_; }
  const UpstreamRecord& source() const { return source_; }
  // Returns the upstream at which a stopped stream resumes: the destination, or the source if it
  // kept the KV cache.
  const UpstreamRecord& resume_upstream() const {
    return state_ == State::kMigrated ? destination_ : source_;
  }
  KvCacheCopy kv_copy() const { return {.source = source_.address, .handle = handle_}; }
  // Requests that a move may cost: one to the destination, and one back to the source if the
  // destination rejects it.
  static constexpr int kMaxResumptions = 2;
  // Returns how many of these the outcome of the stop allows.
  int max_resumptions() const {
    if (!stopped()) {
      return 0;
    }
    return state_ == State::kMigrated ? kMaxResumptions : 1;
  }
  // Returns when kMaxResumptions were consumed in the retry budget.
  TimePoint resumptions_consumed_at() const { return resumptions_consumed_at_; }
  // Returns true if the source stopped the stream and it can resume from its KV cache.
  bool stopped() const { return state_ == State::kMigrated || state_ == State::kKeptAtSource; }
  // Returns true while it is not known whether the source stops the stream.
  bool is_stopping() const { return state_ == State::kStopping; }

 private:
  friend class StreamMigrator;

  std::string attempt_id_;
  UpstreamRecord source_;
  WorkEstimate work_;
  State state_ = State::kRunning;
  // Whether the stream has ended, so that it no longer needs a copy.
  bool ended_ = false;
  // Whether nobody continues the stream once it is stopped.
  bool abandoned_ = false;
  UpstreamRecord destination_;
  std::string handle_;
  TimePoint resumptions_consumed_at_{};
  // Cancelled once the outcome of a stop is known.
  boost::asio::steady_timer stop_done_;
};

// Whether the end of a stream may be that of a stop for its migration.
enum class StopOutcome : std::uint8_t {
  kNotStopped,
  // The source stopped the stream, which has to resume elsewhere.
  kStopped,
  // The source may have stopped the stream.
  kUnknown,
};

// Migrates streams away from upstreams that are about to leave. Copies the KV cache to another
// engine while the stream runs, then stops the stream and copies the remainder. Not thread-safe.
class StreamMigrator {
 public:
  StreamMigrator(FleetState& fleet, EngineApi& engines, boost::asio::io_context& context);

  // Registers a stream until Untrack. The stream is migrated if its upstream leaves.
  std::shared_ptr<MigratableStream> Track(const std::string& attempt_id,
                                          const UpstreamRecord& source, const WorkEstimate& work);
  void Untrack(const std::shared_ptr<MigratableStream>& stream);

  // Gives up a stream that is not continued from its copy. Frees the copy and returns the retries
  // that its move consumed.
  void Abandon(const std::shared_ptr<MigratableStream>& stream);

  // Starts migrating all streams of an upstream that leaves.
  void OnUpstreamLeaving(const UpstreamId& upstream);

  // Waits at most for the timeout until a stop in progress has an outcome.
  static boost::asio::awaitable<StopOutcome> AwaitStopOutcome(
      std::shared_ptr<MigratableStream> stream, Duration timeout);

 private:
  void StartMigration(const std::shared_ptr<MigratableStream>& stream);
  boost::asio::awaitable<void> Migrate(std::shared_ptr<MigratableStream> stream);
  // Stops the stream at its source and copies the rest of its KV cache to the destination.
  boost::asio::awaitable<void> StopAndCopy(MigratableStream& stream);
  // Consumes the requests that the move may cost in the retry budget. Waits for a short time if the
  // budget is used up. Returns false if it stays so, or the stream has ended.
  boost::asio::awaitable<bool> ConsumeResumptions(MigratableStream& stream);
  // Copies the KV cache to the first engine with room. Returns false if none has room or a copy
  // fails.
  boost::asio::awaitable<bool> CopyToAvailableEngine(MigratableStream& stream);

  // Returns retries that the move of a stream consumed and does not need.
  void ReturnResumptions(const MigratableStream& stream, int resumptions);

  boost::asio::awaitable<void> FreeCopy(std::shared_ptr<MigratableStream> stream);

  // Returns true if the destination is registered at the version of the stream's source.
  bool CanContinueAt(const MigratableStream& stream, const UpstreamRecord& destination) const;

  FleetState& fleet_;
  EngineApi& engines_;
  boost::asio::io_context& context_;
  std::map<UpstreamId, std::set<std::shared_ptr<MigratableStream>>> streams_by_source_;
};

}  // namespace savoryglade::gateway
