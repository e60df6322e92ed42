#pragma once

#include <boost/asio/awaitable.hpp>

#include "gateway/adapter.h"
#include "gateway/attempt.h"
#include "gateway/call.h"
#include "gateway/fleet_state.h"
#include "gateway/stream_migrator.h"
#include "gateway/upstream_connection_pool.h"

namespace savoryglade::gateway {

// Reads the answer to an attempt and passes it on to the caller: small ones once they are whole, so
// that a broken one can be repeated, and streams event by event. Used by one thread.
class ResponseRelay {
 public:
  ResponseRelay(FleetState& fleet, const MessageCodec& codec, UpstreamConnectionPool& connections,
                StreamMigrator& migrator)
      : fleet_(fleet), codec_(codec), connections_(connections), migrator_(migrator) {}

  // Reads headers until one belongs to the request. Returns its status, or zero if none came.
  boost::asio::awaitable<unsigned> ReadHeader(Call& call, Attempt& attempt);

  // Passes the answer behind a header on.
  boost::asio::awaitable<RelayOutcome> RelayBuffered(Call& call, Attempt& attempt, unsigned status);
  boost::asio::awaitable<RelayOutcome> RelayStream(Call& call, Attempt& attempt, unsigned status);

 private:
  // Passes the events of one upstream on until its stream ends in some way.
  boost::asio::awaitable<RelayOutcome> RelayEvents(Call& call, Attempt& attempt, unsigned status);
  // Longest wait for the next bytes of an answer.
  Duration ResponseTimeout(const Call& call, const Attempt& attempt, TimePoint now) const;
  // IdleEntry connections that are kept to an upstream of the call's service.
  std::size_t MaxIdleConnections(const Call& call) const;
  // Logs and counts a request that has its whole answer.
  void RecordResponse(const Call& call, const Attempt& attempt, unsigned status);

  FleetState& fleet_;
  const MessageCodec& codec_;
  UpstreamConnectionPool& connections_;
  StreamMigrator& migrator_;
};

}  // namespace savoryglade::gateway
