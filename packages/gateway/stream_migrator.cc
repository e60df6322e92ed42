#include "gateway/stream_migrator.h"

#include <boost/asio.hpp>
#include <utility>

#include "core/boot_clock.h"
#include "logging/logger.h"
#include "net/sleep.h"
#include "routing/software_version.h"

namespace savoryglade::gateway {
namespace {

namespace asio = boost::asio;

// Engines that are tried as the destination of one stream.
constexpr int kMaxDestinations = 3;
// Time for which a move waits until other moves return what they consumed of the retry budget. They
// do when their destinations answer.
constexpr Duration kBudgetWait = 1s;
constexpr Duration kBudgetCheckInterval = 20ms;
constexpr const char* kMovesMetric = "savoryglade_gateway_moves_total";

const Logger kLog("gateway");

const char* OutcomeName(const MigratableStream& stream) {
  if (stream.stopped()) {
    return "moved";
  }
  return stream.state() == MigratableStream::State::kStopUnknown ? "unknown" : "failed";
}

}  // namespace

StreamMigrator::StreamMigrator(FleetState& fleet, EngineApi& engines, asio::io_context& context)
    : fleet_(fleet), engines_(engines), context_(context) {}

std::shared_ptr<MigratableStream> StreamMigrator::Track(const std::string& attempt_id,
                                                        const UpstreamRecord& source,
                                                        const WorkEstimate& work) {
  auto stream = std::make_shared<MigratableStream>(context_, attempt_id, source, work);
  streams_by_source_[source.id].insert(stream);
  const UpstreamRecord* const record = fleet_.load_balancer.Find(source.id);
  if (record == nullptr || record->leaving) {
    StartMigration(stream);
  }
  return stream;
}

void StreamMigrator::Untrack(const std::shared_ptr<MigratableStream>& stream) {
  stream->ended_ = true;
  const auto found = streams_by_source_.find(stream->source_.id);
  if (found != streams_by_source_.end()) {
    found->second.erase(stream);
    if (found->second.empty()) {
      streams_by_source_.erase(found);
    }
  }
}

void StreamMigrator::OnUpstreamLeaving(const UpstreamId& upstream) {
  const auto found = streams_by_source_.find(upstream);
  if (found == streams_by_source_.end()) {
    return;
  }
  for (const std::shared_ptr<MigratableStream>& stream : found->second) {
    StartMigration(stream);
  }
}

void StreamMigrator::StartMigration(const std::shared_ptr<MigratableStream>& stream) {
  const RoutedService* service =
      fleet_.routes == nullptr ? nullptr : fleet_.routes->FindService(stream->work_.service);
  if (stream->state_ != MigratableStream::State::kRunning || service == nullptr ||
      !service->supports_migration) {
    return;
  }
  stream->state_ = MigratableStream::State::kCopying;
  asio::co_spawn(context_, Migrate(stream), [](const std::exception_ptr& failure) {
    if (failure) {
      std::rethrow_exception(failure);
    }
  });
}

asio::awaitable<bool> StreamMigrator::CopyToAvailableEngine(MigratableStream& stream) {
  std::vector<UpstreamId> excluded = {stream.source_.id};
  // The whole KV cache is copied, so prompt parts cached elsewhere do not matter.
  WorkEstimate work = stream.work_;
  work.parts.clear();
  // Neither the KV cache nor the stream can be continued by another version.
  work.required_version = SoftwareVersionKey(stream.source_.software_version);
  for (int i = 0; i < kMaxDestinations && !stream.ended_; ++i) {
    const std::optional<Placement> placement =
        fleet_.load_balancer.Choose(work, excluded, BootNow());
    if (!placement) {
      co_return false;
    }
    stream.destination_ = placement->upstream;
    // The stream reaches the destination only after the copy; a limit counts it now, so that other
    // streams do not choose the same upstream meanwhile.
    fleet_.load_balancer.signals().rate_limits().OnSent(
        FleetLoadBalancer::ProcessKeyOf(stream.destination_), BootNow());
    excluded.push_back(stream.destination_.id);
    const Result<KvCopyResult> kv_copy = co_await engines_.CopyKvCache(
        stream.source_, stream.attempt_id_, stream.destination_, false);
    if (kv_copy && kv_copy->copied) {
      stream.handle_ = kv_copy->handle;
      co_return true;
    }
    if (!kv_copy) {
      kLog.Info("Copying a stream's KV cache failed; the stream stays at its upstream.",
                {{"request", stream.attempt_id_},
                 {"upstream", stream.source_.id.value()},
                 {"destination", stream.destination_.id.value()},
                 {"error", kv_copy.error().message}});
      co_return false;
    }
  }
  co_return false;
}

bool StreamMigrator::CanContinueAt(const MigratableStream& stream,
                                   const UpstreamRecord& destination) const {
  const UpstreamRecord* const record = fleet_.load_balancer.Find(destination.id);
  return record != nullptr && record->software_version == stream.source_.software_version;
}

asio::awaitable<bool> StreamMigrator::ConsumeResumptions(MigratableStream& stream) {
  const TimePoint begun_at = BootNow();
  stream.resumptions_consumed_at_ = begun_at;
  while (!fleet_.retry_budget.TryConsume(stream.work_.service, stream.resumptions_consumed_at_,
                                         MigratableStream::kMaxResumptions)) {
    if (stream.ended_ || BootNow() - begun_at > kBudgetWait) {
      co_return false;
    }
    co_await Sleep(kBudgetCheckInterval);
    stream.resumptions_consumed_at_ = BootNow();
  }
  co_return true;
}

void StreamMigrator::ReturnResumptions(const MigratableStream& stream, int resumptions) {
  fleet_.retry_budget.Refund(stream.work_.service, resumptions, stream.resumptions_consumed_at_,
                             BootNow());
}

asio::awaitable<void> StreamMigrator::Migrate(std::shared_ptr<MigratableStream> stream) {
  const bool copied = co_await CopyToAvailableEngine(*stream);
  stream->state_ = MigratableStream::State::kFailed;
  const bool has_budget = copied && co_await ConsumeResumptions(*stream);
  if (copied && stream->ended_) {
    if (has_budget) {
      ReturnResumptions(*stream, MigratableStream::kMaxResumptions);
    }
    co_await FreeCopy(stream);
    co_return;
  }
  if (has_budget) {
    // The destination may have started again at another version while it received the copy.
    if (CanContinueAt(*stream, stream->destination_)) {
      co_await StopAndCopy(*stream);
    }
    ReturnResumptions(*stream, MigratableStream::kMaxResumptions - stream->max_resumptions());
  }
  fleet_.metrics.GetCounter(kMovesMetric, {{"outcome", OutcomeName(*stream)}}).Add();
  kLog.Info("The migration of a stream has ended.",
            {{"request", stream->attempt_id_},
             {"upstream", stream->source_.id.value()},
             {"version", stream->source_.software_version},
             {"destination", stream->destination_.id.value()},
             {"destination_version", stream->destination_.software_version},
             {"copied", copied},
             {"outcome", OutcomeName(*stream)}});
  stream->stop_done_.cancel();
  if (stream->abandoned_ && stream->stopped()) {
    ReturnResumptions(*stream, stream->max_resumptions());
    co_await FreeCopy(stream);
  }
}

asio::awaitable<void> StreamMigrator::FreeCopy(std::shared_ptr<MigratableStream> stream) {
  const Result<void> dropped = co_await engines_.FreeKvCacheCopy(stream->kv_copy());
  if (!dropped) {
    kLog.Info("Freeing an unused KV cache copy failed; the engine frees it when the copy expires.",
              {{"request", stream->attempt_id_}, {"error", dropped.error().message}});
  }
}

void StreamMigrator::Abandon(const std::shared_ptr<MigratableStream>& stream) {
  if (std::exchange(stream->abandoned_, true) || !stream->stopped()) {
    return;
  }
  ReturnResumptions(*stream, stream->max_resumptions());
  asio::co_spawn(context_, FreeCopy(stream), asio::detached);
}

asio::awaitable<void> StreamMigrator::StopAndCopy(MigratableStream& stream) {
  stream.state_ = MigratableStream::State::kStopping;
  const Result<KvCopyResult> kv_copy =
      co_await engines_.CopyKvCache(stream.source_, stream.attempt_id_, stream.destination_, true);
  if (kv_copy && !kv_copy->handle.empty()) {
    stream.handle_ = kv_copy->handle;
    stream.state_ = kv_copy->copied ? MigratableStream::State::kMigrated
                                    : MigratableStream::State::kKeptAtSource;
    co_return;
  }
  if (kv_copy) {
    stream.state_ = MigratableStream::State::kStopUnknown;
    co_return;
  }
  const ErrorCode code = kv_copy.error().code;
  const bool was_not_stopped = code == ErrorCode::kNotFound || code == ErrorCode::kConflict;
  stream.state_ =
      was_not_stopped ? MigratableStream::State::kFailed : MigratableStream::State::kStopUnknown;
  kLog.Info(was_not_stopped ? "A stream was not stopped to be migrated."
                            : "It is not known whether a stream was stopped to be migrated.",
            {{"request", stream.attempt_id_},
             {"upstream", stream.source_.id.value()},
             {"error", kv_copy.error().message}});
}

asio::awaitable<StopOutcome> StreamMigrator::AwaitStopOutcome(
    std::shared_ptr<MigratableStream> stream, Duration timeout) {
  using State = MigratableStream::State;
  if (stream->state_ == State::kStopping) {
    stream->stop_done_.expires_after(timeout);
    co_await stream->stop_done_.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  if (stream->stopped()) {
    co_return StopOutcome::kStopped;
  }
  const bool is_unknown =
      stream->state_ == State::kStopping || stream->state_ == State::kStopUnknown;
  co_return is_unknown ? StopOutcome::kUnknown : StopOutcome::kNotStopped;
}

}  // namespace savoryglade::gateway
