#include "daemon/claim_service.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <optional>
#include <string>
#include <utility>

#include "daemon/claim_row_codec.h"
#include "daemon/platform_client.h"
#include "net/log_exception.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;

constexpr Duration kTickInterval = 10ms;

TimePoint Now() { return std::chrono::steady_clock::now(); }

TableStatus ToTableStatus(provider::CommitStatus status) {
  switch (status) {
    case provider::CommitStatus::kCommitted:
      return TableStatus::kCommitted;
    case provider::CommitStatus::kConflict:
      return TableStatus::kConflict;
    case provider::CommitStatus::kUnavailable:
      return TableStatus::kUnavailable;
    case provider::CommitStatus::kUnknown:
      break;
  }
  return TableStatus::kUnknown;
}

// Encodes a response as one string for the table: the content type on the first line, then the
// body.
std::string EncodeStoredResponse(const StoredResponse& response) {
  return response.content_type + "\n" + response.body;
}

ClaimResult ToClaimResult(const ClaimOutcome& outcome) {
  if (const auto* verdict = std::get_if<Verdict>(&outcome.result)) {
    ClaimResult rejected{.kind = ClaimResult::Kind::kRefused, .verdict = *verdict};
    if (verdict->reason == Reason::kUpstreamLost) {
      // The claim is that of another submission, whose upstream was lost.
      rejected.verdict.reason = Reason::kClaimedElsewhere;
    }
    return rejected;
  }
  const StoredAnswer& stored = std::get<StoredAnswer>(outcome.result);
  const std::size_t end = stored.body.find('\n');
  if (!stored.has_body || end == std::string::npos) {
    return {.kind = ClaimResult::Kind::kRefused,
            .verdict = {.run_state = RunState::kRan, .reason = Reason::kAnswerNotKept}};
  }
  return {.kind = ClaimResult::Kind::kDone,
          .response = {.status = static_cast<unsigned>(stored.status),
                       .content_type = stored.body.substr(0, end),
                       .body = stored.body.substr(end + 1)}};
}

// Returns the verdict for a submission if the actions contain one.
std::optional<Verdict> FindVerdict(const ClaimActions& actions, ClaimSubmissionId submission_id) {
  for (const ClaimOutcome& outcome : actions.outcomes) {
    const auto* verdict = std::get_if<Verdict>(&outcome.result);
    if (outcome.submission_id == submission_id && verdict != nullptr) {
      return *verdict;
    }
  }
  return std::nullopt;
}

// Returns true if the row satisfies the condition of the write: an insert requires an absent row,
// an update a row with the expected claim.
bool ConditionHolds(const ClaimWrite& write, const provider::Row& row) {
  if (!write.expected) {
    return !row.exists();
  }
  const Result<ClaimRow> claim = ParseClaimRow(row.value);
  return row.exists() && claim && claim->state == ClaimState::kClaimed &&
         claim->token == *write.expected;
}

}  // namespace

// A coroutine that waits for the result of its submission. Cancelling the timer, which never
// expires, resumes the coroutine on its own executor.
struct ClaimService::Waiter {
  explicit Waiter(const asio::any_io_executor& executor) : timer(executor, TimePoint::max()) {}

  asio::steady_timer timer;
  std::optional<ClaimResult> result;
};

ClaimService::ClaimService(asio::io_context& context, provider::Table& table,
                           const ClaimServiceOptions& options, MetricRegistry& metrics)
    : context_(context),
      table_(table),
      owner_(options.owner),
      ledger_(options.owner, options.ledger),
      committer_(options.committer),
      transactions_(metrics.GetCounter("savoryglade_claim_transactions_total")),
      conflicts_(metrics.GetCounter("savoryglade_claim_conflicts_total")),
      replays_(metrics.GetCounter("savoryglade_claim_replays_total")),
      held_claims_(metrics.GetGauge("savoryglade_claims_held")) {}

ClaimService::~ClaimService() = default;

void ClaimService::Start() { asio::co_spawn(context_, TickLoop(), LogException("claim ticks")); }

void ClaimService::UpdateLedger(const std::function<ClaimActions(ClaimLedger&, TimePoint)>& call) {
  ClaimActions actions;
  {
    const std::lock_guard lock(mutex_);
    actions = call(ledger_, Now());
    held_claims_.Set(static_cast<std::int64_t>(ledger_.size()));
  }
  ExecuteActions(std::move(actions));
}

void ClaimService::ExecuteActions(ClaimActions actions) {
  for (const ClaimSubmissionId submission_id : actions.ready) {
    DeliverResult(submission_id,
                  {.kind = ClaimResult::Kind::kGranted, .submission_id = submission_id});
  }
  for (const ClaimOutcome& outcome : actions.outcomes) {
    DeliverResult(outcome.submission_id, ToClaimResult(outcome));
  }
  if (actions.writes.empty() && actions.reads.empty() && actions.queries.empty() &&
      actions.replies.empty()) {
    return;
  }
  asio::post(context_, [this, actions = std::move(actions)] {
    std::vector<ClaimWriteResult> rejected;
    {
      const std::lock_guard lock(mutex_);
      rejected = committer_.Submit(owner_.daemon, actions.writes);
    }
    HandleWriteResults(rejected);
    for (const ClaimRead& read : actions.reads) {
      asio::co_spawn(context_, ReadRow(read), LogException("claim read"));
    }
    for (const ClaimQuery& query : actions.queries) {
      if (peer_transport_.send_query) {
        peer_transport_.send_query(query);
      }
    }
    for (const ClaimReply& reply : actions.replies) {
      if (peer_transport_.send_reply) {
        peer_transport_.send_reply(reply);
      }
    }
  });
}

void ClaimService::DeliverResult(ClaimSubmissionId submission_id, ClaimResult result) {
  std::shared_ptr<Waiter> waiter;
  {
    const std::lock_guard lock(mutex_);
    const auto found = waiters_.find(submission_id);
    if (found == waiters_.end()) {
      return;
    }
    waiter = std::move(found->second);
    waiters_.erase(found);
  }
  asio::post(waiter->timer.get_executor(), [waiter, result = std::move(result)] {
    waiter->result = result;
    waiter->timer.cancel();
  });
}

asio::awaitable<ClaimResult> ClaimService::Claim(ClaimSubmission submission, TimePoint /*now*/) {
  const auto waiter = std::make_shared<Waiter>(co_await asio::this_coro::executor);
  ClaimRequest request{.key = {.account = submission.identity.account,
                               .service = submission.identity.service,
                               .key = RequestKey(submission.identity.key)},
                       .body = submission.body,
                       .resend = submission.resend};
  {
    const std::lock_guard lock(mutex_);
    request.submission_id = next_submission_id_++;
    waiters_.emplace(request.submission_id, waiter);
  }
  UpdateLedger(
      [&request](ClaimLedger& ledger, TimePoint now) { return ledger.Acquire(request, now); });
  while (!waiter->result) {
    co_await waiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  if (waiter->result->kind == ClaimResult::Kind::kDone) {
    replays_.Add();
  }
  co_return *waiter->result;
}

bool ClaimService::BeginDispatch(ClaimSubmissionId submission_id, TimePoint now) {
  bool allowed = false;
  ClaimActions actions;
  {
    const std::lock_guard lock(mutex_);
    allowed = ledger_.BeginDispatch(submission_id, now, &actions);
    if (const auto verdict = FindVerdict(actions, submission_id)) {
      rejected_dispatches_[submission_id] = *verdict;
    }
  }
  ExecuteActions(std::move(actions));
  return allowed;
}

void ClaimService::Release(ClaimSubmissionId submission_id) {
  UpdateLedger([submission_id](ClaimLedger& ledger, TimePoint now) {
    return ledger.OnReportedNotRun(submission_id, now);
  });
}

Verdict ClaimService::GiveUp(ClaimSubmissionId submission_id, Verdict verdict) {
  ClaimActions actions;
  {
    const std::lock_guard lock(mutex_);
    const auto rejected = rejected_dispatches_.find(submission_id);
    if (rejected != rejected_dispatches_.end()) {
      verdict = rejected->second;
      rejected_dispatches_.erase(rejected);
      return verdict;
    }
    actions = ledger_.GiveUp(submission_id, verdict, Now());
    verdict = FindVerdict(actions, submission_id).value_or(verdict);
  }
  ExecuteActions(std::move(actions));
  return verdict;
}

void ClaimService::Complete(ClaimSubmissionId submission_id, StoredResponse response) {
  UpdateLedger([&](ClaimLedger& ledger, TimePoint now) {
    return ledger.OnCompleted(submission_id, static_cast<int>(response.status),
                              EncodeStoredResponse(response), now);
  });
}

void ClaimService::MarkOutcomeUnknown(ClaimSubmissionId submission_id) {
  UpdateLedger([submission_id](ClaimLedger& ledger, TimePoint now) {
    return ledger.OnUpstreamLost(submission_id, now);
  });
}

void ClaimService::OnQuery(const ClaimQuery& query) {
  UpdateLedger([&query](ClaimLedger& ledger, TimePoint now) { return ledger.OnQuery(query, now); });
}

void ClaimService::OnReply(const ClaimReply& reply) {
  UpdateLedger([&reply](ClaimLedger& ledger, TimePoint now) { return ledger.OnReply(reply, now); });
}

void ClaimService::OnDaemonDead(const DaemonId& daemon) {
  UpdateLedger(
      [&daemon](ClaimLedger& ledger, TimePoint now) { return ledger.OnDaemonDead(daemon, now); });
}

void ClaimService::SetCommitInterval(Duration interval) {
  const std::lock_guard lock(mutex_);
  if (!flushing_) {
    committer_.SetInterval(interval);
  }
}

void ClaimService::Flush() {
  const std::lock_guard lock(mutex_);
  flushing_ = true;
  committer_.Flush();
}

std::size_t ClaimService::unwritten_claims() const {
  const std::lock_guard lock(mutex_);
  // A write that the ledger has given up may still be queued or in flight.
  return std::max<std::size_t>(ledger_.size(), committer_.idle() ? 0 : 1);
}

asio::awaitable<void> ClaimService::TickLoop() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (true) {
    timer.expires_after(kTickInterval);
    co_await timer.async_wait(asio::use_awaitable);
    UpdateLedger([](ClaimLedger& ledger, TimePoint now) { return ledger.Tick(now); });
    std::vector<ClaimWriteResult> expired;
    std::optional<ClaimTransaction> transaction;
    {
      const std::lock_guard lock(mutex_);
      expired = committer_.Expire(Now());
      transaction = committer_.NextTransaction(Now());
    }
    HandleWriteResults(expired);
    if (transaction) {
      asio::co_spawn(context_, Commit(std::move(*transaction)), LogException("claim commit"));
    }
  }
}

asio::awaitable<void> ClaimService::ReadRow(ClaimRead read) {
  const provider::ReadResult row = co_await AwaitRead(table_, ClaimRowKey(read.key));
  TableStatus status = TableStatus::kUnavailable;
  std::optional<ClaimRow> claim;
  if (row) {
    status = TableStatus::kCommitted;
    if (row->exists()) {
      const Result<ClaimRow> parsed = ParseClaimRow(row->value);
      // A row that can't be parsed must not be treated as absent.
      status = parsed ? TableStatus::kCommitted : TableStatus::kUnavailable;
      claim = parsed ? std::optional<ClaimRow>(*parsed) : std::nullopt;
    }
  }
  UpdateLedger([&](ClaimLedger& ledger, TimePoint now) {
    return ledger.OnReadResult(read.id, status, claim, now);
  });
}

asio::awaitable<std::pair<provider::Transaction, std::set<ClaimKey>>>
ClaimService::BuildTransaction(const ClaimTransaction& transaction, bool* readable) {
  provider::Transaction rows;
  std::set<ClaimKey> conflicts;
  *readable = true;
  for (const ClaimWrite& write : transaction.writes) {
    const std::string row_key = ClaimRowKey(write.key);
    std::uint64_t version = 0;
    // The table compares versions, so the version of an expected row is read first. An insert needs
    // no read.
    if (write.expected) {
      const provider::ReadResult row = co_await AwaitRead(table_, row_key);
      if (!row) {
        *readable = false;
        break;
      }
      if (!ConditionHolds(write, *row)) {
        conflicts.insert(write.key);
      }
      version = row->version;
    }
    rows.conditions.push_back({.key = row_key, .version = version});
    provider::RowWrite row_write{.key = row_key};
    if (write.row) {
      row_write.value = FormatClaimRow(*write.row);
    }
    rows.writes.push_back(std::move(row_write));
  }
  co_return std::pair(std::move(rows), std::move(conflicts));
}

asio::awaitable<void> ClaimService::Commit(ClaimTransaction transaction) {
  bool readable = false;
  auto [rows, conflicts] = co_await BuildTransaction(transaction, &readable);
  TableStatus status = TableStatus::kUnavailable;
  if (readable && conflicts.empty()) {
    transactions_.Add();
    status = ToTableStatus(co_await AwaitCommit(table_, rows));
    if (status == TableStatus::kConflict) {
      // The table does not report which condition failed, so each row is read to find out.
      for (const ClaimWrite& write : transaction.writes) {
        const provider::ReadResult row = co_await AwaitRead(table_, ClaimRowKey(write.key));
        if (row && !ConditionHolds(write, *row)) {
          conflicts.insert(write.key);
        }
      }
    }
  } else if (readable) {
    status = TableStatus::kConflict;
  }
  if (status == TableStatus::kConflict) {
    conflicts_.Add();
  }
  std::vector<ClaimWriteResult> results;
  {
    const std::lock_guard lock(mutex_);
    results = committer_.OnResult(transaction.id, status, conflicts);
  }
  HandleWriteResults(results);
}

void ClaimService::HandleWriteResults(const std::vector<ClaimWriteResult>& results) {
  for (const ClaimWriteResult& result : results) {
    UpdateLedger([&result](ClaimLedger& ledger, TimePoint now) {
      return ledger.OnWriteResult(result.id, result.status, now);
    });
  }
}

}  // namespace savoryglade
