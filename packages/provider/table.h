#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/error.h"

namespace savoryglade::provider {

// Value of a row and the version that the table assigned to it. Versions increase over the whole
// table, so a row that is deleted and inserted again never gets an earlier version. Version 0 means
// that the row does not exist.
struct Row {
  std::string value;
  std::uint64_t version = 0;

  bool exists() const { return version != 0; }
  friend bool operator==(const Row&, const Row&) = default;
};

// Condition that a row has this version when the transaction commits; 0 means that it must not
// exist.
struct RowCondition {
  std::string key;
  std::uint64_t version = 0;

  friend bool operator==(const RowCondition&, const RowCondition&) = default;
};

// Write of a new value to a row, or deletion of the row if there is no value.
struct RowWrite {
  std::string key;
  std::optional<std::string> value;

  friend bool operator==(const RowWrite&, const RowWrite&) = default;
};

// Writes that take effect together if all conditions hold, and not at all otherwise.
struct Transaction {
  std::vector<RowCondition> conditions;
  std::vector<RowWrite> writes;

  friend bool operator==(const Transaction&, const Transaction&) = default;
};

// Outcome of a transaction. kConflict and kUnavailable guarantee that this attempt had no effect
// and will have none. After kUnknown it may have taken effect or may still do so.
enum class CommitStatus : std::uint8_t { kCommitted, kConflict, kUnavailable, kUnknown };

// Row that was read, or an empty row with version 0 if the row does not exist. The error code is
// kUnavailable or kTimeout.
using ReadResult = Result<Row>;
using ReadCallback = std::function<void(ReadResult)>;
using CommitCallback = std::function<void(CommitStatus)>;

// Transactional table service of the platform. Each callback is called once, possibly before the
// call returns.
class Table {
 public:
  virtual ~Table() = default;

  virtual void Read(const std::string& key, ReadCallback callback) = 0;
  virtual void Commit(const Transaction& transaction, CommitCallback callback) = 0;
};

}  // namespace savoryglade::provider
