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

struct CodeName {
  ErrorCode code;
  const char* name;
  ExitCode exit;
};

constexpr CodeName kCodeNames[] = {
    {ErrorCode::kInvalid, "invalid", kExitInvalid},
    {ErrorCode::kConflict, "conflict", kExitConflict},
    {ErrorCode::kUnavailable, "unreachable", kExitUnreachable},
    {ErrorCode::kTimeout, "unreachable", kExitUnreachable},
    {ErrorCode::kUnknownOutcome, "unknown_outcome", kExitUnknownOutcome},
    {ErrorCode::kNotFound, "not_found", kExitFailed},
    {ErrorCode::kDenied, "denied", kExitFailed},
};

const CodeName& NameOf(ErrorCode code) {
  for (const CodeName& entry : kCodeNames) {
    if (entry.code == code) {
      return entry;
    }
  }
  return kCodeNames[0];
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

// What is in force, and what a file asks for.
struct CurrentAndWanted {
  Configuration current;
  Configuration wanted;
};

// Reads both. A file without a version is meant for the version in force.
Result<CurrentAndWanted> ReadBoth(const OperatorClient& client, const std::string& path) {
  Result<Configuration> current = client.GetConfiguration();
  if (!current) {
    return tl::make_unexpected(current.error());
  }
  Result<Configuration> wanted = ReadConfigurationFile(path);
  if (!wanted) {
    return tl::make_unexpected(wanted.error());
  }
  if (wanted->version == 0) {
    wanted->version = current->version;
  }
  return CurrentAndWanted{.current = std::move(*current), .wanted = std::move(*wanted)};
}

Result<int> RunGet(const OperatorClient& client, const CommandArguments& /*arguments*/,
                   const Print& print) {
  const Result<Configuration> configuration = client.GetConfiguration();
  if (!configuration) {
    return tl::make_unexpected(configuration.error());
  }
  print(PrintConfiguration(*configuration));
  return kExitDone;
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

// Exit code 1 tells scripts that there is a difference, like other diff commands.
Result<int> RunDiff(const OperatorClient& client, const CommandArguments& arguments,
                    const Print& print) {
  const Result<CurrentAndWanted> both = ReadBoth(client, arguments.operand);
  if (!both) {
    return tl::make_unexpected(both.error());
  }
  const std::vector<ConfigurationChange> changes = DiffConfigurations(both->current, both->wanted);
  print(arguments.json ? PrintJson(ChangesToJson(changes)) : PrintChanges(changes));
  return changes.empty() ? kExitDone : kExitFailed;
}

Result<int> RunApply(const OperatorClient& client, const CommandArguments& arguments,
                     const Print& print) {
  const Result<CurrentAndWanted> both = ReadBoth(client, arguments.operand);
  if (!both) {
    return tl::make_unexpected(both.error());
  }
  const Result<Configuration> applied = client.Apply(both->wanted);
  if (!applied) {
    return tl::make_unexpected(applied.error());
  }
  print(PrintConfiguration(*applied));
  return kExitDone;
}

Result<int> PrintText(const Result<std::string>& text, const Print& print) {
  if (!text) {
    return tl::make_unexpected(text.error());
  }
  print(*text);
  return kExitDone;
}

std::string TextField(const json::object& object, const char* name) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr) {
    return "unknown";
  }
  return value->is_string() ? std::string(value->get_string()) : json::serialize(*value);
}

// Prints the status as a line for the daemon and one for each member.
std::string PrintStatusForPeople(const std::string& text) {
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
  const json::object& held = configuration->get_object();
  std::string lines = fmt::format(
      "{} in {}: ready {}, configuration {} from {}, last compared with the platform {} ms ago\n"
      "{:<20} {:<16} {:<8} {}\n",
      TextField(*status, "daemon"), TextField(*status, "failure_domain"),
      TextField(*status, "ready"), TextField(held, "version"), TextField(held, "source"),
      TextField(held, "staleness_ms"), "DAEMON", "FAILURE DOMAIN", "STATE", "CONFIGURATION");
  for (const json::value& member : members->get_array()) {
    if (const json::object* fields = member.if_object()) {
      lines += fmt::format("{:<20} {:<16} {:<8} {}\n", TextField(*fields, "daemon"),
                           TextField(*fields, "failure_domain"), TextField(*fields, "state"),
                           TextField(*fields, "configuration_version"));
    }
  }
  return lines;
}

Result<int> RunStatus(const OperatorClient& client, const CommandArguments& arguments,
                      const Print& print) {
  const Result<std::string> status = client.GetStatus();
  if (status && !arguments.json) {
    print(PrintStatusForPeople(*status));
    return kExitDone;
  }
  return PrintText(status, print);
}

Result<int> RunMetrics(const OperatorClient& client, const CommandArguments& /*arguments*/,
                       const Print& print) {
  return PrintText(client.GetMetrics(), print);
}

Result<int> RunDrain(const OperatorClient& client, const CommandArguments& arguments,
                     const Print& print) {
  const Result<void> drained = client.Drain();
  if (!drained) {
    return tl::make_unexpected(drained.error());
  }
  print(arguments.json ? "{\"draining\": true}\n" : "The daemon drains.\n");
  return kExitDone;
}

}  // namespace

const std::vector<Command>& Commands() {
  static const std::vector<Command> kCommands = {
      {"get", RunGet},       {"diff", RunDiff},       {"apply", RunApply},
      {"status", RunStatus}, {"metrics", RunMetrics}, {"drain", RunDrain},
  };
  return kCommands;
}

ExitCode ExitCodeOf(ErrorCode code) { return NameOf(code).exit; }

std::string PrintError(const Error& error, bool as_json) {
  const char* name = NameOf(error.code).name;
  if (as_json) {
    return PrintJson(
        json::object{{"error", json::object{{"kind", name}, {"message", error.message}}}});
  }
  return fmt::format("{}: {}\n", name, error.message);
}

}  // namespace savoryglade
