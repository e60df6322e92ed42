#include "recovery/claim_ledger.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace savoryglade {
namespace {

// Callers come back after an outage of the table, which lasts seconds at least.
constexpr Duration kPlatformRetryAfter = 5s;
constexpr Duration kSoonRetryAfter = 1s;
// Leaves the row to the daemon that was allowed to take it over; the release only removes what it
// left.
constexpr Duration kConsentReleaseDelay = 2s;
// A release that finds its token absent is repeated once after this time, because a delayed insert
// may have put the token there since.
constexpr Duration kAbsentRepeat = 10s;
constexpr int kAbsencesBeforeForget = 2;

constexpr Verdict kTableDown{RunState::kNotRun, Reason::kPlatformUnavailable, kPlatformRetryAfter};

}  // namespace

ClaimLedger::Entry* ClaimLedger::FindByTicket(ClaimSubmissionId submission_id,
                                              Entries::iterator* position) {
  const auto found = tickets_.find(submission_id);
  if (found == tickets_.end()) {
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
      entry.sendings.push_back({request.submission_id, request.resend});
      tickets_[request.submission_id] = request.key;
      if (entry.phase == Phase::kEnded) {
        entry.end == ClaimState::kDone
            ? Finish(entry, entry.answer, &actions)
            : Finish(entry, Verdict{RunState::kMayHaveRun, Reason::kUpstreamLost}, &actions);
      }
    }
    return actions;
  }
  if (size() >= options_.max_claims) {
    const RunState state = request.resend ? RunState::kMayHaveRun : RunState::kNotRun;
    actions.outcomes.push_back(
        {request.submission_id, Verdict{state, Reason::kQueueFull, kSoonRetryAfter}});
    return actions;
  }
  Entry& entry = entries_[request.key];
  entry.body = request.body;
  entry.sendings.push_back({request.submission_id, request.resend});
  entry.dispatch_until = now + options_.dispatch_limit;
  tickets_[request.submission_id] = request.key;
  Insert(request.key, entry, std::nullopt, now, &actions);
  return actions;
}

bool ClaimLedger::BeginDispatch(ClaimSubmissionId submission_id, TimePoint now,
                                ClaimActions* actions) {
  Entries::iterator position;
  Entry* entry = FindByTicket(submission_id, &position);
  if (entry == nullptr || entry->phase != Phase::kHeld) {
    return false;
  }
  if (now >= entry->dispatch_until) {
    Void(position, {RunState::kNotRun, Reason::kDeadlineExceeded, kSoonRetryAfter},
         Duration::zero(), now, actions);
    return false;
  }
  entry->phase = Phase::kDispatched;
  entry->dispatched_ticket = submission_id;
  return true;
}

ClaimActions ClaimLedger::OnCompleted(ClaimSubmissionId submission_id, int status, std::string body,
                                      TimePoint now) {
  ClaimActions actions;
  Entries::iterator position;
  Entry* entry = FindByTicket(submission_id, &position);
  if (entry == nullptr || entry->phase != Phase::kDispatched) {
    return actions;
  }
  StoredAnswer answer{.status = status, .digest = ComputeSha256(body)};
  answer.has_body = body.size() <= options_.max_answer &&
                    answer_bytes_ + body.size() <= options_.max_answer_bytes;
  if (answer.has_body) {
    answer.body = std::move(body);
    answer_bytes_ += answer.body.size();
  }
  entry->phase = Phase::kEnded;
  entry->end = ClaimState::kDone;
  entry->answer = std::move(answer);
  Finish(*entry, entry->answer, &actions);
  tickets_.erase(submission_id);
  WriteEnd(position->first, *entry, now, &actions);
  return actions;
}

ClaimActions ClaimLedger::OnUpstreamLost(ClaimSubmissionId submission_id, TimePoint now) {
  ClaimActions actions;
  Entries::iterator position;
  Entry* entry = FindByTicket(submission_id, &position);
  if (entry == nullptr || entry->phase != Phase::kDispatched) {
    return actions;
  }
  entry->phase = Phase::kEnded;
  entry->end = ClaimState::kUncertain;
  Finish(*entry, Verdict{RunState::kMayHaveRun, Reason::kUpstreamLost}, &actions);
  tickets_.erase(submission_id);
  WriteEnd(position->first, *entry, now, &actions);
  return actions;
}

ClaimActions ClaimLedger::OnReportedNotRun(ClaimSubmissionId submission_id, TimePoint now) {
  ClaimActions actions;
  Entries::iterator position;
  Entry* entry = FindByTicket(submission_id, &position);
  if (entry != nullptr && entry->phase == Phase::kDispatched) {
    Void(position, {RunState::kNotRun, Reason::kUpstreamError, kSoonRetryAfter}, Duration::zero(),
         now, &actions);
  }
  return actions;
}

ClaimActions ClaimLedger::Cancel(ClaimSubmissionId submission_id, TimePoint now) {
  ClaimActions actions;
  Entries::iterator position;
  Entry* entry = FindByTicket(submission_id, &position);
  if (entry == nullptr) {
    return actions;
  }
  std::erase_if(entry->sendings,
                [&](const Sending& s) { return s.submission_id == submission_id; });
  if (entry->phase == Phase::kDispatched) {
    if (submission_id != entry->dispatched_ticket) {
      tickets_.erase(submission_id);
    }
    return actions;
  }
  tickets_.erase(submission_id);
  if (entry->sendings.empty()) {
    Void(position, {RunState::kNotRun, Reason::kCallerGone}, Duration::zero(), now, &actions);
  } else if (entry->phase == Phase::kHeld) {
    actions.ready.push_back(entry->sendings.front().submission_id);
  }
  return actions;
}

ClaimActions ClaimLedger::GiveUp(ClaimSubmissionId submission_id, Verdict verdict, TimePoint now) {
  Entries::iterator position;
  const Entry* entry = FindByTicket(submission_id, &position);
  if (entry == nullptr) {
    return {};
  }
  const bool resend =
      std::any_of(entry->sendings.begin(), entry->sendings.end(),
                  [&](const Sending& s) { return s.submission_id == submission_id && s.resend; });
  const bool others = entry->sendings.size() > 1 || entry->phase == Phase::kDispatched;
  if (verdict.run_state == RunState::kNotRun && (resend || others || entry->contested)) {
    verdict.run_state = RunState::kMayHaveRun;
  }
  ClaimActions actions = Cancel(submission_id, now);
  actions.outcomes.push_back({submission_id, verdict});
  return actions;
}

ClaimActions ClaimLedger::OnWriteResult(std::uint64_t id, TableStatus status, TimePoint now) {
  ClaimActions actions;
  const auto waiting = pending_.find(id);
  if (waiting == pending_.end()) {
    return actions;
  }
  const Pending pending = waiting->second;
  pending_.erase(waiting);
  if (pending.release != 0) {
    const auto release = releases_.find(pending.release);
    if (release == releases_.end() || release->second.pending != id) {
      return actions;
    }
    release->second.pending = 0;
    const bool absent = status == TableStatus::kConflict;
    release->second.absences += absent ? 1 : 0;
    release->second.next = now + (absent ? kAbsentRepeat : options_.rewrite_interval);
    if (status == TableStatus::kCommitted || release->second.absences >= kAbsencesBeforeForget) {
      releases_.erase(release);
    }
    return actions;
  }
  const auto position = entries_.find(pending.key);
  if (position == entries_.end() || position->second.pending != id) {
    return actions;
  }
  Entry& entry = position->second;
  entry.pending = 0;
  if (entry.phase == Phase::kEnded) {
    // A conflict means that an earlier copy of this write took effect, or that the row has expired.
    if (status == TableStatus::kCommitted || status == TableStatus::kConflict) {
      Forget(position);
    }
  } else if (status == TableStatus::kCommitted) {
    entry.held = *entry.tokens.rbegin();
    Hold(entry, &actions);
  } else if (status == TableStatus::kUnavailable) {
    Void(position, kTableDown, Duration::zero(), now, &actions);
  } else {
    entry.contested = entry.contested || status == TableStatus::kConflict;
    Read(position->first, entry, now, &actions);
  }
  return actions;
}

ClaimActions ClaimLedger::OnReadResult(std::uint64_t id, TableStatus status,
                                       const std::optional<ClaimRow>& row, TimePoint now) {
  ClaimActions actions;
  const auto waiting = pending_.find(id);
  if (waiting == pending_.end()) {
    return actions;
  }
  const auto position = entries_.find(waiting->second.key);
  pending_.erase(waiting);
  if (position == entries_.end() || position->second.pending != id) {
    return actions;
  }
  position->second.pending = 0;
  if (status == TableStatus::kCommitted) {
    HandleRow(position, row, now, &actions);
  } else {
    Void(position, kTableDown, Duration::zero(), now, &actions);
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
  } else if (position != entries_.end() && position->second.tokens.contains(query.token.sequence)) {
    Entry& entry = position->second;
    if (entry.phase == Phase::kDispatched) {
      reply.kind = ClaimReplyKind::kRunning;
    } else if (entry.phase == Phase::kEnded) {
      const bool done = entry.end == ClaimState::kDone;
      reply.kind = done ? ClaimReplyKind::kDone : ClaimReplyKind::kUncertain;
      reply.answer = entry.answer;
    } else {
      // The request is about to run at the asking daemon, so these sendings can't be told "not
      // run".
      Void(position, {RunState::kMayHaveRun, Reason::kClaimedElsewhere, kSoonRetryAfter},
           kConsentReleaseDelay, now, &actions);
    }
  }
  // A token of this process that is not in the ledger was voided, or its end is in the row and the
  // takeover fails on it.
  actions.replies.push_back(std::move(reply));
  return actions;
}

ClaimActions ClaimLedger::OnReply(const ClaimReply& reply, TimePoint now) {
  ClaimActions actions;
  const auto position = entries_.find(reply.key);
  if (position == entries_.end() || position->second.phase != Phase::kAsking ||
      position->second.asked != reply.token) {
    return actions;
  }
  Entry& entry = position->second;
  switch (reply.kind) {
    case ClaimReplyKind::kVoid:
      entry.dispatch_until = now + options_.dispatch_limit;
      Insert(reply.key, entry, reply.token, now, &actions);
      break;
    case ClaimReplyKind::kRunning:
      entry.owner_silent_after = now + options_.owner_timeout;
      break;
    case ClaimReplyKind::kDone:
      Close(position, reply.answer, Duration::zero(), now, &actions);
      break;
    case ClaimReplyKind::kUncertain:
      Void(position, {RunState::kMayHaveRun, Reason::kUpstreamLost}, Duration::zero(), now,
           &actions);
      break;
    case ClaimReplyKind::kOwnerGone:
      Void(position, {RunState::kMayHaveRun, Reason::kClaimedElsewhere}, Duration::zero(), now,
           &actions);
      break;
  }
  return actions;
}

ClaimActions ClaimLedger::OnDaemonGone(const DaemonId& daemon, TimePoint now) {
  ClaimActions actions;
  for (auto next = entries_.begin(); next != entries_.end();) {
    const auto position = next++;
    if (position->second.phase == Phase::kAsking && position->second.asked.owner.daemon == daemon) {
      Void(position, {RunState::kMayHaveRun, Reason::kClaimedElsewhere}, Duration::zero(), now,
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
    if (now >= release.next) {
      WriteRelease(sequence, release, now, &actions);
    }
  }
  return actions;
}

void ClaimLedger::TickEntry(Entries::iterator position, TimePoint now, ClaimActions* actions) {
  Entry& entry = position->second;
  const bool timed_out = now >= entry.pending_until;
  switch (entry.phase) {
    case Phase::kWriting:
      if (now >= entry.dispatch_until) {
        Void(position, kTableDown, Duration::zero(), now, actions);
      } else if (timed_out) {
        Read(position->first, entry, now, actions);
      }
      break;
    case Phase::kReading:
      if (timed_out) {
        Void(position, kTableDown, Duration::zero(), now, actions);
      }
      break;
    case Phase::kAsking:
      if (now >= entry.owner_silent_after || now >= entry.give_up) {
        Void(position, {RunState::kMayHaveRun, Reason::kClaimedElsewhere, kPlatformRetryAfter},
             Duration::zero(), now, actions);
      } else if (timed_out) {
        Ask(position->first, entry, now, actions);
      }
      break;
    case Phase::kHeld:
      if (now >= entry.dispatch_until) {
        Void(position, {RunState::kNotRun, Reason::kDeadlineExceeded, kSoonRetryAfter},
             Duration::zero(), now, actions);
      }
      break;
    case Phase::kDispatched:
      break;
    case Phase::kEnded:
      if (timed_out) {
        WriteEnd(position->first, entry, now, actions);
      }
      break;
  }
}

std::uint64_t ClaimLedger::NewPending(Entry& entry, const ClaimKey& key, Duration timeout,
                                      TimePoint now) {
  pending_.erase(entry.pending);
  entry.pending = next_id_++;
  entry.pending_until = now + timeout;
  pending_[entry.pending] = {.key = key};
  return entry.pending;
}

void ClaimLedger::Insert(const ClaimKey& key, Entry& entry,
                         const std::optional<ClaimToken>& expected, TimePoint now,
                         ClaimActions* actions) {
  const std::uint64_t sequence = next_sequence_++;
  entry.phase = Phase::kWriting;
  entry.tokens.insert(sequence);
  const std::uint64_t id = NewPending(entry, key, options_.table_timeout, now);
  actions->writes.push_back(
      {id, key, expected, ClaimRow{.token = TokenOf(sequence), .body = entry.body}});
}

void ClaimLedger::Read(const ClaimKey& key, Entry& entry, TimePoint now, ClaimActions* actions) {
  entry.phase = Phase::kReading;
  actions->reads.push_back({NewPending(entry, key, options_.table_timeout, now), key});
}

void ClaimLedger::Ask(const ClaimKey& key, Entry& entry, TimePoint now, ClaimActions* actions) {
  entry.phase = Phase::kAsking;
  const std::uint64_t id = NewPending(entry, key, options_.query_interval, now);
  actions->queries.push_back({id, owner_.daemon, key, entry.asked});
}

void ClaimLedger::Hold(Entry& entry, ClaimActions* actions) {
  entry.phase = Phase::kHeld;
  entry.contested = false;
  actions->ready.push_back(entry.sendings.front().submission_id);
}

void ClaimLedger::HandleRow(Entries::iterator position, const std::optional<ClaimRow>& row,
                            TimePoint now, ClaimActions* actions) {
  Entry& entry = position->second;
  if (!row) {
    entry.contested = false;
    if (now >= entry.dispatch_until) {
      Void(position, kTableDown, Duration::zero(), now, actions);
    } else {
      Insert(position->first, entry, std::nullopt, now, actions);
    }
    return;
  }
  const bool ours = row->token.owner == owner_;
  if (ours && row->state == ClaimState::kClaimed && entry.tokens.contains(row->token.sequence)) {
    entry.held = row->token.sequence;
    Hold(entry, actions);
    return;
  }
  entry.contested = true;
  if (row->body != entry.body) {
    entry.contested = false;
    entry.reused = true;
    Void(position, {RunState::kNotRun, Reason::kIdempotencyKeyReused}, Duration::zero(), now,
         actions);
  } else if (row->state == ClaimState::kDone) {
    Close(position, row->answer, Duration::zero(), now, actions);
  } else if (row->state == ClaimState::kUncertain) {
    Void(position, {RunState::kMayHaveRun, Reason::kUpstreamLost}, Duration::zero(), now, actions);
  } else if (ours) {
    // An earlier claim of this process. It was voided, or it has ended and the row changes before
    // this write.
    Insert(position->first, entry, row->token, now, actions);
  } else if (row->token.owner.daemon == owner_.daemon) {
    Void(position, {RunState::kMayHaveRun, Reason::kClaimedElsewhere}, Duration::zero(), now,
         actions);
  } else {
    if (entry.asked.sequence == 0) {
      entry.give_up = now + options_.running_timeout;
    }
    entry.asked = row->token;
    entry.owner_silent_after = now + options_.owner_timeout;
    Ask(position->first, entry, now, actions);
  }
}

void ClaimLedger::Void(Entries::iterator position, Verdict verdict, Duration release_delay,
                       TimePoint now, ClaimActions* actions) {
  Close(position, verdict, release_delay, now, actions);
}

void ClaimLedger::Close(Entries::iterator position,
                        const std::variant<StoredAnswer, Verdict>& result, Duration release_delay,
                        TimePoint now, ClaimActions* actions) {
  Finish(position->second, result, actions);
  if (std::holds_alternative<StoredAnswer>(result)) {
    // The row is occupied by the claim that ran, so no write of ours can take effect any more.
    Forget(position);
    return;
  }
  for (const std::uint64_t sequence : position->second.tokens) {
    Release& release = releases_[sequence];
    release.key = position->first;
    release.next = now + release_delay;
    if (release_delay == Duration::zero()) {
      WriteRelease(sequence, release, now, actions);
    }
  }
  Forget(position);
}

void ClaimLedger::WriteEnd(const ClaimKey& key, Entry& entry, TimePoint now,
                           ClaimActions* actions) {
  const ClaimToken token = TokenOf(entry.held);
  actions->writes.push_back(
      {NewPending(entry, key, options_.rewrite_interval, now), key, token,
       ClaimRow{.token = token, .state = entry.end, .body = entry.body, .answer = entry.answer}});
}

void ClaimLedger::Finish(Entry& entry, const std::variant<StoredAnswer, Verdict>& result,
                         ClaimActions* actions) {
  for (const Sending& sending : entry.sendings) {
    ClaimOutcome outcome{sending.submission_id, result};
    auto* verdict = std::get_if<Verdict>(&outcome.result);
    // An earlier sending of this request may be alive elsewhere, so "not run" can't be promised.
    if (verdict != nullptr && verdict->run_state == RunState::kNotRun && !entry.reused &&
        (sending.resend || entry.contested)) {
      verdict->run_state = RunState::kMayHaveRun;
    }
    actions->outcomes.push_back(std::move(outcome));
    tickets_.erase(sending.submission_id);
  }
  entry.sendings.clear();
}

void ClaimLedger::WriteRelease(std::uint64_t sequence, Release& release, TimePoint now,
                               ClaimActions* actions) {
  pending_.erase(release.pending);
  release.pending = next_id_++;
  release.next = now + options_.rewrite_interval;
  pending_[release.pending] = {.release = sequence};
  actions->writes.push_back({release.pending, release.key, TokenOf(sequence), std::nullopt});
}

void ClaimLedger::Forget(Entries::iterator position) {
  pending_.erase(position->second.pending);
  tickets_.erase(position->second.dispatched_ticket);
  if (position->second.phase == Phase::kEnded) {
    answer_bytes_ -= position->second.answer.body.size();
  }
  entries_.erase(position);
}

}  // namespace savoryglade
