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
  // Dispatch is allowed for this long after the first insert was begun.
  Duration dispatch_limit = 5s;
  // A table operation without a result counts as one with an unknown result after this time.
  Duration table_timeout = 1s;
  // A question to the owner of a claim is repeated at this interval.
  Duration query_interval = 500ms;
  // An owner that answers no question for this long counts as out of reach.
  Duration owner_timeout = 3s;
  // A sending waits this long for the answer of a run at another daemon.
  Duration running_timeout = 60s;
  // Release and completion writes are repeated at this interval.
  Duration rewrite_interval = 2s;
  // Claims held, including those whose release or completion is not yet written.
  std::size_t max_claims = 65536;
  // Bytes of a stored answer; beyond that only status and digest are stored.
  std::size_t max_answer = 16 * 1024;
  // Bytes of all answers that wait for their completion write.
  std::size_t max_answer_bytes = 32 * 1024 * 1024;
};

// State machine of the claims of one daemon process: at most one run for each key in the fleet.
// Holds no socket and no clock: each call returns the writes, reads, messages and outcomes that it
// wants, and their results come as later calls. Results and messages may be late, repeated,
// reordered or missing. Not safe to use from several threads: the daemon holds its lock.
class ClaimLedger {
 public:
  ClaimLedger(ClaimOwner owner, ClaimLedgerOptions options)
      : owner_(std::move(owner)), options_(options) {}

  // Takes one sending. It ends with exactly one outcome, or with Cancel.
  ClaimActions Acquire(const ClaimRequest& request, TimePoint now);

  // Marks the claim as dispatched and returns true; the first byte may then be handed over. Returns
  // false if the claim is not held or its dispatch deadline has passed; the actions then hold the
  // outcome.
  bool BeginDispatch(ClaimSubmissionId submission_id, TimePoint now, ClaimActions* actions);

  // Takes the complete answer of the upstream to a dispatched claim.
  ClaimActions OnCompleted(ClaimSubmissionId submission_id, int status, std::string body,
                           TimePoint now);

  // Ends a dispatched claim whose upstream was lost.
  ClaimActions OnUpstreamLost(ClaimSubmissionId submission_id, TimePoint now);

  // Ends a dispatched claim whose upstream stated that it did not run the request.
  ClaimActions OnReportedNotRun(ClaimSubmissionId submission_id, TimePoint now);

  // Ends a sending whose caller has gone. An undispatched claim without other sendings is released.
  ClaimActions Cancel(ClaimSubmissionId submission_id, TimePoint now);

  // Ends a sending that the daemon does not dispatch, e.g. because no upstream is reachable, with a
  // verdict for its caller. "Not run" becomes "may have run" if another sending of the request may
  // be alive.
  ClaimActions GiveUp(ClaimSubmissionId submission_id, Verdict verdict, TimePoint now);

  ClaimActions OnWriteResult(std::uint64_t id, TableStatus status, TimePoint now);

  // Takes the result of a read. The status is kCommitted if `row` is what the table holds.
  ClaimActions OnReadResult(std::uint64_t id, TableStatus status,
                            const std::optional<ClaimRow>& row, TimePoint now);

  ClaimActions OnQuery(const ClaimQuery& query, TimePoint now);
  ClaimActions OnReply(const ClaimReply& reply, TimePoint now);

  // Ends the questions to a daemon that the failure detector has declared dead.
  ClaimActions OnDaemonGone(const DaemonId& daemon, TimePoint now);

  // Handles what has run into a time limit. To be called at least every 100 ms.
  ClaimActions Tick(TimePoint now);

  // Claims held, including those whose release or completion is not yet written.
  std::size_t size() const { return entries_.size() + releases_.size(); }

 private:
  enum class Phase : std::uint8_t { kWriting, kReading, kAsking, kHeld, kDispatched, kEnded };

  struct Sending {
    ClaimSubmissionId submission_id = 0;
    bool resend = false;
  };

  // The live claim on one key.
  struct Entry {
    Phase phase = Phase::kWriting;
    Sha256Digest body{};
    std::vector<Sending> sendings;
    // Sequence numbers of the tokens of its writes, any of which may be in the row.
    std::set<std::uint64_t> tokens;
    // Token that is in the row, once the claim is held.
    std::uint64_t held = 0;
    ClaimSubmissionId dispatched_ticket = 0;
    // Id of the write, read or question that is waited for, and when it counts as lost.
    std::uint64_t pending = 0;
    TimePoint pending_until;
    TimePoint dispatch_until;
    // Claim of another daemon that is asked about.
    ClaimToken asked;
    TimePoint owner_silent_after;
    TimePoint give_up;
    // The row was seen in the hand of another claim whose history is not known.
    bool contested = false;
    // The row belongs to another body.
    bool reused = false;
    ClaimState end = ClaimState::kClaimed;
    StoredAnswer answer;
  };

  // Delete of a voided token that may be in the row.
  struct Release {
    ClaimKey key;
    TimePoint next;
    std::uint64_t pending = 0;
    int absences = 0;
  };

  // What a result belongs to: the entry of a key or, if not zero, the release of a token.
  struct Pending {
    ClaimKey key;
    std::uint64_t release = 0;
  };

  using Entries = std::map<ClaimKey, Entry>;

  ClaimToken TokenOf(std::uint64_t sequence) const { return {owner_, sequence}; }
  Entry* FindByTicket(ClaimSubmissionId submission_id, Entries::iterator* position);
  std::uint64_t NewPending(Entry& entry, const ClaimKey& key, Duration timeout, TimePoint now);
  void Insert(const ClaimKey& key, Entry& entry, const std::optional<ClaimToken>& expected,
              TimePoint now, ClaimActions* actions);
  void Read(const ClaimKey& key, Entry& entry, TimePoint now, ClaimActions* actions);
  void Ask(const ClaimKey& key, Entry& entry, TimePoint now, ClaimActions* actions);
  void Hold(Entry& entry, ClaimActions* actions);
  void HandleRow(Entries::iterator position, const std::optional<ClaimRow>& row, TimePoint now,
                 ClaimActions* actions);
  void TickEntry(Entries::iterator position, TimePoint now, ClaimActions* actions);
  // Ends a claim that was not dispatched, for ever, and releases those of its tokens that may be in
  // the row.
  void Void(Entries::iterator position, Verdict verdict, Duration release_delay, TimePoint now,
            ClaimActions* actions);
  void Close(Entries::iterator position, const std::variant<StoredAnswer, Verdict>& result,
             Duration release_delay, TimePoint now, ClaimActions* actions);
  void WriteEnd(const ClaimKey& key, Entry& entry, TimePoint now, ClaimActions* actions);
  void Finish(Entry& entry, const std::variant<StoredAnswer, Verdict>& result,
              ClaimActions* actions);
  void WriteRelease(std::uint64_t sequence, Release& release, TimePoint now, ClaimActions* actions);
  void Forget(Entries::iterator position);

  ClaimOwner owner_;
  ClaimLedgerOptions options_;
  std::uint64_t next_sequence_ = 1;
  std::uint64_t next_id_ = 1;
  Entries entries_;
  std::map<ClaimSubmissionId, ClaimKey> tickets_;
  std::map<std::uint64_t, Release> releases_;
  std::map<std::uint64_t, Pending> pending_;
  std::size_t answer_bytes_ = 0;
};

}  // namespace savoryglade
