#pragma once

#include <fmt/format.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace savoryglade {

// Severity of a log line, in rising order.
enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Key and value of a log line. The value can be of any type that fmt can format.
struct LogField {
  template <typename T>
  LogField(std::string_view field_key, const T& field_value)
      : key(field_key), value(fmt::format("{}", field_value)) {}

  std::string_view key;
  std::string value;
};

// Numbers of lines that this process has not written since its start, by cause.
struct DroppedLines {
  std::uint64_t rate_limit = 0;
  std::uint64_t output = 0;
  // Essential lines that were lost because the output was not read for too long.
  std::uint64_t essential = 0;

  bool operator==(const DroppedLines&) const = default;
};

// Writes log lines of one component of the daemon to standard error: the level, the component, a
// short message and key=value fields. Values with spaces are quoted. Safe to use from all threads.
class Logger {
 public:
  using Fields = std::initializer_list<LogField>;

  // The component must outlive the logger, usually a string literal such as "routing".
  explicit Logger(std::string_view component) : component_(component) {}

  void Debug(std::string_view message, Fields fields = {}) const;
  void Info(std::string_view message, Fields fields = {}) const;
  void Warning(std::string_view message, Fields fields = {}) const;
  void Error(std::string_view message, Fields fields = {}) const;

  // Writes a line that the rate limit does not drop, and that is kept for some time if the output
  // is not read. For lines without which the end of a request can't be explained, at most one for
  // each request.
  void Essential(std::string_view message, Fields fields = {},
                 LogLevel level = LogLevel::kInfo) const;

  // Sets the minimum level of the whole process; lines below it are dropped.
  static void SetLevel(LogLevel level);

  // Writes, as far as the output takes them, the kept essential lines, and a line for each message
  // of which the rate limit dropped lines in a window that is over. To be called every second.
  static void Flush();

  // Same as Flush, for all windows. To be called before the process exits.
  static void FlushAtExit();

  // Returns the numbers of lines that were dropped.
  static DroppedLines dropped_lines();

  // Redirects finished lines to a function; an empty function restores standard error. For tests;
  // not safe while other threads log.
  static void SetSink(std::function<void(const std::string&)> sink);

 private:
  void Write(LogLevel level, std::string_view message, Fields fields) const;
  // Returns a line without its line end.
  std::string MakeLine(LogLevel level, std::string_view message, Fields fields) const;

  std::string_view component_;
};

}  // namespace savoryglade
