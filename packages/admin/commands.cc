#include "admin/commands.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <fstream>
#include <iterator>
#include <utility>

#include "config/configuration_diff.h"
#include "config/json_reader.h"

namespace savoryglade {
namespace {

namespace json = boost::json;

using Print = Command::Print;

struct ErrorMapping {
  ErrorCode code;
  const char* name;
  ExitCode exit;
};

constexpr ErrorMapping kErrorMappings[] = {
    {ErrorCode::kInvalid, "invalid", kExitInvalid},
    {ErrorCode::kConflict, "conflict", kExitConflict},
    {ErrorCode::kUnavailable, "unreachable", kExitUnreachable},
    {ErrorCode::kTimeout, "unreachable", kExitUnreachable},
    {ErrorCode::kUnknownOutcome, "unknown_outcome", kExitUnknownOutcome},
    {ErrorCode::kNotFound, "not_found", kExitFailure},
    {ErrorCode::kDenied, "denied", kExitFailure},
};

const ErrorMapping& FindErrorMapping(ErrorCode code) {
  for (const ErrorMapping& entry : kErrorMappings) {
    if (entry.code == code) {
      return entry;
    }
  }
  return kErrorMappings[0];
}

Result<Configuration> ReadConfigurationFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return tl::make_unexpected(
        Error{.code = ErrorCode::kInvalid, .message = fmt::format("Can't read {}.", path)});
  }
  return ParseConfiguration(std::string(std::istreambuf_iterator<char>(file), {}))
      .map_error([&path](const Error& error) {
        return Error{.code = error.code, .message = path + ":\n" + error.message};
      });
}

// Configuration in force and the configuration of a file.
struct CurrentAndDesired {
  Configuration current;
  Configuration desired;
};

// Reads both configurations. A file without a version is based on the version in force.
Result<CurrentAndDesired> ReadCurrentAndDesired(const OperatorClient& client,
                                                const std::string& path) {
  Result<Configuration> current = client.GetConfiguration();
  if (!current) {
    return tl::make_unexpected(current.error());
  }
  Result<Configuration> desired = ReadConfigurationFile(path);
  if (!desired) {
    return tl::make_unexpected(desired.error());
  }
  if (desired->version == 0) {
    desired->version = current->version;
  }
  return CurrentAndDesired{.current = std::move(*current), .desired = std::move(*desired)};
}

Result<int> RunGet(const OperatorClient& client, const CommandArguments& /*arguments*/,
                   const Print& print) {
  const Result<Configuration> configuration = client.GetConfiguration();
  if (!configuration) {
    return tl::make_unexpected(configuration.error());
  }
  print(PrintConfiguration(*configuration));
  return kExitSuccess;
}

json::array ChangesToJson(const std::vector<ConfigurationChange>& changes) {
  static constexpr const char* kKinds[] = {"added", "removed", "changed"};
  json::array array;
  for (const ConfigurationChange& change : changes) {
    json::array fields(change.fields.begin(), change.fields.end());
    array.emplace_back(json::object{{"kind", kKinds[static_cast<int>(change.kind)]},
                                    {"item", change.item},
                                    {"fields", std::move(fields)}});
  }
  return array;
}

// Returns exit code 1 if there is a difference, like other diff commands.
Result<int> RunDiff(const OperatorClient& client, const CommandArguments& arguments,
                    const Print& print) {
  const Result<CurrentAndDesired> configurations = ReadCurrentAndDesired(client, arguments.operand);
  if (!configurations) {
    return tl::make_unexpected(configurations.error());
  }
  const std::vector<ConfigurationChange> changes =
      DiffConfigurations(configurations->current, configurations->desired);
  print(arguments.json ? PrintJson(ChangesToJson(changes)) : PrintChanges(changes));
  return changes.empty() ? kExitSuccess : kExitFailure;
}

Result<int> RunApply(const OperatorClient& client, const CommandArguments& arguments,
                     const Print& print) {
  const Result<CurrentAndDesired> configurations = ReadCurrentAndDesired(client, arguments.operand);
  if (!configurations) {
    return tl::make_unexpected(configurations.error());
  }
  const Result<Configuration> applied = client.Apply(configurations->desired);
  if (!applied) {
    return tl::make_unexpected(applied.error());
  }
  print(PrintConfiguration(*applied));
  return kExitSuccess;
}

Result<int> PrintResponse(const Result<std::string>& text, const Print& print) {
  if (!text) {
    return tl::make_unexpected(text.error());
  }
  print(*text);
  return kExitSuccess;
}

std::string FieldAsText(const json::object& object, const char* name) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr) {
    return "unknown";
  }
  return value->is_string() ? std::string(value->get_string()) : json::serialize(*value);
}

// Returns the status as a line for the daemon and a table of the members, or the unchanged text if
// it is not a status document.
std::string FormatStatus(const std::string& text) {
  json::error_code error;
  const json::value document = json::parse(text, error);
  const json::object* status = error ? nullptr : document.if_object();
  const json::value* configuration =
      status == nullptr ? nullptr : status->if_contains("configuration");
  const json::value* members = status == nullptr ? nullptr : status->if_contains("members");
  if (configuration == nullptr || !configuration->is_object() || members == nullptr ||
      !members->is_array()) {
    return text;
  }
  const json::object& configuration_fields = configuration->get_object();
  std::string lines = fmt::format(
      "{} in {}: ready {}, configuration {} from {}, last compared with the platform {} ms ago\n"
      "{:<20} {:<16} {:<8} {}\n",
      FieldAsText(*status, "daemon"), FieldAsText(*status, "failure_domain"),
      FieldAsText(*status, "ready"), FieldAsText(configuration_fields, "version"),
      FieldAsText(configuration_fields, "source"),
      FieldAsText(configuration_fields, "staleness_ms"), "DAEMON", "FAILURE DOMAIN", "STATE",
      "CONFIGURATION");
  for (const json::value& member : members->get_array()) {
    if (const json::object* fields = member.if_object()) {
      lines += fmt::format("{:<20} {:<16} {:<8} {}\n", FieldAsText(*fields, "daemon"),
                           FieldAsText(*fields, "failure_domain"), FieldAsText(*fields, "state"),
                           FieldAsText(*fields, "configuration_version"));
    }
  }
  return lines;
}

Result<int> RunStatus(const OperatorClient& client, const CommandArguments& arguments,
                      const Print& print) {
  const Result<std::string> status = client.GetStatus();
  if (status && !arguments.json) {
    print(FormatStatus(*status));
    return kExitSuccess;
  }
  return PrintResponse(status, print);
}

Result<int> RunMetrics(const OperatorClient& client, const CommandArguments& /*arguments*/,
                       const Print& print) {
  return PrintResponse(client.GetMetrics(), print);
}

Result<int> RunDrain(const OperatorClient& client, const CommandArguments& arguments,
                     const Print& print) {
  const Result<void> drained = client.Drain();
  if (!drained) {
    return tl::make_unexpected(drained.error());
  }
  print(arguments.json ? "{\"draining\": true}\n" : "The daemon is draining.\n");
  return kExitSuccess;
}

}  // namespace

const std::vector<Command>& Commands() {
  static const std::vector<Command> kCommands = {
      {"get", RunGet},       {"diff", RunDiff},       {"apply", RunApply},
      {"status", RunStatus}, {"metrics", RunMetrics}, {"drain", RunDrain},
  };
  return kCommands;
}

ExitCode ExitCodeOf(ErrorCode code) { return FindErrorMapping(code).exit; }

std::string FormatError(const Error& error, bool as_json) {
  const char* name = FindErrorMapping(error.code).name;
  if (as_json) {
    return PrintJson(
        json::object{{"error", json::object{{"kind", name}, {"message", error.message}}}});
  }
  return fmt::format("{}: {}\n", name, error.message);
}

}  // namespace savoryglade
