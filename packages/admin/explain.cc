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

struct Cause {
  std::string_view reason;
  std::string_view text;
};

constexpr std::array kCauses = {
    Cause{"not_ready",
          "The daemon had not read any routes yet; look for \"can't be read\" in its log."},
    Cause{"unknown_key", "No client account of the routes in force holds the key of the request."},
    Cause{"unknown_service", "No route in force matches the host and the path."},
    Cause{"malformed_request", "The request has no identity, or one of its headers can't be read."},
    Cause{"allowance_exhausted", "The client account had used up its allowance over all daemons."},
    Cause{"request_crashes_upstreams",
          "Upstreams that ran the same request broke down three times."},
    Cause{"queue_full", "All upstreams of the service ran as many requests as they take."},
    Cause{"no_upstream",
          "No upstream was left to try: they were left, leaving, or had been tried."},
    Cause{"draining", "The daemon was ending and could not be sure to finish the request."},
    Cause{"deadline_exceeded",
          "The answer was not there within the caller's time or the route's time-out."},
    Cause{"upstream_lost",
          "The upstream broke off or answered in a way that can't be passed on, and the "
          "request may not be repeated, or not once more."},
    Cause{"retry_budget_exhausted", "The fleet's budget for repeated attempts was used up."},
};

// Fields of the form key=value or key="quoted value" of one log line.
std::map<std::string, std::string> ParseFields(std::string_view line) {
  std::map<std::string, std::string> fields;
  std::size_t at = 0;
  while ((at = line.find('=', at)) != std::string_view::npos) {
    std::size_t begin = at;
    while (begin > 0 && (std::isalnum(static_cast<unsigned char>(line[begin - 1])) != 0 ||
                         line[begin - 1] == '_')) {
      --begin;
    }
    const std::string key(line.substr(begin, at - begin));
    ++at;
    const bool quoted = at < line.size() && line[at] == '"';
    const std::size_t start = quoted ? at + 1 : at;
    const std::size_t end = std::min(line.find(quoted ? '"' : ' ', start), line.size());
    if (!key.empty()) {
      fields.emplace(key, std::string(line.substr(start, end - start)));
    }
    at = end;
  }
  return fields;
}

std::string Conclusion(const std::map<std::string, std::string>& fields) {
  const auto reason = fields.find("reason");
  if (reason == fields.end()) {
    const auto status = fields.find("status");
    return status == fields.end()
               ? "The log holds no end of the request: its caller left, or the daemon ended.\n"
               : fmt::format("It has its answer from an upstream, with status {}.\n",
                             status->second);
  }
  const auto verdict = fields.find("verdict");
  std::string text = fmt::format("It ended with reason {}, verdict {}. ", reason->second,
                                 verdict == fields.end() ? "unknown" : verdict->second);
  for (const Cause& cause : kCauses) {
    if (cause.reason == reason->second) {
      text += cause.text;
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
    // Most lines belong to other requests; only those that hold the id are worth parsing.
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
              .message = fmt::format("No line of the log names the request {}.", request)});
  }
  return fmt::format("Request {}:\n{}{}", request, text, Conclusion(last));
}

}  // namespace savoryglade
