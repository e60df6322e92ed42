#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/strong_id.h"
#include "core/time.h"

namespace savoryglade {

struct ReclaimPlannerOptions {
  // Fraction of the time until a VM leaves that plans may use. The rest covers prediction errors
  // and moves that take longer than planned.
  double usable_fraction = 0.8;
  // Time for the messages of one move of a request, in addition to the transfer of its KV cache.
  Duration move_overhead = 50ms;
  // Fraction of the rate of a VM's network link that transfers may use.
  double link_fraction = 0.9;
  // A request without a free slot at a destination keeps running at its upstream while the outgoing
  // link of its VM has more spare time than this.
  Duration min_link_slack = 1s;
  // Rate at which an entry VM hands over streams.
  double handovers_per_second = 500;
  // Time to end a stream and to receive the confirmations of the two daemons that hold its stream
  // record.
  Duration handover_time = 500ms;
  // The notice for a VM or a failure domain is dropped this long after the announced departure.
  Duration notice_retention = 600s;
  // Maximum difference between the departure times of two copies of one notice. Each copy is timed
  // at its arrival.
  Duration duplicate_tolerance = 2s;
  std::size_t max_notices = 8192;
};

// Scope of a notice: one VM, or all VMs of a failure domain.
enum class NoticeScope : std::uint8_t { kVm, kFailureDomain };

// Notice that a VM or a failure domain will leave, or the withdrawal of such a notice.
struct Notice {
  NoticeScope scope = NoticeScope::kVm;
  // Name of what will leave: a VM if the scope is kVm, a failure domain if it is kFailureDomain.
  std::string name;
  // Departure time on the monotonic clock of this daemon.
  TimePoint departs_at;
  bool withdrawn = false;
};

// Upstream on a VM that will leave.
struct DepartingUpstream {
  UpstreamId upstream;
  VmId vm;
  FailureDomainId domain;
  // Rate at which its VM can send.
  double link_bytes_per_second = 0;
  // End of the transfers from its VM that have already begun.
  TimePoint link_busy_until;
};

// Request that runs on a departing upstream.
struct DepartingRequest {
  std::uint64_t request_id = 0;
  ServiceId service;
  UpstreamId upstream;
  // Prompt tokens and tokens generated so far. They are recomputed if the request is resumed at
  // another upstream.
  std::uint64_t context_tokens = 0;
  // Predicted time to completion at its current upstream.
  Duration remaining = Duration::zero();
  std::uint64_t kv_bytes = 0;
  // The request can't be moved: a dispatched may-not-repeat request, or a service without resume.
  bool pinned = false;
};

// Upstream that could accept requests.
struct Destination {
  UpstreamId upstream;
  ServiceId service;
  VmId vm;
  FailureDomainId domain;
  std::size_t free_slots = 0;
  std::uint64_t free_kv_bytes = 0;
  // Rate at which its VM can receive, and the end of the transfers to it that have already begun.
  double link_bytes_per_second = 0;
  TimePoint link_busy_until;
};

// kFinish: the request completes at its current upstream. kMove: the request is moved with its KV
// cache. kResume: the request is resumed at the destination from the delivered tokens. kWait: the
// request keeps running and is planned again; if its VM leaves first, it is resumed from the
// delivered tokens, as after any loss of an upstream.
enum class ReclaimAction : std::uint8_t { kFinish, kMove, kResume, kWait };

// Planned action for one request. Steps are ordered by start time.
struct ReclaimStep {
  std::uint64_t request_id = 0;
  ReclaimAction action = ReclaimAction::kFinish;
  // Set for kMove and kResume.
  UpstreamId destination;
  TimePoint begin;
  TimePoint end;
  // The KV cache arrives at the destination before a slot is free there; the request waits for a
  // slot.
  bool waits_for_slot = false;

  friend auto operator<=>(const ReclaimStep&, const ReclaimStep&) = default;
};

// Request held by an entry VM that will leave.
struct HeldRequest {
  std::uint64_t request_id = 0;
  // The request has not been dispatched yet.
  bool queued = false;
  // Predicted time to completion.
  Duration remaining = Duration::zero();
  // Dispatched may-not-repeat request, which can't be resumed by another daemon.
  bool pinned = false;
};

// kRelayToEnd: the request is relayed to its end. kHandOver: the stream ends with a `resume` event
// after both daemons that hold its stream record have confirmed it. kRefuse: the request is refused
// with `draining`, not run.
enum class DrainAction : std::uint8_t { kRelayToEnd, kHandOver, kRefuse };

struct DrainStep {
  std::uint64_t request_id = 0;
  DrainAction action = DrainAction::kRelayToEnd;
  TimePoint begin;

  friend auto operator<=>(const DrainStep&, const DrainStep&) = default;
};

// Plans what happens to the requests on VMs that will leave. Only the notices are stored: requests
// and destinations are passed in, so replanning does not depend on the previous plan. Not
// thread-safe: the daemon calls it under its own lock.
class ReclaimPlanner {
 public:
  explicit ReclaimPlanner(ReclaimPlannerOptions options) : options_(options) {}

  // Records a notice or its withdrawal. Of several notices for one VM or failure domain, the
  // earliest departure time counts. Returns true if the announced departure has changed and the
  // caller must plan again.
  bool OnNotice(const Notice& notice, TimePoint now);

  // Records that a VM or a failure domain is gone. Later notices for it are ignored. Returns true
  // if it was not known to be gone.
  bool OnGone(NoticeScope scope, const std::string& name, TimePoint now);

  // Records that a VM has started. If its failure domain was gone, the domain is available again.
  void OnStarted(const VmId& vm, const FailureDomainId& domain, TimePoint now);

  // Returns the time at which a VM leaves, or TimePoint::max() if no departure is announced.
  TimePoint DepartureTime(const VmId& vm, const FailureDomainId& domain) const;

  // Returns true if the VM must not get new requests.
  bool IsLeaving(const VmId& vm, const FailureDomainId& domain) const {
    return DepartureTime(vm, domain) != TimePoint::max();
  }

  // Plans the requests on departing upstreams. Destinations on departing VMs are not used. Moves
  // are ordered by the number of recomputed tokens that they save per second of transfer time.
  std::vector<ReclaimStep> Plan(const std::vector<DepartingUpstream>& departing_upstreams,
                                const std::vector<DepartingRequest>& requests,
                                std::vector<Destination> destinations, TimePoint now) const;

  // Plans the requests of an entry VM that will leave. The streams with the longest remaining time
  // are handed over first.
  std::vector<DrainStep> PlanDrain(const std::vector<HeldRequest>& held, TimePoint departs_at,
                                   TimePoint now) const;

  // Removes the notices for VMs and failure domains whose departure time passed notice_retention
  // ago. Must be called every few seconds.
  void Expire(TimePoint now);

  std::size_t size() const { return notices_.size(); }

 private:
  enum class State : std::uint8_t { kLeaving, kWithdrawn, kGone };

  struct Entry {
    State state = State::kLeaving;
    TimePoint departs_at;
  };

  using Key = std::pair<NoticeScope, std::string>;

  TimePoint UsableUntil(TimePoint departs_at, TimePoint now) const;

  ReclaimPlannerOptions options_;
  std::map<Key, Entry> notices_;
};

}  // namespace savoryglade
