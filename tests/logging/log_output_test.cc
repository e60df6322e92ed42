#include "logging/log_output.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <string>

namespace savoryglade {
namespace {

class LogOutputTest : public testing::Test {
 protected:
  LogOutputTest() { EXPECT_EQ(::pipe(ends_.data()), 0); }
  ~LogOutputTest() override {
    ::close(ends_[0]);
    ::close(ends_[1]);
  }

  // Returns all that the pipe holds.
  std::string ReadAll() const {
    std::string text;
    std::array<char, 4096> block{};
    EXPECT_EQ(::fcntl(ends_[0], F_SETFL, O_NONBLOCK), 0);
    for (ssize_t size = 0; (size = ::read(ends_[0], block.data(), block.size())) > 0;) {
      text.append(block.data(), static_cast<std::size_t>(size));
    }
    return text;
  }

  std::array<int, 2> ends_{};
};

// Guards against a daemon that hangs because nobody reads its log. A failure shows as a test that
// does not end.
TEST_F(LogOutputTest, DropsLinesThatAreNotReadInsteadOfWaiting) {
  constexpr int kLines = 1000;
  const std::string line(1000, 'x');
  LogOutput output(ends_[1]);
  for (int i = 0; i < kLines; ++i) {
    output.Write(line);
  }
  const std::string text = ReadAll();
  EXPECT_EQ(text.find_first_not_of("x\n"), std::string::npos);
  const auto written = text.size() / (line.size() + 1);
  EXPECT_EQ(text.size() % (line.size() + 1), 0U);
  output.Write("next");
  EXPECT_EQ(ReadAll(),
            "warning logging: Lines were dropped because the output is not read. lines=" +
                std::to_string(kLines - written) + "\nnext\n");
}

TEST_F(LogOutputTest, CutsOffWhatExceedsTheLongestLine) {
  LogOutput output(ends_[1]);
  output.Write(std::string(2 * LogOutput::kMaxLineBytes, 'x'));
  EXPECT_EQ(ReadAll(), std::string(LogOutput::kMaxLineBytes - 1, 'x') + "\n");
}

// Guards against a closed reader whose SIGPIPE or error ends the process.
TEST_F(LogOutputTest, ReaderThatHasClosedIsIgnored) {
  ::close(ends_[0]);
  LogOutput output(ends_[1]);
  output.Write("line");
  ends_[0] = ::dup(ends_[1]);
}

}  // namespace
}  // namespace savoryglade
