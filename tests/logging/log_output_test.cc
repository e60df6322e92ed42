#include "logging/log_output.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdint>
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

  // Writes lines until the pipe takes no more.
  static void Fill(LogOutput& output) {
    const std::uint64_t dropped = output.dropped_lines();
    while (output.dropped_lines() == dropped) {
      output.Write(std::string(LogOutput::kMaxLineBytes - 1, 'x'));
    }
  }

  // Returns all that the pipe holds after the lines of Fill.
  std::string ReadAfterFill() const {
    const std::string text = ReadAll();
    return text.substr(std::min(text.size(), text.find_first_not_of("x\n")));
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

// Guards against a request whose only line is lost because the log was not read for a while.
TEST_F(LogOutputTest, EssentialLinesAreKeptUntilTheyAreRead) {
  LogOutput output(ends_[1]);
  Fill(output);
  output.WriteEssential("first");
  output.Write("ordinary");
  output.WriteEssential("second");
  EXPECT_EQ(output.dropped_lines(), 2U);
  EXPECT_EQ(ReadAfterFill(), "");
  output.Write("third");
  EXPECT_EQ(ReadAll(),
            "first\nsecond\n"
            "warning logging: Lines were dropped because the output is not read. lines=2\n"
            "third\n");
  EXPECT_EQ(output.lost_essential_lines(), 0U);
}

// Guards against kept lines that are written only when something else is logged.
TEST_F(LogOutputTest, FlushWritesWhatIsKeptAndTheNumberOfDroppedLines) {
  LogOutput output(ends_[1]);
  Fill(output);
  output.WriteEssential("first");
  output.Flush();
  EXPECT_EQ(ReadAfterFill(), "");
  output.Flush();
  EXPECT_EQ(ReadAll(),
            "first\n"
            "warning logging: Lines were dropped because the output is not read. lines=1\n");
  output.Flush();
  EXPECT_EQ(ReadAll(), "");
}

// Guards against a reader that takes little at a time and gets lines out of order, twice or cut.
TEST_F(LogOutputTest, KeptLinesStayInOrderWhileTheReaderIsSlow) {
  constexpr int kLines = 200;
  LogOutput output(ends_[1]);
  Fill(output);
  std::string expected;
  for (int i = 0; i < kLines; ++i) {
    const std::string line = std::to_string(i) + std::string(1000, '.');
    output.WriteEssential(line);
    expected += line + "\n";
  }
  ReadAll();
  std::string text;
  for (bool more = true; more;) {
    output.Flush();
    const std::string part = ReadAll();
    more = !part.empty();
    text += part;
  }
  EXPECT_EQ(text, expected +
                      "warning logging: Lines were dropped because the output is not read. "
                      "lines=1\n");
}

// Guards against memory that grows for as long as the log is not read, and against essential lines
// that are lost without a trace.
TEST_F(LogOutputTest, EssentialLinesBeyondTheLimitAreCountedSeparately) {
  LogOutput output(ends_[1]);
  Fill(output);
  const std::string line(1023, 'y');
  constexpr std::size_t kKeptLines = LogOutput::kMaxKeptBytes / 1024;
  for (std::size_t i = 0; i < kKeptLines + 3; ++i) {
    output.WriteEssential(line);
  }
  EXPECT_EQ(output.lost_essential_lines(), 3U);
  EXPECT_EQ(output.dropped_lines(), 1U);
  ReadAll();
  std::string text;
  for (bool more = true; more;) {
    output.Flush();
    const std::string part = ReadAll();
    more = !part.empty();
    text += part;
  }
  const std::size_t kept_bytes = text.find_first_not_of("y\n");
  EXPECT_EQ(kept_bytes, kKeptLines * 1024);
  EXPECT_EQ(text.substr(kept_bytes),
            "warning logging: Essential lines were lost because the output is not read. lines=3\n"
            "warning logging: Lines were dropped because the output is not read. lines=1\n");
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
