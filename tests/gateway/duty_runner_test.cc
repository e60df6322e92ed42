#include "gateway/duty_runner.h"

#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/boot_clock.h"
#include "net/sleep.h"

namespace savoryglade::gateway {
namespace {

namespace asio = boost::asio;
using capacity::WindowCounts;
using capacity::WindowNumber;

const AccountId kDrivers("drivers");
constexpr Duration kWindow = 2s;

// Store with the daemons' own rows only. Can return to an older copy.
class RowStore : public FleetStore {
 public:
  using Rows = std::map<std::string, provider::Row>;

  asio::awaitable<Result<RouteUpdate>> WatchRoutes(FeedPosition /*after*/,
                                                   Duration /*wait*/) override {
    co_return Unavailable();
  }
  Result<RouteDocument> ParseRoutes(const std::string& /*text*/) const override {
    return Unavailable();
  }
  asio::awaitable<Result<UpstreamUpdate>> WatchUpstreams(FeedPosition /*after*/) override {
    co_return Unavailable();
  }
  asio::awaitable<provider::ReadResult> ReadRow(const std::string& key) override {
    const auto found = rows_.find(key);
    co_return found == rows_.end() ? provider::Row{} : found->second;
  }
  asio::awaitable<provider::CommitStatus> Commit(
      const provider::Transaction& transaction) override {
    for (const provider::RowCondition& condition : transaction.conditions) {
      const auto found = rows_.find(condition.key);
      if ((found == rows_.end() ? 0 : found->second.version) != condition.version) {
        co_return provider::CommitStatus::kConflict;
      }
    }
    for (const provider::RowWrite& write : transaction.writes) {
      if (write.value) {
        rows_[write.key] = {.value = *write.value, .version = ++version_};
      } else {
        rows_.erase(write.key);
      }
    }
    co_return provider::CommitStatus::kCommitted;
  }
  asio::awaitable<provider::CommitStatus> CommitRollout(const provider::Transaction& transaction,
                                                        const RolloutStatus& /*status*/) override {
    return Commit(transaction);
  }
  StoreEra era() const override { return era_; }
  asio::awaitable<Result<std::map<std::string, provider::Row>>> ReadRows(
      const std::string& /*prefix*/) override {
    co_return Unavailable();
  }
  asio::awaitable<Result<RowUpdate>> WatchCrashRows(FeedPosition /*after*/,
                                                    Duration /*wait*/) override {
    co_return Unavailable();
  }

  const Rows& rows() const { return rows_; }
  // Returns to a copy without the counts of any window, and without the lease.
  void LoseRows() { ReturnTo({}); }
  void ReturnTo(Rows copy) {
    rows_ = std::move(copy);
    era_ = {.number = era_.number + 1, .seen_since = BootNow()};
  }

 private:
  static tl::unexpected<Error> Unavailable() {
    return tl::make_unexpected(
        Error{.code = ErrorCode::kUnavailable, .message = "The store has no such table."});
  }

  Rows rows_;
  std::uint64_t version_ = 0;
  StoreEra era_{.number = 1, .seen_since = TimePoint{}};
};

// Records the counts that were reported for each window.
class ReportLog : public DutyApi {
 public:
  asio::awaitable<Result<void>> ReportUsage(const DutyHolder& holder, WindowNumber window,
                                            const WindowCounts& counts) override {
    counts_[window].insert(counts);
    windows_by_holder_[holder.daemon].insert(window);
    holders_by_token_[holder.fencing_token].insert(holder.daemon);
    co_return Result<void>();
  }
  asio::awaitable<Result<void>> OrderCapacity(const DutyHolder& /*holder*/,
                                              const CapacityOrder& /*order*/) override {
    co_return Result<void>();
  }

  const std::set<WindowNumber>& WindowsOf(const DaemonId& daemon) {
    return windows_by_holder_[daemon];
  }
  // Returns the fencing tokens that several daemons have sent.
  std::vector<std::uint64_t> SharedTokens() const {
    std::vector<std::uint64_t> tokens;
    for (const auto& [token, holders] : holders_by_token_) {
      if (holders.size() > 1) {
        tokens.push_back(token);
      }
    }
    return tokens;
  }
  // Returns the windows that were reported with several counts.
  std::vector<WindowNumber> AmbiguousWindows() const {
    std::vector<WindowNumber> windows;
    for (const auto& [window, counts] : counts_) {
      if (counts.size() > 1) {
        windows.push_back(window);
      }
    }
    return windows;
  }

 private:
  std::map<WindowNumber, std::set<WindowCounts>> counts_;
  std::map<DaemonId, std::set<WindowNumber>> windows_by_holder_;
  std::map<std::uint64_t, std::set<DaemonId>> holders_by_token_;
};

// Daemon that has counted a number of requests in each window, with the loops of its duties.
class DutyDaemon {
 public:
  DutyDaemon(const std::string& name, std::uint64_t requests, RowStore& store, ReportLog& reports)
      : fleet_(Settings(name), requests, WallClock(), BootNow()), runner_(fleet_, store, reports) {
    constexpr WindowNumber kPastWindows = 4;
    constexpr WindowNumber kFutureWindows = 60;
    const WindowNumber current = fleet_.WindowAt(BootNow());
    for (WindowNumber window = current - kPastWindows; window < current + kFutureWindows;
         ++window) {
      for (std::uint64_t i = 0; i < requests; ++i) {
        fleet_.usage.OnRequestStarted(window, kDrivers);
      }
    }
    const auto rethrow = [](const std::exception_ptr& failure) {
      if (failure) {
        std::rethrow_exception(failure);
      }
    };
    asio::co_spawn(context_, runner_.LeaseLoop(), rethrow);
    asio::co_spawn(context_, runner_.UsageLoop(), rethrow);
  }

  void Run() { context_.run_for(std::chrono::milliseconds(5)); }
  void Release() { runner_.Release(); }
  const DaemonId& id() const { return fleet_.settings.daemon; }

 private:
  static GatewaySettings Settings(const std::string& name) {
    GatewaySettings settings{.daemon = DaemonId(name), .failure_domain = FailureDomainId("verona")};
    settings.reports_usage = true;
    settings.bounds.usage_window = kWindow;
    settings.bounds.lease = 1s;
    return settings;
  }
  static Duration WallClock() {
    return std::chrono::duration_cast<Duration>(
        std::chrono::system_clock::now().time_since_epoch());
  }

  FleetState fleet_;
  DutyRunner runner_;
  asio::io_context context_;
};

class DutyRunnerTest : public testing::Test {
 protected:
  std::unique_ptr<DutyDaemon> StartDaemon(const std::string& name, std::uint64_t requests) {
    return std::make_unique<DutyDaemon>(name, requests, store_, reports_);
  }

  // Runs the daemon until it has reported this many windows.
  void RunUntilReported(DutyDaemon& daemon, std::size_t windows) {
    while (reports_.WindowsOf(daemon.id()).size() < windows) {
      daemon.Run();
    }
  }

  RowStore store_;
  ReportLog reports_;
};

// Guards against a window that is reported twice with different counts, because the store has lost
// the counts that the earlier holder reported, and that holder is gone.
TEST_F(DutyRunnerTest, CountsLostByTheStoreAreNotReportedByAnotherHolder) {
  auto first = StartDaemon("daemon-1", 3);
  RunUntilReported(*first, 2);
  first.reset();
  store_.LoseRows();
  auto second = StartDaemon("daemon-2", 2);
  RunUntilReported(*second, 2);
  EXPECT_EQ(reports_.AmbiguousWindows(), std::vector<WindowNumber>());
}

// Guards against the same, for a holder that restores the counts before it releases the lease: the
// next one repeats its reports.
TEST_F(DutyRunnerTest, CountsLostByTheStoreAreWrittenAgainByTheHolder) {
  auto first = StartDaemon("daemon-1", 3);
  RunUntilReported(*first, 2);
  const std::set<WindowNumber> reported = reports_.WindowsOf(first->id());
  store_.LoseRows();
  const std::string last_key = "usage/" + std::to_string(*reported.rbegin());
  while (!store_.rows().contains(last_key)) {
    first->Run();
  }
  first.reset();
  auto second = StartDaemon("daemon-2", 2);
  RunUntilReported(*second, 2);
  EXPECT_EQ(reports_.AmbiguousWindows(), std::vector<WindowNumber>());
}

// Guards against reports that are missing although the store has kept its rows: a new holder
// repeats those of the last windows.
TEST_F(DutyRunnerTest, CountsInTheStoreAreReportedByAnotherHolder) {
  auto first = StartDaemon("daemon-1", 3);
  RunUntilReported(*first, 2);
  const WindowNumber last = *reports_.WindowsOf(first->id()).rbegin();
  first.reset();
  auto second = StartDaemon("daemon-2", 2);
  RunUntilReported(*second, 2);
  EXPECT_LE(*reports_.WindowsOf(second->id()).begin(), last + 1);
  EXPECT_EQ(reports_.AmbiguousWindows(), std::vector<WindowNumber>());
}

// Guards against a fencing token that two holders send, because the store has lost the row with the
// later one: the first holder starts again and finds the lease that it released.
TEST_F(DutyRunnerTest, FencingTokenIsNotGivenTwiceAfterTheStoreReturned) {
  auto first = StartDaemon("daemon-1", 3);
  RunUntilReported(*first, 1);
  const RowStore::Rows copy = store_.rows();
  first.reset();
  auto second = StartDaemon("daemon-2", 3);
  RunUntilReported(*second, 1);
  second.reset();
  store_.ReturnTo(copy);
  auto third = StartDaemon("daemon-3", 3);
  RunUntilReported(*third, 1);
  EXPECT_EQ(reports_.SharedTokens(), std::vector<std::uint64_t>());
}

}  // namespace
}  // namespace savoryglade::gateway
