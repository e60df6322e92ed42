#pragma once

#include <cstdint>
#include <mutex>
#include <string>

namespace savoryglade {

// Writes lines to a file descriptor that this process does not own, such as that of standard error.
// Drops lines instead of waiting while the reader of a pipe, socket or terminal does not keep up,
// so that a log that nobody reads does not hold up requests. Safe to use from all threads.
class LogOutput {
 public:
  // Longest line that is written whole, in bytes; the rest of a longer one is cut off. A pipe that
  // is ready takes this many bytes at once.
  static constexpr std::size_t kMaxLineBytes = 4096;

  explicit LogOutput(int descriptor);

  // Writes a line without its line end. The next line that is written states how many were dropped.
  void Write(const std::string& line);

 private:
  // Returns true if the descriptor takes a line without waiting for its reader.
  bool IsReady() const;
  bool TryWrite(std::string line) const;

  int descriptor_;
  // True for regular files, which have no reader to wait for.
  bool is_file_;
  std::mutex mutex_;
  std::uint64_t dropped_lines_ = 0;
};

}  // namespace savoryglade
