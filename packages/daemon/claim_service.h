#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <utility>
#include <vector>

#include "daemon/claim_gate.h"
#include "metrics/registry.h"
#include "provider/table.h"
#include "recovery/claim_committer.h"
#include "recovery/claim_ledger.h"

namespace savoryglade {

// How claims reach other daemons. Called on the context of the claim service.
struct ClaimPeers {
  // Sends a question to the owner of a claim; false if there is no link to it.
  std::function<bool(const ClaimQuery&)> send_query;
  // Sends an answer to the daemon that asked.
  std::function<void(const ClaimReply&)> send_reply;
};

struct ClaimServiceOptions {
  ClaimOwner owner;
  ClaimLedgerOptions ledger;
  ClaimCommitterOptions committer;
};

// Claims of this daemon in the platform's table: drives the claim ledger and the group commit with
// the table's results, the answers of other daemons and the clock. Safe to use from all workers;
// table operations and peer messages run on the given context, which must be stopped before the
// service is destroyed. Its lock comes after those of the scheduler and the upstream table.
class ClaimService : public ClaimGate {
 public:
  ClaimService(boost::asio::io_context& context, provider::Table& table,
               const ClaimServiceOptions& options, MetricRegistry& metrics);
  ~ClaimService() override;

  // Connects the service with the other daemons; to be called before Start.
  void SetPeers(ClaimPeers peers) { peers_ = std::move(peers); }

  // Starts the timer of the ledger.
  void Start();

  boost::asio::awaitable<ClaimResult> Claim(ClaimSubmission sending, TimePoint now) override;
  bool BeginDispatch(ClaimSubmissionId token, TimePoint now) override;
  void Release(ClaimSubmissionId token) override;
  Verdict GiveUp(ClaimSubmissionId token, Verdict verdict) override;
  void Complete(ClaimSubmissionId token, StoredResponse response) override;
  void MarkOutcomeUnknown(ClaimSubmissionId token) override;

  // Take messages of other daemons, and the news that one is dead.
  void OnQuery(const ClaimQuery& query);
  void OnReply(const ClaimReply& reply);
  void OnDaemonGone(const DaemonId& daemon);

  // Sets the time between two transactions of this daemon.
  void SetCommitInterval(Duration interval);

  // Returns true if no write is waiting, so that the daemon may stop without losing one.
  bool idle() const;

 private:
  struct Waiter;

  // Runs a call of the ledger under the lock and carries out what it wants.
  void Run(const std::function<ClaimActions(ClaimLedger&, TimePoint)>& call);
  void Execute(ClaimActions actions);
  void Deliver(ClaimSubmissionId submission_id, ClaimResult answer);
  boost::asio::awaitable<void> TickLoop();
  boost::asio::awaitable<void> ReadRow(ClaimRead read);
  boost::asio::awaitable<void> Commit(ClaimTransaction transaction);
  boost::asio::awaitable<std::pair<provider::Transaction, std::set<ClaimKey>>> Prepare(
      const ClaimTransaction& transaction, bool* readable);
  void HandleWriteResults(const std::vector<ClaimWriteResult>& results);

  boost::asio::io_context& context_;
  provider::Table& table_;
  ClaimOwner owner_;
  ClaimPeers peers_;
  mutable std::mutex mutex_;
  ClaimLedger ledger_;
  ClaimCommitter committer_;
  ClaimSubmissionId next_submission_id_ = 1;
  std::map<ClaimSubmissionId, std::shared_ptr<Waiter>> waiters_;
  // Verdicts of claims whose dispatch was refused, until their handlers ask for them.
  std::map<ClaimSubmissionId, Verdict> refused_;
  Counter& transactions_;
  Counter& conflicts_;
  Counter& replays_;
  Gauge& held_;
};

}  // namespace savoryglade
