#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/strong_id.h"
#include "core/time.h"
#include "core/verdict.h"
#include "recovery/sha256_digest.h"

namespace savoryglade {

// Number of one sending of a request inside one daemon, unique while the daemon runs.
using ClaimSubmissionId = std::uint64_t;

// Identity of a claim over all sendings of one request.
struct ClaimKey {
  AccountId account;
  ServiceId service;
  RequestKey key;

  friend auto operator<=>(const ClaimKey&, const ClaimKey&) = default;
};

// Process that made a claim. The nonce is drawn at its start: a clock that was set back can repeat
// an incarnation, and a process must never answer for the claims of its predecessor.
struct ClaimOwner {
  DaemonId daemon;
  std::uint64_t incarnation = 0;
  std::uint64_t nonce = 0;

  friend auto operator<=>(const ClaimOwner&, const ClaimOwner&) = default;
};

// Names one claim. A token is used for one table write and never again.
struct ClaimToken {
  ClaimOwner owner;
  std::uint64_t sequence = 0;

  friend auto operator<=>(const ClaimToken&, const ClaimToken&) = default;
};

// Answer of an upstream as the table keeps it. A body over the limit is replaced by its digest.
struct StoredAnswer {
  int status = 0;
  std::string body;
  Sha256Digest digest{};
  bool has_body = false;

  friend auto operator<=>(const StoredAnswer&, const StoredAnswer&) = default;
};

// kUncertain is the end of a dispatched request that lost its upstream: it may have run.
enum class ClaimState : std::uint8_t { kClaimed, kDone, kUncertain };

// Row `claim/<account>/<service>/<key>` of the table. The table removes it after 24 h.
struct ClaimRow {
  ClaimToken token;
  ClaimState state = ClaimState::kClaimed;
  Sha256Digest body{};
  StoredAnswer answer;

  friend auto operator<=>(const ClaimRow&, const ClaimRow&) = default;
};

// Conditional write of one row. The row must be absent if `expected` is empty; otherwise it must be
// in the state kClaimed with that token. Without a row to write, the row is deleted.
struct ClaimWrite {
  std::uint64_t id = 0;
  ClaimKey key;
  std::optional<ClaimToken> expected;
  std::optional<ClaimRow> row;

  friend auto operator<=>(const ClaimWrite&, const ClaimWrite&) = default;
};

// Result of a table operation. kUnavailable means that a write took no effect and never will;
// kUnknown means that it may have taken effect or may still do so.
enum class TableStatus : std::uint8_t { kCommitted, kConflict, kUnavailable, kUnknown };

// Wanted read of one row.
struct ClaimRead {
  std::uint64_t id = 0;
  ClaimKey key;
};

// Question to the owner of a claim.
struct ClaimQuery {
  std::uint64_t id = 0;
  DaemonId requester;
  ClaimKey key;
  ClaimToken token;
};

// What the owner of a claim says of it. kVoid is a promise: the claim was not dispatched and never
// will be.
enum class ClaimReplyKind : std::uint8_t { kVoid, kRunning, kDone, kUncertain, kOwnerGone };

struct ClaimReply {
  std::uint64_t id = 0;
  DaemonId requester;
  ClaimKey key;
  ClaimToken token;
  ClaimReplyKind kind = ClaimReplyKind::kVoid;
  StoredAnswer answer;
};

// One sending of a may-not-repeat request. `resend` says that the outcome of an earlier sending
// with this key is unknown to its caller.
struct ClaimRequest {
  ClaimSubmissionId submission_id = 0;
  ClaimKey key;
  Sha256Digest body{};
  bool resend = false;
};

// Final outcome of one sending: the stored answer of the one run, or a verdict.
struct ClaimOutcome {
  ClaimSubmissionId submission_id = 0;
  std::variant<StoredAnswer, Verdict> result;
};

// What the ledger wants done after a call. `ready` names sendings whose claim is held; the daemon
// calls BeginDispatch for them directly before the first byte.
struct ClaimActions {
  std::vector<ClaimWrite> writes;
  std::vector<ClaimRead> reads;
  std::vector<ClaimQuery> queries;
  std::vector<ClaimReply> replies;
  std::vector<ClaimSubmissionId> ready;
  std::vector<ClaimOutcome> outcomes;
};

}  // namespace savoryglade
