#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "recovery/claim_types.h"

namespace savoryglade {

struct ClaimLedgerOptions {
  // A held claim may be dispatched until this time after its first insert was issued.
  Duration dispatch_timeout = 5s;
  // A table operation without a result after this time is treated as kUnknown.
  Duration table_timeout = 1s;
  // Interval at which a query to the owner of a claim is repeated.
  Duration query_interval = 500ms;
  // An owner that has not replied for this time is considered unreachable.
  Duration owner_timeout = 3s;
  // Maximum time that a submission waits for the answer of a run at another daemon.
  Duration remote_run_timeout = 60s;
  // Interval at which release and completion writes are retried.
  Duration write_retry_interval = 2s;
  // Maximum number of claims, including those whose release or completion is not yet written.
  std::size_t max_claims = 65536;
  // Maximum size of a stored response body. For a larger body only the status and the digest are
  // stored.
  std::size_t max_answer_body_bytes = 16 * 1024;
  // Maximum total size of the response bodies that wait for their completion write.
  std::size_t max_total_answer_bytes = 32 * 1024 * 1024;
};

// State machine for the claims of one daemon process. Ensures that each key runs at most once in
// the fleet. Uses no sockets and no clock: each call returns the writes, reads, messages and
// outcomes to perform, and their results are passed in through later calls. Results and messages
// may be delayed, duplicated, reordered or lost. Not thread-safe: the daemon calls it under its own
// lock.
class ClaimLedger {
 public:
  ClaimLedger(ClaimOwner owner, ClaimLedgerOptions options)
      : owner_(std::move(owner)), options_(options) {}

  // Starts to acquire a claim for one submission. The submission ends with exactly one outcome, or
  // with Cancel.
  ClaimActions Acquire(const ClaimRequest& request, TimePoint now);

  // Marks the claim as dispatched and returns true; the first byte may then be sent. Returns false
  // if the claim is not held or its dispatch deadline has passed; `actions` then holds the outcome,
  // if any.
  bool BeginDispatch(ClaimSubmissionId submission_id, TimePoint now, ClaimActions* actions);

  // Records the complete response of the upstream to a dispatched claim.
  ClaimActions OnCompleted(ClaimSubmissionId submission_id, int status, std::string body,
                           TimePoint now);

  // Ends a dispatched claim whose upstream was lost.
  ClaimActions OnUpstreamLost(ClaimSubmissionId submission_id, TimePoint now);

  // Ends a dispatched claim whose upstream reported that it did not run the request.
  ClaimActions OnReportedNotRun(ClaimSubmissionId submission_id, TimePoint now);

  // Ends a submission whose caller has disconnected. Releases an undispatched claim that has no
  // other submissions.
  ClaimActions Cancel(ClaimSubmissionId submission_id, TimePoint now);

  // Ends a submission that the daemon does not dispatch, for example because no upstream is
  // reachable, and reports the verdict to its caller. kNotRun becomes kMayHaveRun if another
  // submission of the request may still be active.
  ClaimActions GiveUp(ClaimSubmissionId submission_id, Verdict verdict, TimePoint now);

  // Handles the result of a write. Results of unknown or superseded operations are ignored.
  ClaimActions OnWriteResult(std::uint64_t id, TableStatus status, TimePoint now);

  // Handles the result of a read. With status kCommitted, `row` is the content of the table.
  ClaimActions OnReadResult(std::uint64_t id, TableStatus status,
                            const std::optional<ClaimRow>& row, TimePoint now);

  // Answers a query about a claim of this daemon. A claim that is not yet dispatched is voided,
  // which allows the querying daemon to take it over.
  ClaimActions OnQuery(const ClaimQuery& query, TimePoint now);
  // Handles the reply of the owner of a queried claim.
  ClaimActions OnReply(const ClaimReply& reply, TimePoint now);

  // Ends the queries to a daemon that the failure detector has declared dead.
  ClaimActions OnDaemonDead(const DaemonId& daemon, TimePoint now);

  // Handles expired timeouts. Must be called at least every 100 ms.
  ClaimActions Tick(TimePoint now);

  // Returns the number of claims, including those whose release or completion is not yet written.
  std::size_t size() const { return entries_.size() + releases_.size(); }

 private:
  enum class Phase : std::uint8_t {
    kWriting,
    kReading,
    kQueryingOwner,
    kHeld,
    kDispatched,
    kEnded
  };

  struct Submission {
    ClaimSubmissionId submission_id = 0;
    bool resend = false;
  };

  // Active claim on one key.
  struct Entry {
    Phase phase = Phase::kWriting;
    Sha256Digest body{};
    std::vector<Submission> submissions;
    // Sequence numbers of the tokens that were written for this claim. The row may hold any of
    // them.
    std::set<std::uint64_t> token_sequences;
    // Sequence number of the token in the row. Set once the claim is held.
    std::uint64_t held_sequence = 0;
    ClaimSubmissionId dispatched_submission_id = 0;
    // Id of the pending write, read or query, and when it is treated as lost.
    std::uint64_t operation_id = 0;
    TimePoint operation_deadline;
    TimePoint dispatch_deadline;
    // Claim of another daemon whose owner is being queried, the time at which the owner is
    // considered unreachable, and the time at which the submissions stop waiting for its answer.
    ClaimToken queried_token;
    TimePoint owner_deadline;
    TimePoint query_deadline;
    // The row was last seen to belong to another claim whose history is unknown.
    bool contested = false;
    // The row belongs to a request with a different body.
    bool key_reused = false;
    ClaimState final_state = ClaimState::kClaimed;
    StoredAnswer answer;
  };

  // Pending deletion of a voided token that may still be in the row.
  struct Release {
    ClaimKey key;
    TimePoint next_write_at;
    std::uint64_t operation_id = 0;
    int absent_results = 0;
  };

  // Target of an operation result: the entry of a key or, if `released_sequence` is not zero, the
  // release of that token.
  struct PendingOperation {
    ClaimKey key;
    std::uint64_t released_sequence = 0;
  };

  using Entries = std::map<ClaimKey, Entry>;

  ClaimToken MakeToken(std::uint64_t sequence) const { return {owner_, sequence}; }
  Entry* FindBySubmission(ClaimSubmissionId submission_id, Entries::iterator* position);
  std::uint64_t StartOperation(Entry& entry, const ClaimKey& key, Duration timeout, TimePoint now);
  // Writes a new token if the row is absent, or holds `expected` if that is set.
  void InsertRow(const ClaimKey& key, Entry& entry, const std::optional<ClaimToken>& expected,
                 TimePoint now, ClaimActions* actions);
  void ReadRow(const ClaimKey& key, Entry& entry, TimePoint now, ClaimActions* actions);
  void QueryOwner(const ClaimKey& key, Entry& entry, TimePoint now, ClaimActions* actions);
  void MarkHeld(Entry& entry, ClaimActions* actions);
  void HandleRow(Entries::iterator position, const std::optional<ClaimRow>& row, TimePoint now,
                 ClaimActions* actions);
  void TickEntry(Entries::iterator position, TimePoint now, ClaimActions* actions);
  // Ends a claim that was not dispatched and never will be. Releases the tokens that the row may
  // hold.
  void VoidClaim(Entries::iterator position, Verdict verdict, Duration release_delay, TimePoint now,
                 ClaimActions* actions);
  // Reports the result to all submissions and removes the claim. With a verdict, its tokens are
  // released after `release_delay`.
  void CloseClaim(Entries::iterator position, const std::variant<StoredAnswer, Verdict>& result,
                  Duration release_delay, TimePoint now, ClaimActions* actions);
  void WriteFinalState(const ClaimKey& key, Entry& entry, TimePoint now, ClaimActions* actions);
  // Reports the result to all submissions of the claim. kNotRun becomes kMayHaveRun where an
  // earlier submission may still be active.
  void ReportOutcomes(Entry& entry, const std::variant<StoredAnswer, Verdict>& result,
                      ClaimActions* actions);
  void WriteRelease(std::uint64_t sequence, Release& release, TimePoint now, ClaimActions* actions);
  void EraseEntry(Entries::iterator position);

  ClaimOwner owner_;
  ClaimLedgerOptions options_;
  std::uint64_t next_sequence_ = 1;
  std::uint64_t next_operation_id_ = 1;
  Entries entries_;
  std::map<ClaimSubmissionId, ClaimKey> keys_by_submission_;
  std::map<std::uint64_t, Release> releases_;
  std::map<std::uint64_t, PendingOperation> operations_;
  std::size_t answer_bytes_ = 0;
};

}  // namespace savoryglade
