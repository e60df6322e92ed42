#pragma once

#include <functional>
#include <string>
#include <utility>

#include "core/strong_id.h"
#include "core/time.h"
#include "gateway/adapter.h"
#include "gateway/fleet_report.h"
#include "gateway/fleet_state.h"
#include "routing/fleet_load_balancer.h"

namespace savoryglade::gateway {

inline constexpr const char* kUpstreamSignalsMetric = "savoryglade_gateway_upstream_signals_total";
inline constexpr const char* kUnwantedSendsMetric = "savoryglade_gateway_unwanted_sends_total";

// Records what upstreams say of themselves in the answers that pass through this daemon, and what
// peers report of it, and logs what is new. The objects in FleetState decide what follows from it.
// Not thread-safe.
class UpstreamSignalRecorder {
 public:
  struct Callbacks {
    // An upstream leaves, by its own word or by that of a peer.
    std::function<void(const UpstreamId&)> on_leaving;
    // Sends a report to the peers.
    std::function<void()> publish;
  };

  UpstreamSignalRecorder(FleetState& fleet, Callbacks callbacks)
      : fleet_(fleet), callbacks_(std::move(callbacks)) {}

  // Records an answer to the request of this id that was sent to the upstream at `sent_at`. The
  // record is that of the process that the connection leads to.
  void OnAnswer(const UpstreamRecord& upstream, const std::string& request,
                const ResponseMetadata& response, TimePoint sent_at);
  // Merges the notices and rejections in a peer's report.
  void OnReport(const FleetReport& report);
  // Merges a notice of which a peer has told this daemon.
  void OnPeerNotice(const ReportedNotice& notice, const DaemonId& peer);
  // Logs and counts a request that is sent to an upstream although it wants none.
  void OnSend(const UpstreamRecord& upstream, const std::string& request);

 private:
  void CountChange(const char* signal);

  FleetState& fleet_;
  Callbacks callbacks_;
};

}  // namespace savoryglade::gateway
