#include "config/settings.h"

#include <algorithm>
#include <array>
#include <string_view>

#include "config/json_reader.h"

namespace savoryglade {
namespace {

constexpr std::int64_t kMaxWorkerThreads = 64;
constexpr std::int64_t kMaxHeaderBytes = 1024 * 1024;
constexpr std::int64_t kMaxBodyBytes = 1024 * 1024 * 1024;
constexpr std::int64_t kMaxConnections = 1'000'000;
// The smallest that holds one body of the default size besides the reserve.
constexpr std::int64_t kMinMemoryMegabytes = 64;
constexpr std::int64_t kMaxMemoryMegabytes = 1024 * 1024;
constexpr std::array<std::string_view, 4> kLogLevels = {"debug", "info", "warning", "error"};

void ReadPlatform(JsonObjectReader platform, Settings& settings) {
  platform.AllowOnly({"kind", "address", "configuration_file"});
  const std::string kind = platform.OptionalString("kind", "embedded");
  if (kind != "embedded" && kind != "http") {
    platform.Reject("kind", "\"" + kind + "\"", "\"embedded\" or \"http\"");
  }
  settings.platform_kind = kind == "http" ? PlatformKind::kHttp : PlatformKind::kEmbedded;
  if (settings.platform_kind == PlatformKind::kHttp) {
    settings.platform_address = platform.RequiredString("address");
  }
  settings.configuration_file = platform.OptionalString("configuration_file", "");
}

void ReadLimits(JsonObjectReader limits, CallerLimits& result) {
  limits.AllowOnly({"header_size", "body_size", "connections", "read_timeout", "write_timeout"});
  result.header_size =
      limits.OptionalInteger("header_size", result.header_size, 1024, kMaxHeaderBytes);
  result.body_size = limits.OptionalInteger("body_size", result.body_size, 1024, kMaxBodyBytes);
  result.connections =
      limits.OptionalInteger("connections", result.connections, 1, kMaxConnections);
  result.read_timeout = limits.OptionalDuration("read_timeout", result.read_timeout);
  result.write_timeout = limits.OptionalDuration("write_timeout", result.write_timeout);
}

}  // namespace

Result<Settings> ParseSettings(const std::string& text) {
  const Result<boost::json::value> document = ParseJson(text);
  if (!document) {
    return tl::make_unexpected(document.error());
  }
  JsonValidationErrors errors;
  JsonObjectReader reader(*document, "", errors);
  reader.AllowOnly({"daemon", "failure_domain", "callers_address", "administration_address",
                    "worker_threads", "platform", "operator_key_file", "peers_address", "peers",
                    "fleet_key_file", "log_level", "memory_mb", "caller_limits"});
  Settings settings;
  settings.daemon = DaemonId(reader.OptionalString("daemon", settings.daemon.value()));
  settings.failure_domain =
      FailureDomainId(reader.OptionalString("failure_domain", settings.failure_domain.value()));
  settings.callers_address = reader.OptionalString("callers_address", settings.callers_address);
  settings.administration_address =
      reader.OptionalString("administration_address", settings.administration_address);
  settings.worker_threads = static_cast<int>(
      reader.OptionalInteger("worker_threads", settings.worker_threads, 1, kMaxWorkerThreads));
  ReadPlatform(reader.OptionalObject("platform"), settings);
  ReadLimits(reader.OptionalObject("caller_limits"), settings.caller_limits);
  settings.memory_mb = reader.OptionalInteger("memory_mb", settings.memory_mb, kMinMemoryMegabytes,
                                              kMaxMemoryMegabytes);
  settings.operator_key_file = reader.OptionalString("operator_key_file", "");
  settings.peers_address = reader.OptionalString("peers_address", "");
  settings.fleet_key_file = reader.OptionalString("fleet_key_file", "");
  for (JsonObjectReader& peer : reader.OptionalObjects("peers")) {
    peer.AllowOnly({"daemon", "failure_domain", "address"});
    settings.peers.push_back(
        {.daemon = DaemonId(peer.RequiredString("daemon")),
         .failure_domain = FailureDomainId(peer.RequiredString("failure_domain")),
         .address = peer.RequiredString("address")});
  }
  settings.log_level = reader.OptionalString("log_level", settings.log_level);
  if (std::find(kLogLevels.begin(), kLogLevels.end(), settings.log_level) == kLogLevels.end()) {
    reader.Reject("log_level", "\"" + settings.log_level + "\"",
                  "\"debug\", \"info\", \"warning\" or \"error\"");
  }
  if (!errors.empty()) {
    return tl::make_unexpected(errors.ToError());
  }
  return settings;
}

}  // namespace savoryglade
