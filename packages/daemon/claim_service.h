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

// Sends claim messages to other daemons. Called on the context of the claim service.
struct ClaimPeerTransport {
  // Sends a query to the owner of a claim. Returns false if there is no link to it.
  std::function<bool(const ClaimQuery&)> send_query;
  // Sends a reply to the daemon that sent the query.
  std::function<void(const ClaimReply&)> send_reply;
};

struct ClaimServiceOptions {
  ClaimOwner owner;
  ClaimLedgerOptions ledger;
  ClaimCommitterOptions committer;
};

// Stores this daemon's claims in the platform's table. Drives the claim ledger and the group commit
// with the table's results, the replies of other daemons and the clock. Safe to use from all
// workers; table operations and peer messages run on the given context, which must be stopped
// before the service is destroyed. Its lock is acquired after those of the scheduler and the
// upstream table.
class ClaimService : public ClaimGate {
 public:
  ClaimService(boost::asio::io_context& context, provider::Table& table,
               const ClaimServiceOptions& options, MetricRegistry& metrics);
  ~ClaimService() override;

  // Sets the transport to the other daemons. Must be called before Start.
  void SetPeerTransport(ClaimPeerTransport transport) { peer_transport_ = std::move(transport); }

  // Starts the timer that drives the ledger and the commits.
  void Start();

  boost::asio::awaitable<ClaimResult> Claim(ClaimSubmission submission, TimePoint now) override;
  bool BeginDispatch(ClaimSubmissionId submission_id, TimePoint now) override;
  void Release(ClaimSubmissionId submission_id) override;
  Verdict GiveUp(ClaimSubmissionId submission_id, Verdict verdict) override;
  void Complete(ClaimSubmissionId submission_id, StoredResponse response) override;
  void MarkOutcomeUnknown(ClaimSubmissionId submission_id) override;
  void Flush() override;
  std::size_t unwritten_claims() const override;

  // Handle messages of other daemons, and the death of one.
  void OnQuery(const ClaimQuery& query);
  void OnReply(const ClaimReply& reply);
  void OnDaemonDead(const DaemonId& daemon);

  // Sets the interval between transactions of this daemon. Has no effect after Flush.
  void SetCommitInterval(Duration interval);

 private:
  struct Waiter;

  // Calls the ledger under the lock and executes the actions that it returns.
  void UpdateLedger(const std::function<ClaimActions(ClaimLedger&, TimePoint)>& call);
  void ExecuteActions(ClaimActions actions);
  void DeliverResult(ClaimSubmissionId submission_id, ClaimResult result);
  boost::asio::awaitable<void> TickLoop();
  boost::asio::awaitable<void> ReadRow(ClaimRead read);
  boost::asio::awaitable<void> Commit(ClaimTransaction transaction);
  // Returns the table transaction of a group commit, and the claims whose row does not satisfy the
  // condition of its write. Sets `readable` to false if a row could not be read.
  boost::asio::awaitable<std::pair<provider::Transaction, std::set<ClaimKey>>> BuildTransaction(
      const ClaimTransaction& transaction, bool* readable);
  void HandleWriteResults(const std::vector<ClaimWriteResult>& results);

  boost::asio::io_context& context_;
  provider::Table& table_;
  ClaimOwner owner_;
  ClaimPeerTransport peer_transport_;
  mutable std::mutex mutex_;
  ClaimLedger ledger_;
  ClaimCommitter committer_;
  bool flushing_ = false;
  ClaimSubmissionId next_submission_id_ = 1;
  std::map<ClaimSubmissionId, std::shared_ptr<Waiter>> waiters_;
  // Verdicts of claims whose dispatch was rejected, kept until GiveUp returns them.
  std::map<ClaimSubmissionId, Verdict> rejected_dispatches_;
  Counter& transactions_;
  Counter& conflicts_;
  Counter& replays_;
  Gauge& held_claims_;
};

}  // namespace savoryglade
