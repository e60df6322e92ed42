#include "logging/logger.h"

#include <unistd.h>

#include <array>
#include <cstddef>

#include "logging/log_output.h"
#include "logging/log_rate_limiter.h"

namespace savoryglade {
namespace {

std::atomic<LogLevel> minimum_level{LogLevel::kInfo};

std::function<void(const std::string&)>& Sink() {
  static std::function<void(const std::string&)> sink;
  return sink;
}

LogRateLimiter& Limiter() {
  static LogRateLimiter limiter;
  return limiter;
}

LogOutput& Output() {
  static LogOutput output(STDERR_FILENO);
  return output;
}

std::string_view LevelName(LogLevel level) {
  static constexpr std::array<std::string_view, 4> kNames = {"debug", "info", "warning", "error"};
  return kNames.at(static_cast<std::size_t>(level));
}

void AppendValue(std::string& line, const std::string& value) {
  if (!value.empty() && value.find_first_of(" \"\n\r=") == std::string::npos) {
    line += value;
    return;
  }
  line += '"';
  for (const char c : value) {
    if (c == '\n' || c == '\r') {
      line += ' ';
      continue;
    }
    if (c == '"') {
      line += '\\';
    }
    line += c;
  }
  line += '"';
}

// Writes a line for each message of which lines were dropped in a window that is over at this time.
void FlushDroppedMessages(TimePoint now) {
  for (const RateLimitedMessage& dropped : Limiter().TakeDropped(now)) {
    std::string line = fmt::format(
        "warning logging: Lines of one message were dropped by the rate limit. "
        "dropped_component={} dropped_message=",
        dropped.component);
    AppendValue(line, dropped.message);
    line += fmt::format(" lines={}", dropped.dropped);
    if (Sink()) {
      Sink()(line);
    } else if (!Output().TryWrite(line)) {
      Limiter().PutBack(dropped);
    }
  }
}

}  // namespace

void Logger::Debug(std::string_view message, Fields fields) const {
  Write(LogLevel::kDebug, message, fields);
}

void Logger::Info(std::string_view message, Fields fields) const {
  Write(LogLevel::kInfo, message, fields);
}

void Logger::Warning(std::string_view message, Fields fields) const {
  Write(LogLevel::kWarning, message, fields);
}

void Logger::Error(std::string_view message, Fields fields) const {
  Write(LogLevel::kError, message, fields);
}

void Logger::Essential(std::string_view message, Fields fields, LogLevel level) const {
  if (level < minimum_level.load(std::memory_order_relaxed)) {
    return;
  }
  const std::string line = MakeLine(level, message, fields);
  if (Sink()) {
    Sink()(line);
    return;
  }
  Output().WriteEssential(line);
}

void Logger::Flush() {
  FlushDroppedMessages(std::chrono::steady_clock::now());
  Output().Flush();
}

void Logger::FlushAtExit() {
  FlushDroppedMessages(std::chrono::steady_clock::now() + LogRateLimiter::kWindow);
  Output().Flush();
}

DroppedLines Logger::dropped_lines() {
  return {.rate_limit = Limiter().dropped_lines(),
          .output = Output().dropped_lines(),
          .essential = Output().lost_essential_lines()};
}

void Logger::SetLevel(LogLevel level) { minimum_level = level; }

void Logger::SetSink(std::function<void(const std::string&)> sink) { Sink() = std::move(sink); }

void Logger::Write(LogLevel level, std::string_view message, Fields fields) const {
  if (level < minimum_level.load(std::memory_order_relaxed)) {
    return;
  }
  const auto dropped = Limiter().Admit(component_, message, std::chrono::steady_clock::now());
  if (!dropped) {
    return;
  }
  std::string line = MakeLine(level, message, fields);
  if (*dropped > 0) {
    line += fmt::format(" repeats_dropped={}", *dropped);
  }
  if (Sink()) {
    Sink()(line);
    return;
  }
  if (!Output().Write(line) && *dropped > 0) {
    Limiter().PutBack({.component = std::string(component_),
                       .message = std::string(message),
                       .dropped = *dropped});
  }
}

std::string Logger::MakeLine(LogLevel level, std::string_view message, Fields fields) const {
  std::string line = fmt::format("{} {}: {}", LevelName(level), component_, message);
  for (const LogField& field : fields) {
    line += ' ';
    line += field.key;
    line += '=';
    AppendValue(line, field.value);
  }
  return line;
}

}  // namespace savoryglade
