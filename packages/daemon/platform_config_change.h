#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "config/configuration.h"
#include "core/time.h"
#include "provider/table.h"

namespace savoryglade {

// Table keys of the row with the configuration, and of the row with only its version, which daemons
// poll.
inline constexpr char kConfigurationRowKey[] = "config/current";
inline constexpr char kConfigurationVersionRowKey[] = "config/version";

// One accepted change in the change log of the configuration row.
struct ConfigChangeRecord {
  std::uint64_t version = 0;
  // Unique for each change, so that a write whose response was lost can be found in the log.
  std::string change_id;
  // Names of the changed objects, e.g. "upstreams.assistant-1"; at most 32, then the number of the
  // others.
  std::vector<std::string> names;

  friend bool operator==(const ConfigChangeRecord&, const ConfigChangeRecord&) = default;
};

// Content of the configuration row.
struct ConfigurationRow {
  std::shared_ptr<const Configuration> configuration = std::make_shared<const Configuration>();
  // The last 64 changes, oldest first.
  std::vector<ConfigChangeRecord> changes;
};

// Parses the value of the configuration row. An empty text stands for a row that does not exist
// yet.
Result<ConfigurationRow> ParseConfigurationRow(const std::string& text);
std::string FormatConfigurationRow(const ConfigurationRow& row);

// Outcome of a change. kNotApplied guarantees that the change has not taken effect and never will.
struct ConfigChangeOutcome {
  enum class Kind : std::uint8_t { kAccepted, kConflict, kNotApplied, kUnknown };

  Kind kind = Kind::kNotApplied;
  // Version of the accepted change, or the version in the table that it conflicts with.
  std::uint64_t version = 0;
  // Names of the objects that others changed since the version that this change is based on.
  std::vector<std::string> changed_names;
  // Configuration in the table, or null if it was not read.
  std::shared_ptr<const Configuration> current;
};

// State machine that writes one operator's change to the table. Returns the operations to perform
// as values and receives their results in later calls, so that it runs on any clock.
class ConfigChange {
 public:
  struct ReadRow {};
  struct CommitRows {
    provider::Transaction transaction;
  };
  struct Wait {
    Duration duration;
  };
  using Step = std::variant<ReadRow, CommitRows, Wait, ConfigChangeOutcome>;

  // At the deadline the outcome is kUnknown if a write may still take effect.
  ConfigChange(Configuration requested, std::uint64_t expected_version, std::string change_id,
               TimePoint deadline);

  static Step Start() { return ReadRow{}; }
  Step OnRead(const provider::ReadResult& result, TimePoint now);
  Step OnCommit(provider::CommitStatus status, TimePoint now);
  static Step OnWaitElapsed() { return ReadRow{}; }

 private:
  Step WaitOrFinish(TimePoint now) const;
  Step MakeAccepted(std::uint64_t version, std::shared_ptr<const Configuration> current) const;

  Configuration requested_;
  std::uint64_t expected_version_;
  std::string change_id_;
  TimePoint deadline_;
  // Row version that a write which may still take effect is conditioned on; empty if there is none.
  std::optional<std::uint64_t> pending_row_version_;
  // Row version that the latest write is conditioned on, and the configuration in that write.
  std::uint64_t sent_row_version_ = 0;
  std::shared_ptr<const Configuration> sent_configuration_;
};

}  // namespace savoryglade
