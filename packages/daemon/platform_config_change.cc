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

constexpr std::size_t kMaxRecordedChanges = 64;
constexpr std::size_t kMaxRecordedNames = 32;
constexpr Duration kRetryDelay = 200ms;

std::vector<std::string> TruncateNames(std::vector<std::string> names) {
  if (names.size() > kMaxRecordedNames) {
    const std::size_t others = names.size() - kMaxRecordedNames;
    names.resize(kMaxRecordedNames);
    names.push_back(fmt::format("{} others", others));
  }
  return names;
}

// Returns the names of the objects that changed after a version, each once.
std::vector<std::string> ChangedNamesSince(const ConfigurationRow& row, std::uint64_t version) {
  std::set<std::string> names;
  for (const ConfigChangeRecord& change : row.changes) {
    if (change.version > version) {
      names.insert(change.names.begin(), change.names.end());
    }
  }
  return TruncateNames({names.begin(), names.end()});
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
  JsonValidationErrors errors;
  JsonObjectReader reader(*document, "", errors);
  for (JsonObjectReader& change : reader.OptionalObjects("changes")) {
    row.changes.push_back(
        {.version = static_cast<std::uint64_t>(change.OptionalInteger("version", 0, 0, INT64_MAX)),
         .change_id = change.RequiredString("change_id"),
         .names = change.OptionalStrings("names")});
  }
  if (!errors.empty()) {
    return tl::make_unexpected(errors.ToError());
  }
  return row;
}

std::string FormatConfigurationRow(const ConfigurationRow& row) {
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

ConfigChange::ConfigChange(Configuration requested, std::uint64_t expected_version,
                           std::string change_id, TimePoint deadline)
    : requested_(std::move(requested)),
      expected_version_(expected_version),
      change_id_(std::move(change_id)),
      deadline_(deadline) {}

ConfigChange::Step ConfigChange::MakeAccepted(std::uint64_t version,
                                              std::shared_ptr<const Configuration> current) const {
  return ConfigChangeOutcome{
      .kind = Kind::kAccepted, .version = version, .current = std::move(current)};
}

ConfigChange::Step ConfigChange::WaitOrFinish(TimePoint now) const {
  if (!pending_row_version_) {
    return ConfigChangeOutcome{.kind = Kind::kNotApplied};
  }
  if (now >= deadline_) {
    return ConfigChangeOutcome{.kind = Kind::kUnknown};
  }
  return Wait{kRetryDelay};
}

ConfigChange::Step ConfigChange::OnRead(const provider::ReadResult& result, TimePoint now) {
  if (!result) {
    return WaitOrFinish(now);
  }
  const Result<ConfigurationRow> row = ParseConfigurationRow(result->value);
  if (!row) {
    return WaitOrFinish(now);
  }
  const auto own_change = std::find_if(
      row->changes.begin(), row->changes.end(),
      [this](const ConfigChangeRecord& change) { return change.change_id == change_id_; });
  if (own_change != row->changes.end()) {
    return MakeAccepted(own_change->version, row->configuration);
  }
  if (pending_row_version_ && *pending_row_version_ != result->version) {
    // The row changed and its log lacks this change, so the condition of the lost write can't hold
    // any more.
    pending_row_version_.reset();
  }
  if (row->configuration->version != expected_version_) {
    return ConfigChangeOutcome{.kind = Kind::kConflict,
                               .version = row->configuration->version,
                               .changed_names = ChangedNamesSince(*row, expected_version_),
                               .current = row->configuration};
  }
  if (now >= deadline_) {
    return WaitOrFinish(now);
  }
  ConfigurationRow next_row = {.changes = row->changes};
  requested_.version = expected_version_ + 1;
  sent_configuration_ = std::make_shared<const Configuration>(requested_);
  next_row.configuration = sent_configuration_;
  next_row.changes.push_back(
      {.version = requested_.version,
       .change_id = change_id_,
       .names = TruncateNames(ChangedNames(*row->configuration, requested_))});
  if (next_row.changes.size() > kMaxRecordedChanges) {
    next_row.changes.erase(next_row.changes.begin());
  }
  sent_row_version_ = result->version;
  return CommitRows{
      {.conditions = {{kConfigurationRowKey, result->version}},
       .writes = {{kConfigurationRowKey, FormatConfigurationRow(next_row)},
                  {kConfigurationVersionRowKey, fmt::to_string(requested_.version)}}}};
}

ConfigChange::Step ConfigChange::OnCommit(provider::CommitStatus status, TimePoint now) {
  switch (status) {
    case provider::CommitStatus::kCommitted:
      return MakeAccepted(sent_configuration_->version, sent_configuration_);
    case provider::CommitStatus::kConflict:
      // Either an earlier attempt of this change or another change succeeded. Reading the row tells
      // which.
      return now >= deadline_ ? WaitOrFinish(now) : Step(ReadRow{});
    case provider::CommitStatus::kUnavailable:
      return WaitOrFinish(now);
    case provider::CommitStatus::kUnknown:
      pending_row_version_ = sent_row_version_;
      return WaitOrFinish(now);
  }
  return WaitOrFinish(now);
}

}  // namespace savoryglade
