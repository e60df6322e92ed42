#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <optional>

#include "core/verdict.h"
#include "gateway/call.h"
#include "gateway/fleet_state.h"
#include "routing/fleet_load_balancer.h"
#include "scheduling/admission_queue.h"

namespace savoryglade::gateway {

// Holds calls back until the admission queue of their service lets them be sent. The queues decide;
// this class waits. Not thread-safe.
class AdmissionGate {
 public:
  enum class Outcome : std::uint8_t {
    // The call may be sent to the upstream that was chosen.
    kStart,
    // The call has waited; an upstream has to be chosen again.
    kChooseAgain,
    // The call is refused, and has not run.
    kRefuse,
  };
  struct Result {
    Outcome outcome = Outcome::kStart;
    // Only for a refusal.
    Verdict verdict;
  };

  explicit AdmissionGate(FleetState& fleet) : fleet_(fleet) {}

  // Waits until a call that has not been sent yet may be sent, its caller leaves, or the daemon
  // stops. The placement is that of an upstream that accepts the call, or nothing if none does.
  boost::asio::awaitable<Result> Admit(Call& call, std::optional<Placement> placement);

  // Returns true if no upstream wants requests before the call would be late, so that it should not
  // wait.
  bool WaitsAreTooLong(const Call& call, TimePoint now) const;

 private:
  enum class WaiterState : std::uint8_t { kWaiting, kReleased, kExpired };

  ServiceLoad LoadOf(const ServiceId& service, bool has_place, TimePoint now);
  // Starts waiting calls of the service that may be sent, and ends the wait of those that wait in
  // vain.
  void Update(const WorkEstimate& work, TimePoint now);
  Result Refuse(Call& call, const AdmissionRequest& request, const ServiceLoad& load,
                Duration retry_after);

  FleetState& fleet_;
  Ticket next_ticket_ = 1;
  std::map<Ticket, WaiterState> waiters_;
};

}  // namespace savoryglade::gateway
