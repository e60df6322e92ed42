#pragma once

#include <fmt/format.h>

#include <atomic>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace savoryglade {

// Severity of a log line, in rising order.
enum class LogLevel { kDebug, kInfo, kWarning, kError };

// One key and value of a log line. Any type that fmt formats can be the value.
struct LogField {
  template <typename T>
  LogField(std::string_view field_key, const T& field_value)
      : key(field_key), value(fmt::format("{}", field_value)) {}

  std::string_view key;
  std::string value;
};

// Writes log lines of one part of the daemon to standard error: level, fixed prefix of the part, a
// short sentence, then key=value fields. Values with spaces are quoted. Safe to use from all
// threads.
class Logger {
 public:
  using Fields = std::initializer_list<LogField>;

  // The part must outlive the logger, usually a string literal such as "routing".
  explicit Logger(std::string_view part) : part_(part) {}

  void Debug(std::string_view sentence, Fields fields = {}) const;
  void Info(std::string_view sentence, Fields fields = {}) const;
  void Warning(std::string_view sentence, Fields fields = {}) const;
  void Error(std::string_view sentence, Fields fields = {}) const;

  // Lines below this level are dropped, in the whole process.
  static void SetLevel(LogLevel level);

  // Sends finished lines to a function instead of standard error; an empty function restores that.
  // For tests; not safe while other threads log.
  static void SetSink(std::function<void(const std::string&)> sink);

 private:
  void Write(LogLevel level, std::string_view sentence, Fields fields) const;

  std::string_view part_;
};

}  // namespace savoryglade
