#include "daemon/claim_service.h"

#include <boost/asio.hpp>
#include <optional>
#include <string>
#include <utility>

#include "daemon/claim_row_codec.h"
#include "daemon/platform_client.h"

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

// The table keeps one text for a response: its content type on the first line, then the body.
std::string JoinResponse(const StoredResponse& response) {
  return response.content_type + "\n" + response.body;
}

ClaimResult ToAnswer(const ClaimOutcome& outcome) {
  if (const auto* verdict = std::get_if<Verdict>(&outcome.result)) {
    ClaimResult refused{.kind = ClaimResult::Kind::kRefused, .verdict = *verdict};
    if (verdict->reason == Reason::kUpstreamLost) {
      // This sending met the claim of another one, which has lost its upstream.
      refused.verdict.reason = Reason::kClaimedElsewhere;
    }
    return refused;
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

// Returns the verdict that the actions hold for a sending.
std::optional<Verdict> FindVerdict(const ClaimActions& actions, ClaimSubmissionId submission_id) {
  for (const ClaimOutcome& outcome : actions.outcomes) {
    const auto* verdict = std::get_if<Verdict>(&outcome.result);
    if (outcome.submission_id == submission_id && verdict != nullptr) {
      return *verdict;
    }
  }
  return std::nullopt;
}

// A write finds its row as it expects it if the row is absent, or holds the expected claim.
bool ConditionHolds(const ClaimWrite& write, const provider::Row& row) {
  if (!write.expected) {
    return !row.exists();
  }
  const Result<ClaimRow> claim = ParseClaimRow(row.value);
  return row.exists() && claim && claim->state == ClaimState::kClaimed &&
         claim->token == *write.expected;
}

}  // namespace

// A coroutine that waits for the outcome of its sending. The timer only serves to wake it on its
// own executor.
struct ClaimService::Waiter {
  explicit Waiter(const asio::any_io_executor& executor) : timer(executor, TimePoint::max()) {}

  asio::steady_timer timer;
  std::optional<ClaimResult> answer;
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
      held_(metrics.GetGauge("savoryglade_claims_held")) {}

ClaimService::~ClaimService() = default;

void ClaimService::Start() { asio::co_spawn(context_, TickLoop(), asio::detached); }

void ClaimService::Run(const std::function<ClaimActions(ClaimLedger&, TimePoint)>& call) {
  ClaimActions actions;
  {
    const std::lock_guard lock(mutex_);
    actions = call(ledger_, Now());
    held_.Set(static_cast<std::int64_t>(ledger_.size()));
  }
  Execute(std::move(actions));
}

void ClaimService::Execute(ClaimActions actions) {
  for (const ClaimSubmissionId submission_id : actions.ready) {
    Deliver(submission_id, {.kind = ClaimResult::Kind::kGranted, .token = submission_id});
  }
  for (const ClaimOutcome& outcome : actions.outcomes) {
    Deliver(outcome.submission_id, ToAnswer(outcome));
  }
  if (actions.writes.empty() && actions.reads.empty() && actions.queries.empty() &&
      actions.replies.empty()) {
    return;
  }
  asio::post(context_, [this, actions = std::move(actions)] {
    std::vector<ClaimWriteResult> refused;
    {
      const std::lock_guard lock(mutex_);
      refused = committer_.Submit(owner_.daemon, actions.writes);
    }
    HandleWriteResults(refused);
    for (const ClaimRead& read : actions.reads) {
      asio::co_spawn(context_, ReadRow(read), asio::detached);
    }
    for (const ClaimQuery& query : actions.queries) {
      if (peers_.send_query) {
        peers_.send_query(query);
      }
    }
    for (const ClaimReply& reply : actions.replies) {
      if (peers_.send_reply) {
        peers_.send_reply(reply);
      }
    }
  });
}

void ClaimService::Deliver(ClaimSubmissionId submission_id, ClaimResult answer) {
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
  asio::post(waiter->timer.get_executor(), [waiter, answer = std::move(answer)] {
    waiter->answer = answer;
    waiter->timer.cancel();
  });
}

asio::awaitable<ClaimResult> ClaimService::Claim(ClaimSubmission sending, TimePoint /*now*/) {
  const auto waiter = std::make_shared<Waiter>(co_await asio::this_coro::executor);
  ClaimRequest request{.key = {.account = sending.identity.account,
                               .service = sending.identity.service,
                               .key = RequestKey(sending.identity.key)},
                       .body = sending.body,
                       .resend = sending.resend};
  {
    const std::lock_guard lock(mutex_);
    request.submission_id = next_submission_id_++;
    waiters_.emplace(request.submission_id, waiter);
  }
  Run([&request](ClaimLedger& ledger, TimePoint now) { return ledger.Acquire(request, now); });
  while (!waiter->answer) {
    co_await waiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  if (waiter->answer->kind == ClaimResult::Kind::kDone) {
    replays_.Add();
  }
  co_return *waiter->answer;
}

bool ClaimService::BeginDispatch(ClaimSubmissionId token, TimePoint now) {
  bool allowed = false;
  ClaimActions actions;
  {
    const std::lock_guard lock(mutex_);
    allowed = ledger_.BeginDispatch(token, now, &actions);
    if (const auto verdict = FindVerdict(actions, token)) {
      refused_[token] = *verdict;
    }
  }
  Execute(std::move(actions));
  return allowed;
}

void ClaimService::Release(ClaimSubmissionId token) {
  Run([token](ClaimLedger& ledger, TimePoint now) { return ledger.OnReportedNotRun(token, now); });
}

Verdict ClaimService::GiveUp(ClaimSubmissionId token, Verdict verdict) {
  ClaimActions actions;
  {
    const std::lock_guard lock(mutex_);
    const auto refused = refused_.find(token);
    if (refused != refused_.end()) {
      verdict = refused->second;
      refused_.erase(refused);
      return verdict;
    }
    actions = ledger_.GiveUp(token, verdict, Now());
    verdict = FindVerdict(actions, token).value_or(verdict);
  }
  Execute(std::move(actions));
  return verdict;
}

void ClaimService::Complete(ClaimSubmissionId token, StoredResponse response) {
  Run([&](ClaimLedger& ledger, TimePoint now) {
    return ledger.OnCompleted(token, static_cast<int>(response.status), JoinResponse(response),
                              now);
  });
}

void ClaimService::MarkOutcomeUnknown(ClaimSubmissionId token) {
  Run([token](ClaimLedger& ledger, TimePoint now) { return ledger.OnUpstreamLost(token, now); });
}

void ClaimService::OnQuery(const ClaimQuery& query) {
  Run([&query](ClaimLedger& ledger, TimePoint now) { return ledger.OnQuery(query, now); });
}

void ClaimService::OnReply(const ClaimReply& reply) {
  Run([&reply](ClaimLedger& ledger, TimePoint now) { return ledger.OnReply(reply, now); });
}

void ClaimService::OnDaemonGone(const DaemonId& daemon) {
  Run([&daemon](ClaimLedger& ledger, TimePoint now) { return ledger.OnDaemonGone(daemon, now); });
}

void ClaimService::SetCommitInterval(Duration interval) {
  const std::lock_guard lock(mutex_);
  committer_.SetInterval(interval);
}

bool ClaimService::idle() const {
  const std::lock_guard lock(mutex_);
  return committer_.idle() && ledger_.size() == 0;
}

asio::awaitable<void> ClaimService::TickLoop() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (true) {
    timer.expires_after(kTickInterval);
    co_await timer.async_wait(asio::use_awaitable);
    Run([](ClaimLedger& ledger, TimePoint now) { return ledger.Tick(now); });
    std::vector<ClaimWriteResult> expired;
    std::optional<ClaimTransaction> transaction;
    {
      const std::lock_guard lock(mutex_);
      expired = committer_.Expire(Now());
      transaction = committer_.NextTransaction(Now());
    }
    HandleWriteResults(expired);
    if (transaction) {
      asio::co_spawn(context_, Commit(std::move(*transaction)), asio::detached);
    }
  }
}

asio::awaitable<void> ClaimService::ReadRow(ClaimRead read) {
  const provider::ReadResult row = co_await AwaitRead(table_, ClaimRowName(read.key));
  TableStatus status = TableStatus::kUnavailable;
  std::optional<ClaimRow> claim;
  if (row) {
    status = TableStatus::kCommitted;
    if (row->exists()) {
      const Result<ClaimRow> parsed = ParseClaimRow(row->value);
      // A row that can't be read must not be taken for an absent one.
      status = parsed ? TableStatus::kCommitted : TableStatus::kUnavailable;
      claim = parsed ? std::optional<ClaimRow>(*parsed) : std::nullopt;
    }
  }
  Run([&](ClaimLedger& ledger, TimePoint now) {
    return ledger.OnReadResult(read.id, status, claim, now);
  });
}

asio::awaitable<std::pair<provider::Transaction, std::set<ClaimKey>>> ClaimService::Prepare(
    const ClaimTransaction& transaction, bool* readable) {
  provider::Transaction rows;
  std::set<ClaimKey> conflicts;
  *readable = true;
  for (const ClaimWrite& write : transaction.writes) {
    const std::string name = ClaimRowName(write.key);
    std::uint64_t version = 0;
    // The table compares versions, so the row of an expected claim is read for its version. An
    // insert needs no read.
    if (write.expected) {
      const provider::ReadResult row = co_await AwaitRead(table_, name);
      if (!row) {
        *readable = false;
        break;
      }
      if (!ConditionHolds(write, *row)) {
        conflicts.insert(write.key);
      }
      version = row->version;
    }
    rows.conditions.push_back({.key = name, .version = version});
    provider::RowWrite row_write{.key = name};
    if (write.row) {
      row_write.value = PrintClaimRow(*write.row);
    }
    rows.writes.push_back(std::move(row_write));
  }
  co_return std::pair(std::move(rows), std::move(conflicts));
}

asio::awaitable<void> ClaimService::Commit(ClaimTransaction transaction) {
  bool readable = false;
  auto [rows, conflicts] = co_await Prepare(transaction, &readable);
  TableStatus status = TableStatus::kUnavailable;
  if (readable && conflicts.empty()) {
    transactions_.Add();
    status = ToTableStatus(co_await AwaitCommit(table_, rows));
    if (status == TableStatus::kConflict) {
      // The table does not say which condition failed.
      for (const ClaimWrite& write : transaction.writes) {
        const provider::ReadResult row = co_await AwaitRead(table_, ClaimRowName(write.key));
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
    Run([&result](ClaimLedger& ledger, TimePoint now) {
      return ledger.OnWriteResult(result.id, result.status, now);
    });
  }
}

}  // namespace savoryglade
