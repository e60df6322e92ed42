#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace savoryglade {

// Writes lines to a file descriptor that this process does not own, such as that of standard error.
// Never waits for the reader of a pipe, socket or terminal, so that a log that nobody reads does
// not hold up requests: while the descriptor takes nothing, essential lines are kept up to a limit
// and other lines are dropped. Safe to use from all threads.
class LogOutput {
 public:
  // Longest line that is written whole, in bytes; the rest of a longer one is cut off. A pipe that
  // is ready takes this many bytes at once.
  static constexpr std::size_t kMaxLineBytes = 4096;
  // Most bytes of essential lines that are kept while the descriptor takes nothing.
  static constexpr std::size_t kMaxKeptBytes = 256 * 1024;

  explicit LogOutput(int descriptor);

  // Writes a line without its line end, or drops it and returns false. The next line that is
  // written states how many were dropped.
  bool Write(std::string_view line);

  // Writes a line without its line end, or keeps it. Kept lines are written in their order before
  // any later line. A line for which there is no room is lost and counted separately.
  void WriteEssential(std::string_view line);

  // Writes a line without its line end, or returns false. Does not count it as dropped.
  bool TryWrite(std::string_view line);

  // Writes the kept lines and the numbers of dropped ones as far as the descriptor takes them.
  void Flush();

  // Returns how many lines were dropped or lost since the start.
  std::uint64_t dropped_lines() const;
  std::uint64_t lost_essential_lines() const;

 private:
  // Number of lines since the start, and how many of them no written line has stated yet.
  struct LineCount {
    void Add() {
      ++total;
      ++unstated;
    }

    std::uint64_t total = 0;
    std::uint64_t unstated = 0;
  };

  // Returns true if the descriptor takes a line without waiting for its reader.
  bool IsReady() const;
  // Writes text that ends with a line end. Returns the number of bytes written.
  std::size_t WriteText(std::string_view text) const;
  bool WriteLine(std::string_view line) const;
  // Writes what has to precede the next line. Returns false if some of it is left.
  bool WriteBacklog();
  bool WriteKeptLines();
  bool WriteCount(std::string_view message, LineCount& count) const;

  int descriptor_;
  // True for regular files, which have no reader to wait for.
  bool is_file_;
  mutable std::mutex mutex_;
  // Essential lines with their line ends.
  std::string kept_;
  LineCount dropped_;
  LineCount lost_essential_;
};

}  // namespace savoryglade
