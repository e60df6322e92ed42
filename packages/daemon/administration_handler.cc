#include "daemon/administration_handler.h"

#include <fmt/format.h>

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

#include "config/account_keys.h"
#include "config/configuration.h"
#include "logging/logger.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using Kind = ConfigChangeOutcome::Kind;

constexpr Duration kMaxStatusWait = 30s;

const Logger kLog("administration");

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

// Returns the version in an If-Match header, which may be quoted: 7 or "7".
std::optional<std::uint64_t> ParseEntityTag(std::string_view tag) {
  if (tag.size() >= 2 && tag.front() == '"' && tag.back() == '"') {
    tag = tag.substr(1, tag.size() - 2);
  }
  return ParseNumber(tag);
}

// Returns a numeric parameter of a query string such as "a=1&b=2", or std::nullopt.
std::optional<std::uint64_t> ParseQueryNumber(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const std::string_view part = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), part.size() + 1));
    if (part.size() > name.size() && part.substr(0, name.size()) == name &&
        part[name.size()] == '=') {
      return ParseNumber(part.substr(name.size() + 1));
    }
  }
  return std::nullopt;
}

asio::awaitable<void> RespondJson(HttpExchange& exchange, unsigned status, json::object object) {
  std::string body = json::serialize(object) + "\n";
  co_await exchange.Respond(status, ContentType("application/json"), std::move(body));
}

json::object ErrorObject(const std::string& message) { return {{"error", message}}; }

}  // namespace

asio::awaitable<bool> AdministrationHandler::RefuseByHead(HttpExchange& exchange) {
  const bool is_operator =
      operator_key_.empty() || EqualInConstantTime(operator_key_, exchange.BearerToken());
  const std::string_view target = exchange.target();
  const bool takes_body = exchange.request().method() == http::verb::put &&
                          target.substr(0, target.find('?')) == "/v1/configuration";
  if (is_operator && takes_body) {
    co_return false;
  }
  co_await Handle(exchange);
  co_return true;
}

asio::awaitable<void> AdministrationHandler::Handle(HttpExchange& exchange) {
  if (!operator_key_.empty() && !EqualInConstantTime(operator_key_, exchange.BearerToken())) {
    co_await exchange.Respond(401, ContentType("text/plain"), "unknown operator key\n");
    co_return;
  }
  const std::string target(exchange.target());
  const std::string path = target.substr(0, target.find('?'));
  const http::verb method = exchange.request().method();
  if (path == "/metrics" && method == http::verb::get) {
    co_await exchange.Respond(200, ContentType("text/plain; version=0.0.4"), metrics_.RenderText());
  } else if (path == "/v1/configuration" && method == http::verb::get) {
    const ConfigHolder::Snapshot snapshot = configuration_.Get();
    HttpHeaders headers = ContentType("application/json");
    headers.emplace_back("ETag", fmt::format("\"{}\"", snapshot->version));
    co_await exchange.Respond(200, std::move(headers), PrintConfiguration(*snapshot));
  } else if (path == "/v1/configuration" && method == http::verb::put) {
    co_await PutConfiguration(exchange);
  } else if (path == "/v1/drain" && method == http::verb::post && on_drain_requested_) {
    co_await exchange.Respond(200, ContentType("application/json"), "{\"draining\":true}\n");
    on_drain_requested_();
  } else if (path == "/v1/status" && method == http::verb::get) {
    co_await GetStatus(exchange, target.substr(std::min(target.size(), path.size() + 1)));
  } else {
    co_await exchange.Respond(404, ContentType("text/plain"), "no such resource\n");
  }
}

asio::awaitable<void> AdministrationHandler::GetStatus(HttpExchange& exchange, std::string query) {
  const auto version = ParseQueryNumber(query, "wait_for_version");
  const auto members = ParseQueryNumber(query, "wait_for_members");
  bool reached = true;
  if (version || members) {
    reached = co_await platform_.WaitForVersionAndMembers(version.value_or(0), members.value_or(0),
                                                          kMaxStatusWait);
  }
  std::string status = co_await platform_.GetStatusJson();
  co_await exchange.Respond(reached ? 200 : 504, ContentType("application/json"),
                            std::move(status));
}

asio::awaitable<void> AdministrationHandler::PutConfiguration(HttpExchange& exchange) {
  const std::optional<std::uint64_t> expected = ParseEntityTag(exchange.Header("If-Match"));
  if (!expected) {
    co_await RespondJson(
        exchange, 428,
        ErrorObject("The If-Match header must contain the version that the change is based on."));
    co_return;
  }
  Result<Configuration> requested = ParseConfiguration(exchange.request().body());
  if (!requested) {
    co_await RespondJson(exchange, 400, ErrorObject(requested.error().message));
    co_return;
  }
  const std::string change_id = platform_.MakeChangeId();
  const ConfigChangeOutcome outcome =
      co_await platform_.ApplyChange(std::move(*requested), *expected, change_id);
  unsigned status = 200;
  json::object response;
  const char* name = "accepted";
  switch (outcome.kind) {
    case Kind::kAccepted:
      response["version"] = outcome.version;
      break;
    case Kind::kConflict:
      status = 409;
      name = "conflict";
      response = ErrorObject("The configuration has changed since the version in If-Match.");
      response["version"] = outcome.version;
      response["changed"] = json::array(outcome.changed_names.begin(), outcome.changed_names.end());
      break;
    case Kind::kNotApplied:
      status = 503;
      name = "not_applied";
      response = ErrorObject("The platform is unavailable; the change is not applied.");
      break;
    case Kind::kUnknown:
      status = 504;
      name = "unknown";
      response = ErrorObject("The platform did not respond; the change may or may not be applied.");
      response["change_id"] = change_id;
      break;
  }
  metrics_.GetCounter("savoryglade_configuration_changes_total", {{"outcome", name}}).Add();
  kLog.Info("Processed a configuration change from an operator.",
            {{"outcome", name}, {"expected", *expected}, {"change_id", change_id}});
  co_await RespondJson(exchange, status, std::move(response));
}

}  // namespace savoryglade
