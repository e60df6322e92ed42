#include "logging/log_output.h"

#include <fmt/format.h>
#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>

#include <utility>

namespace savoryglade {
namespace {

bool IsRegularFile(int descriptor) {
  struct stat status {};
  return ::fstat(descriptor, &status) == 0 && S_ISREG(status.st_mode);
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

bool LogOutput::TryWrite(std::string line) const {
  if (line.size() >= kMaxLineBytes) {
    line.resize(kMaxLineBytes - 1);
  }
  line += '\n';
  return IsReady() && ::write(descriptor_, line.data(), line.size()) > 0;
}

void LogOutput::Write(const std::string& line) {
  const std::lock_guard lock(mutex_);
  if (dropped_lines_ > 0 &&
      TryWrite(fmt::format(
          "warning logging: Lines were dropped because the output is not read. lines={}",
          dropped_lines_))) {
    dropped_lines_ = 0;
  }
  if (dropped_lines_ > 0 || !TryWrite(line)) {
    ++dropped_lines_;
  }
}

}  // namespace savoryglade
