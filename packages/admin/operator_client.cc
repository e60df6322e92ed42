#include "admin/operator_client.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <optional>
#include <utility>

#include "net/http_client.h"

namespace savoryglade {
namespace {

namespace http = boost::beast::http;
namespace json = boost::json;

struct StatusMapping {
  unsigned status;
  ErrorCode code;
};

constexpr unsigned kFirstErrorStatus = 300;
constexpr const char* kConfigurationPath = "/v1/configuration";

constexpr StatusMapping kStatusMappings[] = {
    {400, ErrorCode::kInvalid},  {401, ErrorCode::kDenied},      {404, ErrorCode::kNotFound},
    {409, ErrorCode::kConflict}, {503, ErrorCode::kUnavailable}, {504, ErrorCode::kUnknownOutcome},
};

ErrorCode ErrorCodeForStatus(unsigned status) {
  for (const StatusMapping& entry : kStatusMappings) {
    if (entry.status == status) {
      return entry.code;
    }
  }
  return ErrorCode::kUnknownOutcome;
}

// Returns the message of an error document {"error", "changed"}, or the whole body if it is not an
// error document.
std::string ExtractErrorMessage(const std::string& body) {
  json::error_code error;
  const json::value document = json::parse(body, error);
  const json::object* object = error ? nullptr : document.if_object();
  const json::value* message = object == nullptr ? nullptr : object->if_contains("error");
  if (message == nullptr || !message->is_string()) {
    return body;
  }
  std::string text(message->get_string());
  const json::value* changed = object->if_contains("changed");
  if (changed != nullptr && changed->is_array()) {
    text += " Changed:";
    for (const json::value& name : changed->get_array()) {
      text += name.is_string() ? " " + std::string(name.get_string()) : "";
    }
  }
  return text;
}

template <typename T>
void UpsertByName(std::vector<T>& items, const T& item) {
  const auto found = std::find_if(items.begin(), items.end(),
                                  [&item](const T& other) { return other.name == item.name; });
  if (found == items.end()) {
    items.push_back(item);
  } else {
    *found = item;
  }
}

template <typename T, typename Name>
Result<void> EditByName(std::vector<T>& items, const Name& name,
                        const std::function<void(T&)>& edit) {
  const auto found = std::find_if(items.begin(), items.end(),
                                  [&name](const T& item) { return item.name == name; });
  if (found == items.end()) {
    return tl::make_unexpected(
        Error{.code = ErrorCode::kNotFound,
              .message = fmt::format("There is no \"{}\" in the configuration.", name.value())});
  }
  edit(*found);
  return {};
}

template <typename T, typename Name>
Result<void> RemoveByName(std::vector<T>& items, const Name& name) {
  Result<void> found = EditByName<T>(items, name, [](T&) {});
  if (found) {
    items.erase(std::remove_if(items.begin(), items.end(),
                               [&name](const T& item) { return item.name == name; }),
                items.end());
  }
  return found;
}

Result<Configuration> ParseResponse(const Result<std::string>& body) {
  if (!body) {
    return tl::make_unexpected(body.error());
  }
  return ParseConfiguration(*body);
}

}  // namespace

Result<std::string> OperatorClient::SendRequest(const char* method, const std::string& target,
                                                const std::string& body,
                                                std::optional<std::uint64_t> version) const {
  HttpRequest request(http::string_to_verb(method), target, 11);
  if (!options_.key.empty()) {
    request.set(http::field::authorization, "Bearer " + options_.key);
  }
  request.set(http::field::content_type, "application/json");
  if (version) {
    request.set(http::field::if_match, fmt::format("\"{}\"", *version));
  }
  request.body() = body;
  const bool is_read = request.method() == http::verb::get;
  boost::asio::io_context context;
  std::optional<Result<HttpResponse>> response;
  boost::asio::co_spawn(
      context, FetchDocument(options_.daemon, std::move(request), options_.timeout),
      [&response](const std::exception_ptr&, Result<HttpResponse> r) { response = std::move(r); });
  context.run();
  if (!*response) {
    const std::string& message = response->error().message;
    // A failed connection attempt changes nothing; after a later failure the outcome of a change is
    // unknown.
    const bool connected = message.rfind("Connecting", 0) != 0;
    return tl::make_unexpected(
        Error{.code = is_read || !connected ? ErrorCode::kUnavailable : ErrorCode::kUnknownOutcome,
              .message = message});
  }
  if ((*response)->result_int() >= kFirstErrorStatus) {
    return tl::make_unexpected(Error{.code = ErrorCodeForStatus((*response)->result_int()),
                                     .message = ExtractErrorMessage((*response)->body())});
  }
  return (*response)->body();
}

Result<Configuration> OperatorClient::GetConfiguration() const {
  return ParseResponse(SendRequest("GET", kConfigurationPath, "", std::nullopt));
}

Result<Configuration> OperatorClient::Apply(const Configuration& configuration) const {
  const Result<std::string> accepted = SendRequest(
      "PUT", kConfigurationPath, PrintConfiguration(configuration), configuration.version);
  if (!accepted) {
    return tl::make_unexpected(accepted.error());
  }
  Result<Configuration> current = GetConfiguration();
  if (!current) {
    return tl::make_unexpected(
        Error{.code = ErrorCode::kUnavailable,
              .message = "The change was accepted, but the configuration can't be read: " +
                         current.error().message});
  }
  return current;
}

Result<Configuration> OperatorClient::ModifyConfiguration(const ConfigurationEdit& edit) const {
  for (int attempt = 0;; ++attempt) {
    Result<Configuration> configuration = GetConfiguration();
    if (!configuration) {
      return configuration;
    }
    const Result<void> edited = edit(*configuration);
    if (!edited) {
      return tl::make_unexpected(edited.error());
    }
    Result<Configuration> applied = Apply(*configuration);
    const bool conflict = !applied && applied.error().code == ErrorCode::kConflict;
    if (!conflict || attempt >= options_.conflict_retries) {
      return applied;
    }
  }
}

Result<Configuration> OperatorClient::PutService(const ServiceConfig& service) const {
  return ModifyConfiguration([&](Configuration& configuration) -> Result<void> {
    UpsertByName(configuration.services, service);
    return {};
  });
}

Result<Configuration> OperatorClient::RemoveService(const ServiceId& name) const {
  return ModifyConfiguration([&](Configuration& configuration) {
    auto& upstreams = configuration.upstreams;
    upstreams.erase(std::remove_if(upstreams.begin(), upstreams.end(),
                                   [&](const UpstreamConfig& u) { return u.service == name; }),
                    upstreams.end());
    return RemoveByName(configuration.services, name);
  });
}

Result<Configuration> OperatorClient::PutAccount(const AccountConfig& account) const {
  return ModifyConfiguration([&](Configuration& configuration) -> Result<void> {
    UpsertByName(configuration.accounts, account);
    return {};
  });
}

Result<Configuration> OperatorClient::SetShare(const AccountId& name, double share) const {
  return ModifyConfiguration([&](Configuration& configuration) {
    return EditByName<AccountConfig>(configuration.accounts, name,
                                     [share](AccountConfig& account) { account.share = share; });
  });
}

Result<Configuration> OperatorClient::RemoveAccount(const AccountId& name) const {
  return ModifyConfiguration(
      [&](Configuration& configuration) { return RemoveByName(configuration.accounts, name); });
}

Result<Configuration> OperatorClient::PutUpstream(const UpstreamConfig& upstream) const {
  return ModifyConfiguration([&](Configuration& configuration) -> Result<void> {
    UpsertByName(configuration.upstreams, upstream);
    return {};
  });
}

Result<Configuration> OperatorClient::RemoveUpstream(const UpstreamId& name) const {
  return ModifyConfiguration(
      [&](Configuration& configuration) { return RemoveByName(configuration.upstreams, name); });
}

Result<Configuration> OperatorClient::AddMayNotRepeatRule(const ServiceId& service,
                                                          const MayNotRepeatRule& rule) const {
  return ModifyConfiguration([&](Configuration& configuration) {
    return EditByName<ServiceConfig>(
        configuration.services, service, [&rule](ServiceConfig& config) {
          auto& rules = config.may_not_repeat;
          if (std::find(rules.begin(), rules.end(), rule) == rules.end()) {
            rules.push_back(rule);
          }
        });
  });
}

Result<Configuration> OperatorClient::SetChecksFencing(const UpstreamId& name, bool checks) const {
  return ModifyConfiguration([&](Configuration& configuration) {
    return EditByName<UpstreamConfig>(
        configuration.upstreams, name,
        [checks](UpstreamConfig& upstream) { upstream.checks_fencing = checks; });
  });
}

Result<std::string> OperatorClient::GetStatus() const {
  return SendRequest("GET", "/v1/status", "", std::nullopt);
}

Result<std::string> OperatorClient::GetMetrics() const {
  return SendRequest("GET", "/metrics", "", std::nullopt);
}

Result<void> OperatorClient::Drain() const {
  return SendRequest("POST", "/v1/drain", "", std::nullopt).map([](const std::string&) {});
}

}  // namespace savoryglade
