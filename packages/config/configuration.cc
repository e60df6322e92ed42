#include "config/configuration.h"

#include <algorithm>
#include <boost/json.hpp>
#include <set>

#include "config/json_reader.h"

namespace savoryglade {
namespace {

namespace json = boost::json;

constexpr std::size_t kSha256HexLength = 64;
constexpr double kMaxShare = 1e6;
constexpr std::int64_t kMaxConcurrency = 4096;
constexpr std::int64_t kMaxPort = 65535;
constexpr double kMaxPricePerHour = 1e6;

template <typename T, typename Name>
const T* FindByName(const std::vector<T>& items, const Name& name) {
  const auto found = std::find_if(items.begin(), items.end(),
                                  [&name](const T& item) { return item.name == name; });
  return found == items.end() ? nullptr : &*found;
}

bool IsSha256Hex(const std::string& text) {
  return text.size() == kSha256HexLength &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

MayNotRepeatRule ReadRule(JsonObjectReader& reader) {
  reader.AllowOnly({"method", "path", "identity_field"});
  return {.method = reader.RequiredString("method"),
          .path = reader.RequiredString("path"),
          .identity_field = reader.OptionalString("identity_field", "")};
}

ServiceConfig ReadService(JsonObjectReader& reader) {
  reader.AllowOnly({"name", "kind", "path_prefix", "deadline", "may_not_repeat"});
  ServiceConfig service;
  service.name = ServiceId(reader.RequiredString("name"));
  const std::string kind = reader.OptionalString("kind", "model");
  if (kind != "model" && kind != "plain") {
    reader.Reject("kind", "\"" + kind + "\"", "\"model\" or \"plain\"");
  }
  service.kind = kind == "plain" ? ServiceKind::kPlain : ServiceKind::kModel;
  service.path_prefix = reader.OptionalString("path_prefix", "");
  if (service.kind == ServiceKind::kPlain && service.path_prefix.substr(0, 1) != "/") {
    reader.Reject("path_prefix", "\"" + service.path_prefix + "\"",
                  "a path that starts with \"/\"");
  }
  service.deadline = reader.OptionalDuration("deadline", service.deadline);
  for (JsonObjectReader& rule : reader.OptionalObjects("may_not_repeat")) {
    service.may_not_repeat.push_back(ReadRule(rule));
  }
  return service;
}

AccountConfig ReadAccount(JsonObjectReader& reader) {
  reader.AllowOnly({"name", "share", "key_sha256"});
  AccountConfig account;
  account.name = AccountId(reader.RequiredString("name"));
  account.share = reader.OptionalNumber("share", account.share, 0.001, kMaxShare);
  account.key_sha256 = reader.RequiredString("key_sha256");
  if (!account.key_sha256.empty() && !IsSha256Hex(account.key_sha256)) {
    reader.Reject("key_sha256", "a value of another form", "64 lower-case hexadecimal digits");
  }
  return account;
}

UpstreamConfig ReadUpstream(JsonObjectReader& reader) {
  reader.AllowOnly({"name", "service", "address", "port", "vm", "failure_domain", "checks_fencing",
                    "concurrency", "price_per_hour"});
  UpstreamConfig upstream;
  upstream.name = UpstreamId(reader.RequiredString("name"));
  upstream.service = ServiceId(reader.RequiredString("service"));
  upstream.address = reader.OptionalString("address", "127.0.0.1");
  upstream.port = static_cast<std::uint16_t>(reader.OptionalInteger("port", 0, 1, kMaxPort));
  if (!reader.Has("port")) {
    reader.Reject("port", "nothing", "an integer from 1 to 65535");
  }
  upstream.vm = VmId(reader.OptionalString("vm", upstream.name.value()));
  upstream.failure_domain = FailureDomainId(reader.RequiredString("failure_domain"));
  upstream.checks_fencing = reader.OptionalBool("checks_fencing", false);
  upstream.concurrency = static_cast<int>(
      reader.OptionalInteger("concurrency", upstream.concurrency, 1, kMaxConcurrency));
  upstream.price_per_hour = reader.OptionalNumber("price_per_hour", 0, 0, kMaxPricePerHour);
  return upstream;
}

template <typename T>
void RejectDuplicateNames(const std::vector<T>& items, const std::string& list,
                          JsonValidationErrors& errors) {
  std::set<std::string> names;
  for (std::size_t i = 0; i < items.size(); ++i) {
    if (!names.insert(items[i].name.value()).second) {
      errors.Add(list + "[" + std::to_string(i) + "].name",
                 "\"" + items[i].name.value() + "\" a second time", "a unique name");
    }
  }
}

json::object RuleToJson(const MayNotRepeatRule& rule) {
  json::object object = {{"method", rule.method}, {"path", rule.path}};
  if (!rule.identity_field.empty()) {
    object["identity_field"] = rule.identity_field;
  }
  return object;
}

json::object ServiceToJson(const ServiceConfig& service) {
  json::object object = {{"name", service.name.value()}};
  if (service.kind == ServiceKind::kPlain) {
    object["kind"] = "plain";
    object["path_prefix"] = service.path_prefix;
  } else {
    object["kind"] = "model";
  }
  object["deadline"] = PrintDuration(service.deadline);
  json::array rules;
  for (const MayNotRepeatRule& rule : service.may_not_repeat) {
    rules.emplace_back(RuleToJson(rule));
  }
  if (!rules.empty()) {
    object["may_not_repeat"] = std::move(rules);
  }
  return object;
}

json::object UpstreamToJson(const UpstreamConfig& upstream) {
  return {{"name", upstream.name.value()},
          {"service", upstream.service.value()},
          {"address", upstream.address},
          {"port", upstream.port},
          {"vm", upstream.vm.empty() ? upstream.name.value() : upstream.vm.value()},
          {"failure_domain", upstream.failure_domain.value()},
          {"checks_fencing", upstream.checks_fencing},
          {"concurrency", upstream.concurrency},
          {"price_per_hour", upstream.price_per_hour}};
}

}  // namespace

const ServiceConfig* Configuration::FindService(const ServiceId& name) const {
  return FindByName(services, name);
}

const AccountConfig* Configuration::FindAccount(const AccountId& name) const {
  return FindByName(accounts, name);
}

const UpstreamConfig* Configuration::FindUpstream(const UpstreamId& name) const {
  return FindByName(upstreams, name);
}

Result<Configuration> ParseConfiguration(const std::string& text) {
  const Result<json::value> document = ParseJson(text);
  if (!document) {
    return tl::make_unexpected(document.error());
  }
  JsonValidationErrors errors;
  JsonObjectReader reader(*document, "", errors);
  reader.AllowOnly({"version", "services", "client_accounts", "upstreams"});
  Configuration configuration;
  configuration.version =
      static_cast<std::uint64_t>(reader.OptionalInteger("version", 0, 0, INT64_MAX));
  for (JsonObjectReader& element : reader.OptionalObjects("services")) {
    configuration.services.push_back(ReadService(element));
  }
  for (JsonObjectReader& element : reader.OptionalObjects("client_accounts")) {
    configuration.accounts.push_back(ReadAccount(element));
  }
  for (JsonObjectReader& element : reader.OptionalObjects("upstreams")) {
    configuration.upstreams.push_back(ReadUpstream(element));
  }
  RejectDuplicateNames(configuration.services, "services", errors);
  RejectDuplicateNames(configuration.accounts, "client_accounts", errors);
  RejectDuplicateNames(configuration.upstreams, "upstreams", errors);
  for (std::size_t i = 0; i < configuration.upstreams.size(); ++i) {
    const ServiceId& service = configuration.upstreams[i].service;
    if (!service.empty() && configuration.FindService(service) == nullptr) {
      errors.Add("upstreams[" + std::to_string(i) + "].service", "\"" + service.value() + "\"",
                 "the name of a service in this document");
    }
  }
  if (!errors.empty()) {
    return tl::make_unexpected(errors.ToError());
  }
  return configuration;
}

std::string PrintConfiguration(const Configuration& configuration) {
  json::array services;
  for (const ServiceConfig& service : configuration.services) {
    services.emplace_back(ServiceToJson(service));
  }
  json::array accounts;
  for (const AccountConfig& account : configuration.accounts) {
    accounts.emplace_back(json::object{{"name", account.name.value()},
                                       {"share", account.share},
                                       {"key_sha256", account.key_sha256}});
  }
  json::array upstreams;
  for (const UpstreamConfig& upstream : configuration.upstreams) {
    upstreams.emplace_back(UpstreamToJson(upstream));
  }
  return PrintJson(json::object{{"version", configuration.version},
                                {"services", std::move(services)},
                                {"client_accounts", std::move(accounts)},
                                {"upstreams", std::move(upstreams)}});
}

}  // namespace savoryglade
