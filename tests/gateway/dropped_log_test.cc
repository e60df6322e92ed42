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
  for (int i = 0; i < kLines; ++i) {
    log.Info("A fault of every request.");
  }
  WaitForLine("dropped_component=fault dropped_message=\"A fault of every request.\" lines=");
}

}  // namespace
}  // namespace savoryglade::gateway
