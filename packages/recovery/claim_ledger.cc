#include "recovery/claim_ledger.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace savoryglade {
namespace {

// Retry delay for callers while the table is unavailable. Table outages last at least several
// seconds.
constexpr Duration kPlatformRetryAfter = 5s;
constexpr Duration kShortRetryAfter = 1s;
// After a takeover was granted, the release is delayed so that the new owner can write the row
// first. The release then removes the token only if the new owner did not replace it.
constexpr Duration kTakeoverReleaseDelay = 2s;
// A release whose token is absent is repeated once after this delay, because a delayed insert may
// have written the token in the meantime.
constexpr Duration kAbsentReleaseRetryDelay = 10s;
constexpr int kMaxAbsentResults = 2;

constexpr Verdict kTableUnavailable{RunState::kNotRun, Reason::kPlatformUnavailable,
                                    kPlatformRetryAfter};

}  // namespace

ClaimLedger::Entry* ClaimLedger::FindBySubmission(ClaimSubmissionId submission_id,
                                                  Entries::iterator* position) {
  const auto found = keys_by_submission_.find(submission_id);
  if (found == keys_by_submission_.end()) {
    return nullptr;
  }
  *position = entries_.find(found->second);
  return *position == entries_.end() ? nullptr : &(*position)->second;
}

ClaimActions ClaimLedger::Acquire(const ClaimRequest& request, TimePoint now) {
  ClaimActions actions;
  if (const auto found = entries_.find(request.key); found != entries_.end()) {
    Entry& entry = found->second;
    if (entry.body != request.body) {
      actions.outcomes.push_back(
          {request.submission_id, Verdict{RunState::kNotRun, Reason::kIdempotencyKeyReused}});
    } else {
      entry.submissions.push_back({request.submission_id, request.resend});
      keys_by_submission_[request.submission_id] = request.key;
      if (entry.phase == Phase::kEnded) {
        entry.final_state == ClaimState::kDone
            ? ReportOutcomes(entry, entry.answer, &actions)
            : ReportOutcomes(entry, Verdict{RunState::kMayHaveRun, Reason::kUpstreamLost},
                             &actions);
      }
    }
    return actions;
  }
  if (size() >= options_.max_claims) {
    const RunState state = request.resend ? RunState::kMayHaveRun : RunState::kNotRun;
    actions.outcomes.push_back(
        {request.submission_id, Verdict{state, Reason::kQueueFull, kShortRetryAfter}});
    return actions;
  }
  Entry& entry = entries_[request.key];
  entry.body = request.body;
  entry.submissions.push_back({request.submission_id, request.resend});
  entry.dispatch_deadline = now + options_.dispatch_timeout;
  keys_by_submission_[request.submission_id] = request.key;
  InsertRow(request.key, entry, std::nullopt, now, &actions);
  return actions;
}

bool ClaimLedger::BeginDispatch(ClaimSubmissionId submission_id, TimePoint now,
                                ClaimActions* actions) {
  Entries::iterator position;
  Entry* entry = FindBySubmission(submission_id, &position);
  if (entry == nullptr || entry->phase != Phase::kHeld) {
    return false;
  }
  if (now >= entry->dispatch_deadline) {
    VoidClaim(position, {RunState::kNotRun, Reason::kDeadlineExceeded, kShortRetryAfter},
              Duration::zero(), now, actions);
    return false;
  }
  entry->phase = Phase::kDispatched;
  entry->dispatched_submission_id = submission_id;
  return true;
}

ClaimActions ClaimLedger::OnCompleted(ClaimSubmissionId submission_id, int status, std::string body,
                                      TimePoint now) {
  ClaimActions actions;
  Entries::iterator position;
  Entry* entry = FindBySubmission(submission_id, &position);
  if (entry == nullptr || entry->phase != Phase::kDispatched) {
    return actions;
  }
  StoredAnswer answer{.status = status, .digest = ComputeSha256(body)};
  answer.has_body = body.size() <= options_.max_answer_body_bytes &&
                    answer_bytes_ + body.size() <= options_.max_total_answer_bytes;
  if (answer.has_body) {
    answer.body = std::move(body);
    answer_bytes_ += answer.body.size();
  }
  entry->phase = Phase::kEnded;
  entry->final_state = ClaimState::kDone;
  entry->answer = std::move(answer);
  ReportOutcomes(*entry, entry->answer, &actions);
  keys_by_submission_.erase(submission_id);
  WriteFinalState(position->first, *entry, now, &actions);
  return actions;
}

ClaimActions ClaimLedger::OnUpstreamLost(ClaimSubmissionId submission_id, TimePoint now) {
  ClaimActions actions;
  Entries::iterator position;
  Entry* entry = FindBySubmission(submission_id, &position);
  if (entry == nullptr || entry->phase != Phase::kDispatched) {
    return actions;
  }
  entry->phase = Phase::kEnded;
  entry->final_state = ClaimState::kUncertain;
  ReportOutcomes(*entry, Verdict{RunState::kMayHaveRun, Reason::kUpstreamLost}, &actions);
  keys_by_submission_.erase(submission_id);
  WriteFinalState(position->first, *entry, now, &actions);
  return actions;
}

ClaimActions ClaimLedger::OnReportedNotRun(ClaimSubmissionId submission_id, TimePoint now) {
  ClaimActions actions;
  Entries::iterator position;
  Entry* entry = FindBySubmission(submission_id, &position);
  if (entry != nullptr && entry->phase == Phase::kDispatched) {
    VoidClaim(position, {RunState::kNotRun, Reason::kUpstreamError, kShortRetryAfter},
              Duration::zero(), now, &actions);
  }
  return actions;
}

ClaimActions ClaimLedger::Cancel(ClaimSubmissionId submission_id, TimePoint now) {
  ClaimActions actions;
  Entries::iterator position;
  Entry* entry = FindBySubmission(submission_id, &position);
  if (entry == nullptr) {
    return actions;
  }
  std::erase_if(entry->submissions,
                [&](const Submission& s) { return s.submission_id == submission_id; });
  if (entry->phase == Phase::kDispatched) {
    if (submission_id != entry->dispatched_submission_id) {
      keys_by_submission_.erase(submission_id);
    }
    return actions;
  }
  keys_by_submission_.erase(submission_id);
  if (entry->submissions.empty()) {
    VoidClaim(position, {RunState::kNotRun, Reason::kCallerGone}, Duration::zero(), now, &actions);
  } else if (entry->phase == Phase::kHeld) {
    actions.ready.push_back(entry->submissions.front().submission_id);
  }
  return actions;
}

ClaimActions ClaimLedger::GiveUp(ClaimSubmissionId submission_id, Verdict verdict, TimePoint now) {
  Entries::iterator position;
  const Entry* entry = FindBySubmission(submission_id, &position);
  if (entry == nullptr) {
    return {};
  }
  const bool resend = std::any_of(
      entry->submissions.begin(), entry->submissions.end(),
      [&](const Submission& s) { return s.submission_id == submission_id && s.resend; });
  const bool others = entry->submissions.size() > 1 || entry->phase == Phase::kDispatched;
  if (verdict.run_state == RunState::kNotRun && (resend || others || entry->contested)) {
    verdict.run_state = RunState::kMayHaveRun;
  }
  ClaimActions actions = Cancel(submission_id, now);
  actions.outcomes.push_back({submission_id, verdict});
  return actions;
}

ClaimActions ClaimLedger::OnWriteResult(std::uint64_t id, TableStatus status, TimePoint now) {
  ClaimActions actions;
  const auto found = operations_.find(id);
  if (found == operations_.end()) {
    return actions;
  }
  const PendingOperation operation = found->second;
  operations_.erase(found);
  if (operation.released_sequence != 0) {
    const auto release = releases_.find(operation.released_sequence);
    if (release == releases_.end() || release->second.operation_id != id) {
      return actions;
    }
    release->second.operation_id = 0;
    const bool absent = status == TableStatus::kConflict;
    release->second.absent_results += absent ? 1 : 0;
    release->second.next_write_at =
        now + (absent ? kAbsentReleaseRetryDelay : options_.write_retry_interval);
    if (status == TableStatus::kCommitted || release->second.absent_results >= kMaxAbsentResults) {
      releases_.erase(release);
    }
    return actions;
  }
  const auto position = entries_.find(operation.key);
  if (position == entries_.end() || position->second.operation_id != id) {
    return actions;
  }
  Entry& entry = position->second;
  entry.operation_id = 0;
  if (entry.phase == Phase::kEnded) {
    // A conflict means that an earlier copy of this write took effect, or that the row has expired.
    if (status == TableStatus::kCommitted || status == TableStatus::kConflict) {
      EraseEntry(position);
    }
  } else if (status == TableStatus::kCommitted) {
    entry.held_sequence = *entry.token_sequences.rbegin();
    MarkHeld(entry, &actions);
  } else if (status == TableStatus::kUnavailable) {
    VoidClaim(position, kTableUnavailable, Duration::zero(), now, &actions);
  } else {
    entry.contested = entry.contested || status == TableStatus::kConflict;
    ReadRow(position->first, entry, now, &actions);
  }
  return actions;
}

ClaimActions ClaimLedger::OnReadResult(std::uint64_t id, TableStatus status,
                                       const std::optional<ClaimRow>& row, TimePoint now) {
  ClaimActions actions;
  const auto found = operations_.find(id);
  if (found == operations_.end()) {
    return actions;
  }
  const auto position = entries_.find(found->second.key);
  operations_.erase(found);
  if (position == entries_.end() || position->second.operation_id != id) {
    return actions;
  }
  position->second.operation_id = 0;
  if (status == TableStatus::kCommitted) {
    HandleRow(position, row, now, &actions);
  } else {
    VoidClaim(position, kTableUnavailable, Duration::zero(), now, &actions);
  }
  return actions;
}

ClaimActions ClaimLedger::OnQuery(const ClaimQuery& query, TimePoint now) {
  ClaimActions actions;
  if (query.token.owner.daemon != owner_.daemon) {
    return actions;
  }
  ClaimReply reply{
      .id = query.id, .requester = query.requester, .key = query.key, .token = query.token};
  const auto position = entries_.find(query.key);
  if (query.token.owner != owner_) {
    reply.kind = ClaimReplyKind::kOwnerGone;
  } else if (position != entries_.end() &&
             position->second.token_sequences.contains(query.token.sequence)) {
    Entry& entry = position->second;
    if (entry.phase == Phase::kDispatched) {
      reply.kind = ClaimReplyKind::kRunning;
    } else if (entry.phase == Phase::kEnded) {
      const bool done = entry.final_state == ClaimState::kDone;
      reply.kind = done ? ClaimReplyKind::kDone : ClaimReplyKind::kUncertain;
      reply.answer = entry.answer;
    } else {
      // The request is about to run at the querying daemon, so kNotRun would be false for these
      // submissions.
      VoidClaim(position, {RunState::kMayHaveRun, Reason::kClaimedElsewhere, kShortRetryAfter},
                kTakeoverReleaseDelay, now, &actions);
    }
  }
  // A token of this process that is not in the ledger was voided, or its final state is in the row,
  // which makes the takeover write fail.
  actions.replies.push_back(std::move(reply));
  return actions;
}

ClaimActions ClaimLedger::OnReply(const ClaimReply& reply, TimePoint now) {
  ClaimActions actions;
  const auto position = entries_.find(reply.key);
  if (position == entries_.end() || position->second.phase != Phase::kQueryingOwner ||
      position->second.queried_token != reply.token) {
    return actions;
  }
  Entry& entry = position->second;
  switch (reply.kind) {
    case ClaimReplyKind::kVoid:
      entry.dispatch_deadline = now + options_.dispatch_timeout;
      InsertRow(reply.key, entry, reply.token, now, &actions);
      break;
    case ClaimReplyKind::kRunning:
      entry.owner_deadline = now + options_.owner_timeout;
      break;
    case ClaimReplyKind::kDone:
      CloseClaim(position, reply.answer, Duration::zero(), now, &actions);
      break;
    case ClaimReplyKind::kUncertain:
      VoidClaim(position, {RunState::kMayHaveRun, Reason::kUpstreamLost}, Duration::zero(), now,
                &actions);
      break;
    case ClaimReplyKind::kOwnerGone:
      VoidClaim(position, {RunState::kMayHaveRun, Reason::kClaimedElsewhere}, Duration::zero(), now,
                &actions);
      break;
  }
  return actions;
}

ClaimActions ClaimLedger::OnDaemonDead(const DaemonId& daemon, TimePoint now) {
  ClaimActions actions;
  for (auto next = entries_.begin(); next != entries_.end();) {
    const auto position = next++;
    if (position->second.phase == Phase::kQueryingOwner &&
        position->second.queried_token.owner.daemon == daemon) {
      VoidClaim(position, {RunState::kMayHaveRun, Reason::kClaimedElsewhere}, Duration::zero(), now,
                &actions);
    }
  }
  return actions;
}

ClaimActions ClaimLedger::Tick(TimePoint now) {
  ClaimActions actions;
  for (auto next = entries_.begin(); next != entries_.end();) {
    const auto position = next++;
    TickEntry(position, now, &actions);
  }
  for (auto& [sequence, release] : releases_) {
    if (now >= release.next_write_at) {
      WriteRelease(sequence, release, now, &actions);
    }
  }
  return actions;
}

void ClaimLedger::TickEntry(Entries::iterator position, TimePoint now, ClaimActions* actions) {
  Entry& entry = position->second;
  const bool timed_out = now >= entry.operation_deadline;
  switch (entry.phase) {
    case Phase::kWriting:
      if (now >= entry.dispatch_deadline) {
        VoidClaim(position, kTableUnavailable, Duration::zero(), now, actions);
      } else if (timed_out) {
        ReadRow(position->first, entry, now, actions);
      }
      break;
    case Phase::kReading:
      if (timed_out) {
        VoidClaim(position, kTableUnavailable, Duration::zero(), now, actions);
      }
      break;
    case Phase::kQueryingOwner:
      if (now >= entry.owner_deadline || now >= entry.query_deadline) {
        VoidClaim(position, {RunState::kMayHaveRun, Reason::kClaimedElsewhere, kPlatformRetryAfter},
                  Duration::zero(), now, actions);
      } else if (timed_out) {
        QueryOwner(position->first, entry, now, actions);
      }
      break;
    case Phase::kHeld:
      if (now >= entry.dispatch_deadline) {
        VoidClaim(position, {RunState::kNotRun, Reason::kDeadlineExceeded, kShortRetryAfter},
                  Duration::zero(), now, actions);
      }
      break;
    case Phase::kDispatched:
      break;
    case Phase::kEnded:
      if (timed_out) {
        WriteFinalState(position->first, entry, now, actions);
      }
      break;
  }
}

std::uint64_t ClaimLedger::StartOperation(Entry& entry, const ClaimKey& key, Duration timeout,
                                          TimePoint now) {
  operations_.erase(entry.operation_id);
  entry.operation_id = next_operation_id_++;
  entry.operation_deadline = now + timeout;
  operations_[entry.operation_id] = {.key = key};
  return entry.operation_id;
}

void ClaimLedger::InsertRow(const ClaimKey& key, Entry& entry,
                            const std::optional<ClaimToken>& expected, TimePoint now,
                            ClaimActions* actions) {
  const std::uint64_t sequence = next_sequence_++;
  entry.phase = Phase::kWriting;
  entry.token_sequences.insert(sequence);
  const std::uint64_t id = StartOperation(entry, key, options_.table_timeout, now);
  actions->writes.push_back(
      {id, key, expected, ClaimRow{.token = MakeToken(sequence), .body = entry.body}});
}

void ClaimLedger::ReadRow(const ClaimKey& key, Entry& entry, TimePoint now, ClaimActions* actions) {
  entry.phase = Phase::kReading;
  actions->reads.push_back({StartOperation(entry, key, options_.table_timeout, now), key});
}

void ClaimLedger::QueryOwner(const ClaimKey& key, Entry& entry, TimePoint now,
                             ClaimActions* actions) {
  entry.phase = Phase::kQueryingOwner;
  const std::uint64_t id = StartOperation(entry, key, options_.query_interval, now);
  actions->queries.push_back({id, owner_.daemon, key, entry.queried_token});
}

void ClaimLedger::MarkHeld(Entry& entry, ClaimActions* actions) {
  entry.phase = Phase::kHeld;
  entry.contested = false;
  actions->ready.push_back(entry.submissions.front().submission_id);
}

void ClaimLedger::HandleRow(Entries::iterator position, const std::optional<ClaimRow>& row,
                            TimePoint now, ClaimActions* actions) {
  Entry& entry = position->second;
  if (!row) {
    entry.contested = false;
    if (now >= entry.dispatch_deadline) {
      VoidClaim(position, kTableUnavailable, Duration::zero(), now, actions);
    } else {
      InsertRow(position->first, entry, std::nullopt, now, actions);
    }
    return;
  }
  const bool is_own = row->token.owner == owner_;
  if (is_own && row->state == ClaimState::kClaimed &&
      entry.token_sequences.contains(row->token.sequence)) {
    entry.held_sequence = row->token.sequence;
    MarkHeld(entry, actions);
    return;
  }
  entry.contested = true;
  if (row->body != entry.body) {
    entry.contested = false;
    entry.key_reused = true;
    VoidClaim(position, {RunState::kNotRun, Reason::kIdempotencyKeyReused}, Duration::zero(), now,
              actions);
  } else if (row->state == ClaimState::kDone) {
    CloseClaim(position, row->answer, Duration::zero(), now, actions);
  } else if (row->state == ClaimState::kUncertain) {
    VoidClaim(position, {RunState::kMayHaveRun, Reason::kUpstreamLost}, Duration::zero(), now,
              actions);
  } else if (is_own) {
    // The row holds an earlier claim of this process. Either it was voided, or it has ended and its
    // final state is written before this insert, which then conflicts.
    InsertRow(position->first, entry, row->token, now, actions);
  } else if (row->token.owner.daemon == owner_.daemon) {
    VoidClaim(position, {RunState::kMayHaveRun, Reason::kClaimedElsewhere}, Duration::zero(), now,
              actions);
  } else {
    if (entry.queried_token.sequence == 0) {
      entry.query_deadline = now + options_.remote_run_timeout;
    }
    entry.queried_token = row->token;
    entry.owner_deadline = now + options_.owner_timeout;
    QueryOwner(position->first, entry, now, actions);
  }
}

void ClaimLedger::VoidClaim(Entries::iterator position, Verdict verdict, Duration release_delay,
                            TimePoint now, ClaimActions* actions) {
  CloseClaim(position, verdict, release_delay, now, actions);
}

void ClaimLedger::CloseClaim(Entries::iterator position,
                             const std::variant<StoredAnswer, Verdict>& result,
                             Duration release_delay, TimePoint now, ClaimActions* actions) {
  ReportOutcomes(position->second, result, actions);
  if (std::holds_alternative<StoredAnswer>(result)) {
    // The row holds the claim that ran, so pending inserts of this entry can no longer take effect.
    EraseEntry(position);
    return;
  }
  for (const std::uint64_t sequence : position->second.token_sequences) {
    Release& release = releases_[sequence];
    release.key = position->first;
    release.next_write_at = now + release_delay;
    if (release_delay == Duration::zero()) {
      WriteRelease(sequence, release, now, actions);
    }
  }
  EraseEntry(position);
}

void ClaimLedger::WriteFinalState(const ClaimKey& key, Entry& entry, TimePoint now,
                                  ClaimActions* actions) {
  const ClaimToken token = MakeToken(entry.held_sequence);
  actions->writes.push_back({StartOperation(entry, key, options_.write_retry_interval, now), key,
                             token,
                             ClaimRow{.token = token,
                                      .state = entry.final_state,
                                      .body = entry.body,
                                      .answer = entry.answer}});
}

void ClaimLedger::ReportOutcomes(Entry& entry, const std::variant<StoredAnswer, Verdict>& result,
                                 ClaimActions* actions) {
  for (const Submission& submission : entry.submissions) {
    ClaimOutcome outcome{submission.submission_id, result};
    auto* verdict = std::get_if<Verdict>(&outcome.result);
    // An earlier submission of this request may still be active at another daemon, so kNotRun can't
    // be guaranteed.
    if (verdict != nullptr && verdict->run_state == RunState::kNotRun && !entry.key_reused &&
        (submission.resend || entry.contested)) {
      verdict->run_state = RunState::kMayHaveRun;
    }
    actions->outcomes.push_back(std::move(outcome));
    keys_by_submission_.erase(submission.submission_id);
  }
  entry.submissions.clear();
}

void ClaimLedger::WriteRelease(std::uint64_t sequence, Release& release, TimePoint now,
                               ClaimActions* actions) {
  operations_.erase(release.operation_id);
  release.operation_id = next_operation_id_++;
  release.next_write_at = now + options_.write_retry_interval;
  operations_[release.operation_id] = {.released_sequence = sequence};
  actions->writes.push_back({release.operation_id, release.key, MakeToken(sequence), std::nullopt});
}

void ClaimLedger::EraseEntry(Entries::iterator position) {
  operations_.erase(position->second.operation_id);
  keys_by_submission_.erase(position->second.dispatched_submission_id);
  if (position->second.phase == Phase::kEnded) {
    answer_bytes_ -= position->second.answer.body.size();
  }
  entries_.erase(position);
}

}  // namespace savoryglade
