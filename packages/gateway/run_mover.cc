#include "gateway/run_mover.h"

#include <boost/asio.hpp>
#include <utility>

#include "core/boot_clock.h"
#include "logging/logger.h"

namespace savoryglade::gateway {
namespace {

namespace asio = boost::asio;

// Engines that are asked for room.
constexpr int kMaxDestinations = 3;
// Outcomes of moves in the metric.
constexpr const char* kMovesMetric = "savoryglade_gateway_moves_total";

const Logger kLog("gateway");

}  // namespace

RunMover::RunMover(FleetState& fleet, EngineApi& engines, asio::io_context& context)
    : fleet_(fleet), engines_(engines), context_(context) {}

std::shared_ptr<StreamRun> RunMover::Watch(const std::string& attempt, const UpstreamRecord& from,
                                           const WorkEstimate& work) {
  auto run = std::make_shared<StreamRun>(context_, attempt, from, work);
  runs_[from.id].insert(run);
  const UpstreamRecord* const record = fleet_.board.Find(from.id);
  if (record == nullptr || record->leaving) {
    Begin(run);
  }
  return run;
}

void RunMover::Forget(const std::shared_ptr<StreamRun>& run) {
  run->over_ = true;
  const auto found = runs_.find(run->from_.id);
  if (found != runs_.end()) {
    found->second.erase(run);
    if (found->second.empty()) {
      runs_.erase(found);
    }
  }
}

void RunMover::OnLeaving(const UpstreamId& upstream) {
  const auto found = runs_.find(upstream);
  if (found == runs_.end()) {
    return;
  }
  for (const std::shared_ptr<StreamRun>& run : found->second) {
    Begin(run);
  }
}

void RunMover::Begin(const std::shared_ptr<StreamRun>& run) {
  const RoutedService* service =
      fleet_.routes == nullptr ? nullptr : fleet_.routes->FindService(run->work_.service);
  if (run->state_ != StreamRun::State::kRuns || service == nullptr ||
      !service->supports_migration) {
    return;
  }
  run->state_ = StreamRun::State::kCopies;
  asio::co_spawn(context_, Move(run), [](const std::exception_ptr& failure) {
    if (failure) {
      std::rethrow_exception(failure);
    }
  });
}

asio::awaitable<bool> RunMover::CopyToAny(StreamRun& run) {
  std::vector<UpstreamId> asked = {run.from_.id};
  // The whole prompt moves, so it has no home.
  WorkEstimate work = run.work_;
  work.parts.clear();
  for (int i = 0; i < kMaxDestinations && !run.over_; ++i) {
    const std::optional<Placement> placement = fleet_.board.Choose(work, asked, BootNow());
    if (!placement) {
      co_return false;
    }
    run.to_ = placement->upstream;
    asked.push_back(run.to_.id);
    const Result<CopyOutcome> copy =
        co_await engines_.CopyRun(run.from_, run.attempt_, run.to_, false);
    if (copy && copy->copied) {
      run.handle_ = copy->handle;
      co_return true;
    }
    if (!copy) {
      kLog.Info("A run can't be copied.", {{"request", run.attempt_},
                                           {"upstream", run.from_.id.value()},
                                           {"destination", run.to_.id.value()},
                                           {"error", copy.error().message}});
      co_return false;
    }
  }
  co_return false;
}

asio::awaitable<void> RunMover::Move(std::shared_ptr<StreamRun> run) {
  const bool copied = co_await CopyToAny(*run);
  run->state_ = StreamRun::State::kFailed;
  if (copied && run->over_) {
    const Result<void> dropped = co_await engines_.DropCopy(run->copy());
    if (!dropped) {
      kLog.Info("A copy can't be freed; it is when its time is over.",
                {{"request", run->attempt_}, {"error", dropped.error().message}});
    }
    co_return;
  }
  // The stream goes on with a second arrival.
  if (copied && fleet_.retries.Take(run->work_.service, BootNow())) {
    run->state_ = StreamRun::State::kStops;
    const Result<CopyOutcome> copy =
        co_await engines_.CopyRun(run->from_, run->attempt_, run->to_, true);
    if (copy && !copy->handle.empty()) {
      run->handle_ = copy->handle;
      run->state_ = copy->copied ? StreamRun::State::kMoved : StreamRun::State::kKept;
    } else {
      run->state_ = StreamRun::State::kFailed;
    }
  }
  fleet_.metrics.GetCounter(kMovesMetric, {{"outcome", run->stopped() ? "moved" : "failed"}}).Add();
  kLog.Info("A stream leaves its upstream.", {{"request", run->attempt_},
                                              {"upstream", run->from_.id.value()},
                                              {"destination", run->to_.id.value()},
                                              {"copied", copied},
                                              {"moved", run->stopped()}});
  run->settled_.cancel();
}

asio::awaitable<bool> RunMover::Settle(std::shared_ptr<StreamRun> run) {
  while (run->state_ == StreamRun::State::kStops) {
    co_await run->settled_.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_return run->stopped();
}

}  // namespace savoryglade::gateway
