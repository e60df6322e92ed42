#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>
#include <string_view>

#include "core/verdict.h"
#include "gateway/adapter.h"
#include "gateway/answer_relay.h"
#include "gateway/attempt.h"
#include "gateway/call.h"
#include "gateway/fleet_state.h"
#include "gateway/run_mover.h"
#include "gateway/upstream_connections.h"
#include "net/http_server.h"
#include "routing/fleet_load_balancer.h"

namespace savoryglade::gateway {

// Takes a request from a caller to upstreams, one after the other if need be. Decides nothing
// itself: where a request goes, whether it is admitted and whether it is repeated follow from the
// objects in FleetState. Used by one thread.
class CallRelay {
 public:
  CallRelay(FleetState& fleet, const CallCodec& codec, UpstreamConnections& connections,
            RunMover& mover)
      : fleet_(fleet),
        codec_(codec),
        connections_(connections),
        answers_(fleet, codec, connections, mover) {}

  // Answers one request.
  boost::asio::awaitable<void> Handle(HttpExchange& exchange);

 private:
  static std::string_view NameOf(Step step);

  Result<void> Prepare(Call& call, Verdict& refusal);
  boost::asio::awaitable<void> Run(Call& call);
  boost::asio::awaitable<Step> TryUpstream(Call& call, const Placement& placement);
  boost::asio::awaitable<Step> Exchange(Call& call, Attempt& attempt);
  // Chooses where the request goes next; nothing if it is to be refused.
  std::optional<Placement> NextPlacement(Call& call, TimePoint now);
  void NoteFirstByte(Call& call, Attempt& attempt);
  void CountBegun(Call& call, TimePoint now);
  bool MayRepeat(const Call& call) const;
  boost::asio::awaitable<void> Refuse(Call& call, Verdict verdict);
  Verdict NoUpstream(const Call& call, TimePoint now) const;

  FleetState& fleet_;
  const CallCodec& codec_;
  UpstreamConnections& connections_;
  AnswerRelay answers_;
};

}  // namespace savoryglade::gateway
