#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "recovery/claim_committer.h"
#include "recovery/claim_types.h"

namespace savoryglade {

// In-memory table with conditional writes of claim rows. Either all writes of a transaction take
// effect or none.
class FakeClaimTable {
 public:
  // Applies the transaction and returns the rows whose condition failed, or nothing if it took
  // effect.
  std::set<ClaimKey> Apply(const std::vector<ClaimWrite>& writes) {
    std::set<ClaimKey> conflicts;
    for (const ClaimWrite& write : writes) {
      const auto row = rows_.find(write.key);
      const bool holds = write.expected
                             ? row != rows_.end() && row->second.state == ClaimState::kClaimed &&
                                   row->second.token == *write.expected
                             : row == rows_.end();
      if (!holds) {
        conflicts.insert(write.key);
      }
    }
    if (!conflicts.empty()) {
      return conflicts;
    }
    for (const ClaimWrite& write : writes) {
      if (write.row) {
        rows_[write.key] = *write.row;
      } else {
        rows_.erase(write.key);
      }
    }
    return conflicts;
  }

  std::optional<ClaimRow> Read(const ClaimKey& key) const {
    const auto row = rows_.find(key);
    return row == rows_.end() ? std::nullopt : std::optional(row->second);
  }

 private:
  std::map<ClaimKey, ClaimRow> rows_;
};

inline ClaimKey TestClaimKey(const std::string& key) {
  return {AccountId("trattoria"), ServiceId("orders"), RequestKey(key)};
}

}  // namespace savoryglade
