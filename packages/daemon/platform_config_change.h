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

// Row with the configuration, the row with its version alone, which daemons poll.
inline constexpr char kConfigurationRow[] = "config/current";
inline constexpr char kConfigurationVersionRow[] = "config/version";

// One accepted change in the log that the configuration row carries.
struct ConfigChangeRecord {
  std::uint64_t version = 0;
  // Unique for each write, so that a write whose answer was lost can be found again.
  std::string change_id;
  // Names of what changed, e.g. "upstreams.assistant-1"; at most 32, then the number of the others.
  std::vector<std::string> names;

  friend bool operator==(const ConfigChangeRecord&, const ConfigChangeRecord&) = default;
};

// Content of the configuration row.
struct ConfigurationRow {
  std::shared_ptr<const Configuration> configuration = std::make_shared<const Configuration>();
  // The last 64 changes, oldest first.
  std::vector<ConfigChangeRecord> changes;
};

// Parses the value of the configuration row; an empty text is the row that does not exist yet.
Result<ConfigurationRow> ParseConfigurationRow(const std::string& text);
std::string PrintConfigurationRow(const ConfigurationRow& row);

// How a change ended. kNotApplied promises that it has no effect and will have none.
struct ConfigChangeOutcome {
  enum class Kind : std::uint8_t { kAccepted, kConflict, kNotApplied, kUnknown };

  Kind kind = Kind::kNotApplied;
  // Version of the accepted change, or the version in the table that it conflicts with.
  std::uint64_t version = 0;
  // What others changed since the version that the operator started from.
  std::vector<std::string> changed;
  // Configuration in the table, if it was seen.
  std::shared_ptr<const Configuration> current;
};

// Carries one operator's change into the table. Returns the operations that it wants as values and
// gets their results as later calls, so that it runs on any clock.
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

  // The change is given up as unknown at the deadline if a write may still take effect.
  ConfigChange(Configuration wanted, std::uint64_t expected_version, std::string change_id,
               TimePoint deadline);

  static Step Start() { return ReadRow{}; }
  Step OnRead(const provider::ReadResult& result, TimePoint now);
  Step OnCommit(provider::CommitStatus status, TimePoint now);
  static Step OnWaited() { return ReadRow{}; }

 private:
  Step WaitOrGiveUp(TimePoint now) const;
  Step Accepted(std::uint64_t version, std::shared_ptr<const Configuration> current) const;

  Configuration wanted_;
  std::uint64_t expected_version_;
  std::string change_id_;
  TimePoint deadline_;
  // Version of the row under which a write was sent that may still take effect.
  std::optional<std::uint64_t> pending_;
  std::uint64_t sent_under_ = 0;
  std::shared_ptr<const Configuration> sent_;
};

}  // namespace savoryglade
