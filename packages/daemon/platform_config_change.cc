#include "daemon/platform_config_change.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <set>
#include <utility>

#include "config/configuration_delta.h"
#include "config/json_reader.h"

namespace savoryglade {
namespace {

namespace json = boost::json;
using Kind = ConfigChangeOutcome::Kind;

constexpr std::size_t kChangesKept = 64;
constexpr std::size_t kNamesKept = 32;
constexpr Duration kRetryDelay = 200ms;

std::vector<std::string> Shorten(std::vector<std::string> names) {
  if (names.size() > kNamesKept) {
    const std::size_t others = names.size() - kNamesKept;
    names.resize(kNamesKept);
    names.push_back(fmt::format("{} others", others));
  }
  return names;
}

// Names of what was changed after a version, each once.
std::vector<std::string> NamesSince(const ConfigurationRow& row, std::uint64_t version) {
  std::set<std::string> names;
  for (const ConfigChangeRecord& change : row.changes) {
    if (change.version > version) {
      names.insert(change.names.begin(), change.names.end());
    }
  }
  return Shorten({names.begin(), names.end()});
}

}  // namespace

Result<ConfigurationRow> ParseConfigurationRow(const std::string& text) {
  ConfigurationRow row;
  if (text.empty()) {
    return row;
  }
  const Result<json::value> document = ParseJson(text);
  if (!document) {
    return tl::make_unexpected(document.error());
  }
  const json::object* object = document->if_object();
  const json::value* configuration =
      object == nullptr ? nullptr : object->if_contains("configuration");
  if (configuration == nullptr) {
    return tl::make_unexpected(
        Error{.code = ErrorCode::kInvalid,
              .message = "The configuration row has no field \"configuration\"."});
  }
  Result<Configuration> parsed = ParseConfiguration(json::serialize(*configuration));
  if (!parsed) {
    return tl::make_unexpected(parsed.error());
  }
  row.configuration = std::make_shared<const Configuration>(std::move(*parsed));
  JsonValidationErrors faults;
  JsonObjectReader reader(*document, "", faults);
  for (JsonObjectReader& change : reader.OptionalObjects("changes")) {
    row.changes.push_back(
        {.version = static_cast<std::uint64_t>(change.OptionalInteger("version", 0, 0, INT64_MAX)),
         .change_id = change.RequiredString("change_id"),
         .names = change.OptionalStrings("names")});
  }
  if (!faults.empty()) {
    return tl::make_unexpected(faults.ToError());
  }
  return row;
}

std::string PrintConfigurationRow(const ConfigurationRow& row) {
  json::array changes;
  for (const ConfigChangeRecord& change : row.changes) {
    json::array names(change.names.begin(), change.names.end());
    changes.emplace_back(json::object{
        {"version", change.version}, {"change_id", change.change_id}, {"names", std::move(names)}});
  }
  return json::serialize(
      json::object{{"changes", std::move(changes)},
                   {"configuration", json::parse(PrintConfiguration(*row.configuration))}});
}

ConfigChange::ConfigChange(Configuration wanted, std::uint64_t expected_version,
                           std::string change_id, TimePoint deadline)
    : wanted_(std::move(wanted)),
      expected_version_(expected_version),
      change_id_(std::move(change_id)),
      deadline_(deadline) {}

ConfigChange::Step ConfigChange::Accepted(std::uint64_t version,
                                          std::shared_ptr<const Configuration> current) const {
  return ConfigChangeOutcome{
      .kind = Kind::kAccepted, .version = version, .current = std::move(current)};
}

ConfigChange::Step ConfigChange::WaitOrGiveUp(TimePoint now) const {
  if (!pending_) {
    return ConfigChangeOutcome{.kind = Kind::kNotApplied};
  }
  if (now >= deadline_) {
    return ConfigChangeOutcome{.kind = Kind::kUnknown};
  }
  return Wait{kRetryDelay};
}

ConfigChange::Step ConfigChange::OnRead(const provider::ReadResult& result, TimePoint now) {
  if (!result) {
    return WaitOrGiveUp(now);
  }
  const Result<ConfigurationRow> row = ParseConfigurationRow(result->value);
  if (!row) {
    return WaitOrGiveUp(now);
  }
  const auto ours = std::find_if(
      row->changes.begin(), row->changes.end(),
      [this](const ConfigChangeRecord& change) { return change.change_id == change_id_; });
  if (ours != row->changes.end()) {
    return Accepted(ours->version, row->configuration);
  }
  if (pending_ && *pending_ != result->version) {
    // The row has moved on without our change, so the condition of the lost write can't hold.
    pending_.reset();
  }
  if (row->configuration->version != expected_version_) {
    return ConfigChangeOutcome{.kind = Kind::kConflict,
                               .version = row->configuration->version,
                               .changed = NamesSince(*row, expected_version_),
                               .current = row->configuration};
  }
  if (now >= deadline_) {
    return WaitOrGiveUp(now);
  }
  ConfigurationRow next = {.changes = row->changes};
  wanted_.version = expected_version_ + 1;
  sent_ = std::make_shared<const Configuration>(wanted_);
  next.configuration = sent_;
  next.changes.push_back({.version = wanted_.version,
                          .change_id = change_id_,
                          .names = Shorten(ChangedNames(*row->configuration, wanted_))});
  if (next.changes.size() > kChangesKept) {
    next.changes.erase(next.changes.begin());
  }
  sent_under_ = result->version;
  return CommitRows{{.conditions = {{kConfigurationRow, result->version}},
                     .writes = {{kConfigurationRow, PrintConfigurationRow(next)},
                                {kConfigurationVersionRow, fmt::to_string(wanted_.version)}}}};
}

ConfigChange::Step ConfigChange::OnCommit(provider::CommitStatus status, TimePoint now) {
  switch (status) {
    case provider::CommitStatus::kCommitted:
      return Accepted(sent_->version, sent_);
    case provider::CommitStatus::kConflict:
      // An earlier attempt of ours or somebody else's change: the row tells.
      return now >= deadline_ ? WaitOrGiveUp(now) : Step(ReadRow{});
    case provider::CommitStatus::kUnavailable:
      return WaitOrGiveUp(now);
    case provider::CommitStatus::kUnknown:
      pending_ = sent_under_;
      return WaitOrGiveUp(now);
  }
  return WaitOrGiveUp(now);
}

}  // namespace savoryglade
