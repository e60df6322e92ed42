#include "logging/log_output.h"

#include <fmt/format.h>
#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>

namespace savoryglade {
namespace {

bool IsRegularFile(int descriptor) {
  struct stat status {};
  return ::fstat(descriptor, &status) == 0 && S_ISREG(status.st_mode);
}

// Returns a line with its line end, cut off at the longest line.
std::string LineText(std::string_view line) {
  std::string text(line.substr(0, LogOutput::kMaxLineBytes - 1));
  text += '\n';
  return text;
}

}  // namespace

LogOutput::LogOutput(int descriptor)
    : descriptor_(descriptor), is_file_(IsRegularFile(descriptor)) {}

bool LogOutput::IsReady() const {
  if (is_file_) {
    return true;
  }
  pollfd state{.fd = descriptor_, .events = POLLOUT, .revents = 0};
  // A reader that has closed shows as an error.
  return ::poll(&state, 1, 0) == 1 && state.revents == POLLOUT;
}

std::size_t LogOutput::WriteText(std::string_view text) const {
  if (!IsReady()) {
    return 0;
  }
  const ssize_t size = ::write(descriptor_, text.data(), text.size());
  return size > 0 ? static_cast<std::size_t>(size) : 0;
}

bool LogOutput::WriteLine(std::string_view line) const { return WriteText(LineText(line)) > 0; }

bool LogOutput::WriteKeptLines() {
  std::size_t written = 0;
  while (written < kept_.size()) {
    // As many whole lines as a pipe that is ready takes at once.
    const std::size_t last = kept_.rfind('\n', written + kMaxLineBytes - 1);
    const std::size_t size = WriteText(std::string_view(kept_).substr(written, last + 1 - written));
    if (size == 0) {
      break;
    }
    written += size;
  }
  kept_.erase(0, written);
  return kept_.empty();
}

bool LogOutput::WriteCount(std::string_view message, LineCount& count) const {
  if (count.unstated == 0) {
    return true;
  }
  if (!WriteLine(fmt::format("warning logging: {} lines={}", message, count.unstated))) {
    return false;
  }
  count.unstated = 0;
  return true;
}

bool LogOutput::WriteBacklog() {
  return WriteKeptLines() &&
         WriteCount("Essential lines were lost because the output is not read.", lost_essential_) &&
         WriteCount("Lines were dropped because the output is not read.", dropped_);
}

bool LogOutput::Write(std::string_view line) {
  const std::lock_guard lock(mutex_);
  if (WriteBacklog() && WriteLine(line)) {
    return true;
  }
  dropped_.Add();
  return false;
}

void LogOutput::WriteEssential(std::string_view line) {
  const std::lock_guard lock(mutex_);
  if (WriteBacklog() && WriteLine(line)) {
    return;
  }
  const std::string text = LineText(line);
  if (kept_.size() + text.size() > kMaxKeptBytes) {
    lost_essential_.Add();
    return;
  }
  kept_ += text;
}

bool LogOutput::TryWrite(std::string_view line) {
  const std::lock_guard lock(mutex_);
  return WriteBacklog() && WriteLine(line);
}

void LogOutput::Flush() {
  const std::lock_guard lock(mutex_);
  WriteBacklog();
}

std::uint64_t LogOutput::dropped_lines() const {
  const std::lock_guard lock(mutex_);
  return dropped_.total;
}

std::uint64_t LogOutput::lost_essential_lines() const {
  const std::lock_guard lock(mutex_);
  return lost_essential_.total;
}

}  // namespace savoryglade
