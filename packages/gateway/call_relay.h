#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>
#include <string_view>

#include "core/verdict.h"
#include "gateway/adapter.h"
#include "gateway/attempt.h"
#include "gateway/call.h"
#include "gateway/fleet_state.h"
#include "gateway/response_relay.h"
#include "gateway/stream_migrator.h"
#include "gateway/upstream_connection_pool.h"
#include "net/http_server.h"
#include "routing/fleet_load_balancer.h"

namespace savoryglade::gateway {

// Takes a request from a caller to upstreams, one after the other if need be. Decides nothing
// itself: where a request goes, whether it is admitted and whether it is repeated follow from the
// objects in FleetState. Used by one thread.
class CallRelay {
 public:
  CallRelay(FleetState& fleet, const MessageCodec& codec, UpstreamConnectionPool& connections,
            StreamMigrator& migrator)
      : fleet_(fleet),
        codec_(codec),
        connections_(connections),
        response_relay_(fleet, codec, connections, migrator) {}

  // Answers one request.
  boost::asio::awaitable<void> Handle(HttpExchange& exchange);

 private:
  static std::string_view OutcomeName(RelayOutcome outcome);

  Result<void> AdmitRequest(Call& call, Verdict& refusal);
  boost::asio::awaitable<void> SendUntilAnswered(Call& call);
  boost::asio::awaitable<RelayOutcome> TryUpstream(Call& call, const Placement& placement);
  boost::asio::awaitable<RelayOutcome> SendAttempt(Call& call, Attempt& attempt);
  // Chooses where the request goes next; nothing if it is to be refused.
  std::optional<Placement> SelectUpstream(Call& call, TimePoint now);
  void RecordFirstByte(Call& call, Attempt& attempt);
  void RecordUsage(Call& call, TimePoint now);
  bool CanRetry(const Call& call) const;
  boost::asio::awaitable<void> Reject(Call& call, Verdict verdict);
  Verdict NoUpstreamVerdict(const Call& call, TimePoint now) const;

  FleetState& fleet_;
  const MessageCodec& codec_;
  UpstreamConnectionPool& connections_;
  ResponseRelay response_relay_;
};

}  // namespace savoryglade::gateway
