#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <string>

#include "logging/logger.h"

namespace savoryglade {
namespace {

std::string ReadAll(int descriptor) {
  std::string text;
  std::array<char, 4096> block{};
  for (ssize_t size = 0; (size = ::read(descriptor, block.data(), block.size())) > 0;) {
    text.append(block.data(), static_cast<std::size_t>(size));
  }
  return text;
}

// Logs an essential line while standard error is a full pipe. Exits with status 0 if the line
// arrives, before the next one, once the pipe is read.
[[noreturn]] void LogToAFullPipe() {
  std::array<int, 2> ends{};
  if (::pipe2(ends.data(), O_NONBLOCK) != 0 || ::dup2(ends[1], STDERR_FILENO) < 0) {
    std::_Exit(2);
  }
  const std::string filling(4096, 'x');
  while (::write(ends[1], filling.data(), filling.size()) > 0) {
  }
  const Logger log("test");
  log.Essential("A request got no answer.", {{"request", "r-1"}});
  ReadAll(ends[0]);
  log.Info("Next line.");
  const std::string text = ReadAll(ends[0]);
  const std::size_t essential = text.find("A request got no answer. request=r-1\n");
  const bool in_order = essential < text.find("Next line.\n");
  std::_Exit(essential != std::string::npos && in_order ? 0 : 1);
}

// Guards against a request without an answer whose only line is lost because the log was not read
// at that moment.
TEST(UnreadLogDeathTest, EssentialLineArrivesBeforeLaterOnes) {
  // Standard error must be the pipe before this process logs its first line.
  testing::FLAGS_gtest_death_test_style = "threadsafe";
  EXPECT_EXIT(LogToAFullPipe(), testing::ExitedWithCode(0), "");
}

}  // namespace
}  // namespace savoryglade
