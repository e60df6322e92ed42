#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/error.h"

namespace savoryglade::provider {

// Value of a row and the version that the table gave it. Versions rise over the whole table, so a
// row that is deleted and inserted again never has an earlier version. Version 0 means that there
// is no row.
struct Row {
  std::string value;
  std::uint64_t version = 0;

  bool exists() const { return version != 0; }
  friend bool operator==(const Row&, const Row&) = default;
};

// The row must have this version when the transaction commits; 0 means that it must not exist.
struct RowCondition {
  std::string key;
  std::uint64_t version = 0;

  friend bool operator==(const RowCondition&, const RowCondition&) = default;
};

// New value of a row, or nothing to delete it.
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

// Outcome of a transaction. kConflict and kUnavailable promise that this attempt had no effect and
// will have none. After kUnknown it may have taken effect or may still do so.
enum class CommitStatus : std::uint8_t { kCommitted, kConflict, kUnavailable, kUnknown };

// Row that was read, without a row of that key an empty one with version 0. The error code is
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
