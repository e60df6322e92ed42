#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>

#include "core/strong_id.h"
#include "daemon/claim_service.h"
#include "daemon/dispatcher.h"
#include "daemon/peer_network.h"
#include "wire/connection_codec.h"

namespace savoryglade {

// Carries the usage of client accounts and the questions about claims between daemons. Runs on the
// context of the peer network.
class PeerExchange {
 public:
  // The claim service may be null; questions about claims are then not answered.
  PeerExchange(boost::asio::io_context& context, PeerNetwork& network, Dispatcher& dispatcher,
               std::shared_ptr<ClaimService> claims, FailureDomainId failure_domain);

  // Takes over the messages of the network and starts the timers. Safe to call before the context
  // runs.
  void Start();

 private:
  boost::asio::awaitable<void> UsageLoop();
  void SetCommitInterval();
  void SendUsage();
  void SendDomainUsage();
  void Handle(const DaemonId& from, const wire::MessageT& message);
  void OnUsage(const DaemonId& from, const wire::UsageSummaryT& message);
  void OnClaimQuery(const DaemonId& from, const wire::ClaimQueryT& message);
  void OnClaimReply(const wire::ClaimReplyT& message);
  bool SendQuery(const ClaimQuery& query);
  void SendReply(const ClaimReply& reply);

  boost::asio::io_context& context_;
  PeerNetwork& network_;
  Dispatcher& dispatcher_;
  std::shared_ptr<ClaimService> claims_;
  FailureDomainId failure_domain_;
};

}  // namespace savoryglade
