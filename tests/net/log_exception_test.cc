#include "net/log_exception.h"

#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "logging/logger.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;

// Collects the log lines of this thread's test.
class LogExceptionTest : public testing::Test {
 protected:
  LogExceptionTest() {
    Logger::SetSink([this](const std::string& line) { lines_.push_back(line); });
  }
  ~LogExceptionTest() override { Logger::SetSink(nullptr); }

  std::vector<std::string> lines_;
};

// Guards against a coroutine that nothing waits for and that ends without a log line.
TEST_F(LogExceptionTest, ExceptionThatEndsACoroutineIsLogged) {
  asio::io_context context;
  asio::co_spawn(
      context,
      []() -> asio::awaitable<void> {
        co_await asio::post(asio::use_awaitable);
        throw std::runtime_error("no route");
      },
      LogException("dial"));
  context.run();
  ASSERT_EQ(lines_.size(), 1U);
  EXPECT_NE(lines_[0].find("coroutine=dial"), std::string::npos) << lines_[0];
  EXPECT_NE(lines_[0].find("\"no route\""), std::string::npos) << lines_[0];
}

// Guards against an error line for a coroutine that ends in order.
TEST_F(LogExceptionTest, CoroutineThatEndsInOrderLogsNothing) {
  asio::io_context context;
  asio::co_spawn(
      context, []() -> asio::awaitable<void> { co_return; }, LogException("dial"));
  context.run();
  EXPECT_TRUE(lines_.empty());
}

}  // namespace
}  // namespace savoryglade
