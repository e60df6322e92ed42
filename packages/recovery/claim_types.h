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

// Identifies one submission of a request within a daemon process. Unique for the lifetime of the
// process.
using ClaimSubmissionId = std::uint64_t;

// Idempotency key of a request. All submissions of one request share it.
struct ClaimKey {
  AccountId account;
  ServiceId service;
  RequestKey key;

  friend auto operator<=>(const ClaimKey&, const ClaimKey&) = default;
};

// Daemon process that owns a claim. The nonce is drawn at process start: after the clock was set
// back, a restarted process can have the incarnation of its predecessor, and it must not answer
// queries about the predecessor's claims.
struct ClaimOwner {
  DaemonId daemon;
  std::uint64_t incarnation = 0;
  std::uint64_t nonce = 0;

  friend auto operator<=>(const ClaimOwner&, const ClaimOwner&) = default;
};

// Identifies one claim. Each token is used for a single table write and never reused.
struct ClaimToken {
  ClaimOwner owner;
  std::uint64_t sequence = 0;

  friend auto operator<=>(const ClaimToken&, const ClaimToken&) = default;
};

// Response of an upstream as stored in the table. A body over the size limit is replaced by its
// digest.
struct StoredAnswer {
  int status = 0;
  std::string body;
  Sha256Digest digest{};
  bool has_body = false;

  friend auto operator<=>(const StoredAnswer&, const StoredAnswer&) = default;
};

// State of a claim row. kUncertain means that the upstream was lost after the dispatch, so the
// request may have run.
enum class ClaimState : std::uint8_t { kClaimed, kDone, kUncertain };

// Row `claim/<account>/<service>/<key>` of the table. The table deletes it after 24 h.
struct ClaimRow {
  ClaimToken token;
  ClaimState state = ClaimState::kClaimed;
  Sha256Digest body{};
  StoredAnswer answer;

  friend auto operator<=>(const ClaimRow&, const ClaimRow&) = default;
};

// Conditional write of one row. If `expected` is empty, the row must be absent; otherwise the row
// must be in state kClaimed with that token. If `row` is empty, the row is deleted.
struct ClaimWrite {
  std::uint64_t id = 0;
  ClaimKey key;
  std::optional<ClaimToken> expected;
  std::optional<ClaimRow> row;

  friend auto operator<=>(const ClaimWrite&, const ClaimWrite&) = default;
};

// Result of a table operation. kUnavailable means that a write did not take effect and never will;
// kUnknown means that it may have taken effect or may still do so.
enum class TableStatus : std::uint8_t { kCommitted, kConflict, kUnavailable, kUnknown };

// Read request for one row.
struct ClaimRead {
  std::uint64_t id = 0;
  ClaimKey key;
};

// Query to the owner of a claim about the claim's state.
struct ClaimQuery {
  std::uint64_t id = 0;
  DaemonId requester;
  ClaimKey key;
  ClaimToken token;
};

// State of a claim as reported by its owner. kVoid guarantees that the claim was not dispatched and
// never will be. kOwnerGone means that the daemon has restarted since it made the claim.
enum class ClaimReplyKind : std::uint8_t { kVoid, kRunning, kDone, kUncertain, kOwnerGone };

struct ClaimReply {
  std::uint64_t id = 0;
  DaemonId requester;
  ClaimKey key;
  ClaimToken token;
  ClaimReplyKind kind = ClaimReplyKind::kVoid;
  StoredAnswer answer;
};

// Request to acquire a claim for one submission of a may-not-repeat request. `resend` is set if the
// caller does not know the outcome of an earlier submission with this key.
struct ClaimRequest {
  ClaimSubmissionId submission_id = 0;
  ClaimKey key;
  Sha256Digest body{};
  bool resend = false;
};

// Final outcome of one submission: the stored answer of the single run, or a verdict.
struct ClaimOutcome {
  ClaimSubmissionId submission_id = 0;
  std::variant<StoredAnswer, Verdict> result;
};

// Operations that the caller must perform after a ledger call. `ready` lists submissions whose
// claim is held; the daemon calls BeginDispatch for each of them immediately before it sends the
// first byte.
struct ClaimActions {
  std::vector<ClaimWrite> writes;
  std::vector<ClaimRead> reads;
  std::vector<ClaimQuery> queries;
  std::vector<ClaimReply> replies;
  std::vector<ClaimSubmissionId> ready;
  std::vector<ClaimOutcome> outcomes;
};

}  // namespace savoryglade
