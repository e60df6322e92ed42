#include "admin/explain.h"

#include <fmt/format.h>

#include <array>
#include <cctype>
#include <map>
#include <sstream>
#include <string_view>
#include <utility>

namespace savoryglade {
namespace {

struct ReasonExplanation {
  std::string_view reason;
  std::string_view text;
};

constexpr std::array kReasonExplanations = {
    ReasonExplanation{"not_ready",
                      "The daemon had not read any routes yet; look for \"Reading the routes\" or "
                      "\"route document is invalid\" in its log."},
    ReasonExplanation{"unknown_key",
                      "No client account of the routes in force holds the key of the request."},
    ReasonExplanation{"unknown_service", "No route in force matches the host and the path."},
    ReasonExplanation{"malformed_request",
                      "The request has no identity, or one of its headers can't be parsed."},
    ReasonExplanation{"allowance_exhausted",
                      "The client account had exhausted its allowance across all daemons."},
    ReasonExplanation{"request_crashes_upstreams",
                      "Upstreams that ran the same request crashed three times."},
    ReasonExplanation{"queue_full",
                      "All upstreams of the service were at their concurrency limit."},
    ReasonExplanation{"no_upstream",
                      "No upstream was available: each was excluded, leaving, or already tried."},
    ReasonExplanation{"stream_version_unknown",
                      "The caller resumed a stream, and it is not known which version of the "
                      "upstreams' software began it."},
    ReasonExplanation{"stream_version_unavailable",
                      "The version of the upstreams' software that began the stream no longer "
                      "serves."},
    ReasonExplanation{"draining",
                      "The daemon was draining and could not guarantee to finish the request."},
    ReasonExplanation{"deadline_exceeded",
                      "No response arrived within the caller's timeout or the route's timeout."},
    ReasonExplanation{"upstream_lost",
                      "The upstream connection failed or its response can't be forwarded, and the "
                      "request may not be repeated, or not once more."},
    ReasonExplanation{"retry_budget_exhausted", "The retry budget of the fleet was exhausted."},
};

// Returns the fields of a log line that have the form key=value or key="quoted value".
std::map<std::string, std::string> ParseFields(std::string_view line) {
  std::map<std::string, std::string> fields;
  std::size_t position = 0;
  while ((position = line.find('=', position)) != std::string_view::npos) {
    std::size_t begin = position;
    while (begin > 0 && (std::isalnum(static_cast<unsigned char>(line[begin - 1])) != 0 ||
                         line[begin - 1] == '_')) {
      --begin;
    }
    const std::string key(line.substr(begin, position - begin));
    ++position;
    const bool quoted = position < line.size() && line[position] == '"';
    const std::size_t start = quoted ? position + 1 : position;
    const std::size_t end = std::min(line.find(quoted ? '"' : ' ', start), line.size());
    if (!key.empty()) {
      fields.emplace(key, std::string(line.substr(start, end - start)));
    }
    position = end;
  }
  return fields;
}

std::string DescribeOutcome(const std::map<std::string, std::string>& fields) {
  if (const auto stage = fields.find("stage"); stage != fields.end()) {
    return fmt::format("The caller left before its answer, at stage {}.\n", stage->second);
  }
  const auto reason = fields.find("reason");
  if (reason == fields.end()) {
    const auto status = fields.find("status");
    return status == fields.end()
               ? "The log has no outcome of the request: the caller disconnected or the daemon "
                 "stopped.\n"
               : fmt::format("It got a response from an upstream, with status {}.\n",
                             status->second);
  }
  const auto verdict = fields.find("verdict");
  std::string text = fmt::format("It ended with reason {}, verdict {}. ", reason->second,
                                 verdict == fields.end() ? "unknown" : verdict->second);
  for (const ReasonExplanation& entry : kReasonExplanations) {
    if (entry.reason == reason->second) {
      text += entry.text;
    }
  }
  return text + "\n";
}

}  // namespace

Result<std::string> ExplainRequest(const std::string& log, const std::string& request) {
  std::istringstream lines(log);
  std::string line;
  std::string text;
  std::map<std::string, std::string> last;
  while (std::getline(lines, line)) {
    // Parses only the lines that contain the id, since most lines belong to other requests.
    if (line.find(request) == std::string::npos) {
      continue;
    }
    std::map<std::string, std::string> fields = ParseFields(line);
    const auto id = fields.find("request");
    if (id == fields.end() || id->second != request) {
      continue;
    }
    text += "  " + line + "\n";
    last = std::move(fields);
  }
  if (text.empty()) {
    return tl::make_unexpected(
        Error{.code = ErrorCode::kNotFound,
              .message = fmt::format("No log line contains the request {}.", request)});
  }
  return fmt::format("Request {}:\n{}{}", request, text, DescribeOutcome(last));
}

}  // namespace savoryglade
