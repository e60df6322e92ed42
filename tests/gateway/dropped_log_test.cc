#include <condition_variable>
#include <mutex>
#include <string>
#include <vector>

#include "logging/logger.h"
#include "tests/gateway/gateway_fixture.h"

namespace savoryglade::gateway {
namespace {

// Collects the log lines of all threads.
class CollectedLog {
 protected:
  CollectedLog() {
    Logger::SetSink([this](const std::string& line) {
      const std::lock_guard lock(mutex_);
      lines_.push_back(line);
      added_.notify_all();
    });
  }
  ~CollectedLog() { Logger::SetSink(nullptr); }

  // Waits for a line that has this text. A failure shows as a test that does not end.
  void WaitForLine(const std::string& text) {
    std::unique_lock lock(mutex_);
    while (true) {
      for (const std::string& line : lines_) {
        if (line.find(text) != std::string::npos) {
          return;
        }
      }
      added_.wait(lock);
    }
  }

 private:
  std::mutex mutex_;
  std::condition_variable added_;
  std::vector<std::string> lines_;
};

// The log is collected from before the gateway starts until after it has stopped.
class DroppedLogTest : private CollectedLog, public GatewayFixture {
 protected:
  using CollectedLog::WaitForLine;
};

// Guards against an operator who can't tell a line that was dropped from one that was not written.
TEST_F(DroppedLogTest, DroppedLinesAreReportedWithoutALaterLineOfTheirMessage) {
  const Logger log("fault");
  // More lines than the windows of a slow machine admit.
  constexpr int kLines = 1000;
  const std::uint64_t before = Logger::dropped_lines().rate_limit;
  for (int i = 0; i < kLines; ++i) {
    log.Info("A fault of every request.");
  }
  const std::uint64_t dropped = Logger::dropped_lines().rate_limit - before;
  ASSERT_GT(dropped, 0U);
  WaitForLine("dropped_component=fault dropped_message=\"A fault of every request.\" lines=");
  const std::string metrics =
      SendText(gateway_->metrics_endpoint(), "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n").body;
  const std::string counter = "savoryglade_log_dropped_lines_total{cause=\"rate_limit\"} ";
  const std::size_t found = metrics.find(counter);
  ASSERT_NE(found, std::string::npos) << metrics;
  EXPECT_GE(std::stoull(metrics.substr(found + counter.size())), dropped);
  EXPECT_NE(metrics.find("savoryglade_log_dropped_lines_total{cause=\"output\"} "),
            std::string::npos);
}

}  // namespace
}  // namespace savoryglade::gateway
