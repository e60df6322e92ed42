#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>

#include "core/strong_id.h"
#include "daemon/claim_service.h"
#include "daemon/crash_guard.h"
#include "daemon/dispatcher.h"
#include "daemon/peer_network.h"
#include "wire/connection_codec.h"

namespace savoryglade {

// Exchanges usage summaries of client accounts, crash records and claim queries with other daemons.
// Runs on the context of the peer network.
class PeerExchange {
 public:
  // The claim service may be null; claim queries then get no reply.
  PeerExchange(boost::asio::io_context& context, PeerNetwork& network, Dispatcher& dispatcher,
               std::shared_ptr<ClaimService> claims, CrashGuard& crashes,
               FailureDomainId failure_domain);

  // Starts handling the messages of the network and sending usage summaries. Safe to call before
  // the context runs.
  void Start();

 private:
  boost::asio::awaitable<void> UsageLoop();
  void SetCommitInterval();
  void SendDaemonUsage();
  void SendDomainUsage();
  // Sends the crash records that the crash guard selects to all live daemons.
  void SendCrashRecords();
  void OnCrashMark(const wire::CrashMarkT& message);
  void HandleMessage(const DaemonId& from, const wire::MessageT& message);
  void OnUsageSummary(const DaemonId& from, const wire::UsageSummaryT& message);
  void OnClaimQuery(const DaemonId& from, const wire::ClaimQueryT& message);
  void OnClaimReply(const wire::ClaimReplyT& message);
  bool SendClaimQuery(const ClaimQuery& query);
  void SendClaimReply(const ClaimReply& reply);

  boost::asio::io_context& context_;
  PeerNetwork& network_;
  Dispatcher& dispatcher_;
  std::shared_ptr<ClaimService> claims_;
  CrashGuard& crashes_;
  FailureDomainId failure_domain_;
};

}  // namespace savoryglade
