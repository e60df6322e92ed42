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
  // Part of the time left that plans may use. The rest covers prediction errors and late moves.
  double usable_fraction = 0.8;
  // Time for the messages of one move besides the transfer.
  Duration move_overhead = 50ms;
  // Part of a link's rate that transfers may use.
  double link_fraction = 0.9;
  // A request for which no slot is free waits where it is while the link has more spare time than
  // this.
  Duration parking_slack = 1s;
  // Streams that an entry VM hands over in a second.
  double hand_overs_per_second = 500;
  // Time that the end of a stream and the confirmations of its holders take.
  Duration hand_over_time = 500ms;
  // What is known of a VM is dropped this long after the instant at which it was to leave.
  Duration forget_after = 600s;
  // Instants of two copies of one notice differ by at most this, because each copy is timed at its
  // arrival.
  Duration copy_tolerance = 2s;
  std::size_t max_notices = 8192;
};

// The thing that leaves: one VM, or all VMs of a failure domain.
enum class NoticeScope : std::uint8_t { kVm, kFailureDomain };

// Notice that a VM or a failure domain leaves, or the withdrawal of that notice.
struct Notice {
  NoticeScope scope = NoticeScope::kVm;
  // Name of the VM or of the failure domain.
  std::string name;
  // On the monotonic clock of this daemon.
  TimePoint leaves;
  bool withdrawn = false;
};

// Upstream that leaves.
struct Departure {
  UpstreamId upstream;
  VmId vm;
  FailureDomainId domain;
  // Rate at which its VM sends.
  double link_bytes_per_second = 0;
  // End of the transfers that have begun.
  TimePoint link_busy_until;
};

// Request that runs on an upstream that leaves.
struct RunningWork {
  std::uint64_t ticket = 0;
  ServiceId service;
  UpstreamId upstream;
  // Prompt and generated tokens so far. A resume elsewhere computes them again.
  std::uint64_t context_tokens = 0;
  // Predicted time to its end where it is.
  Duration remaining = Duration::zero();
  std::uint64_t kv_bytes = 0;
  // It can only finish where it is: a dispatched may-not-repeat request, or a service without
  // resume.
  bool fixed = false;
};

// Upstream that could take work.
struct Destination {
  UpstreamId upstream;
  ServiceId service;
  VmId vm;
  FailureDomainId domain;
  std::size_t free_slots = 0;
  std::uint64_t free_kv_bytes = 0;
  // Rate at which its VM receives, and the end of the transfers that have begun.
  double link_bytes_per_second = 0;
  TimePoint link_busy_until;
};

// kFinish: let it end where it is. kMove: move it with its KV cache. kResume: resume it at the
// destination from the delivered tokens. kWait: let it run on and plan again; if its VM leaves
// first, it is resumed from the delivered tokens as after any loss of an upstream.
enum class ReclaimAction : std::uint8_t { kFinish, kMove, kResume, kWait };

// What to do with one request. Steps are in the order in which they begin.
struct ReclaimStep {
  std::uint64_t ticket = 0;
  ReclaimAction action = ReclaimAction::kFinish;
  // Set for kMove and kResume.
  UpstreamId destination;
  TimePoint begin;
  TimePoint end;
  // The KV cache arrives before a slot is free; the request waits for one at its destination.
  bool parked = false;

  friend auto operator<=>(const ReclaimStep&, const ReclaimStep&) = default;
};

// Request that an entry VM on notice holds.
struct HeldRequest {
  std::uint64_t ticket = 0;
  // Not yet dispatched.
  bool queued = false;
  // Predicted time to its end.
  Duration remaining = Duration::zero();
  // A dispatched may-not-repeat request; it can't be resumed by another daemon.
  bool fixed = false;
};

// kRelayToEnd: go on. kHandOver: after the two holders have confirmed the stream record, end the
// stream with a `resume` event. kRefuse: refuse with `draining`, not run.
enum class DrainAction : std::uint8_t { kRelayToEnd, kHandOver, kRefuse };

struct DrainStep {
  std::uint64_t ticket = 0;
  DrainAction action = DrainAction::kRelayToEnd;
  TimePoint begin;

  friend auto operator<=>(const DrainStep&, const DrainStep&) = default;
};

// Decides what happens to the requests of VMs that leave. Keeps only the notices; work and
// destinations are passed in, so a plan that is made again after a change needs nothing from the
// one before. Not safe to use from several threads: the daemon holds its lock.
class ReclaimPlanner {
 public:
  explicit ReclaimPlanner(ReclaimPlannerOptions options) : options_(options) {}

  // Takes a notice or its withdrawal. Of two notices for one name the earlier instant counts.
  // Returns true if something has changed, so that plans are to be made again.
  bool OnNotice(const Notice& notice, TimePoint now);

  // Takes the news that a VM or a failure domain is gone. Later notices for it change nothing.
  bool OnGone(NoticeScope scope, const std::string& name, TimePoint now);

  // Takes the news that a VM has started. One that starts in a failure domain that was gone shows
  // that the domain is back.
  void OnStarted(const VmId& vm, const FailureDomainId& domain, TimePoint now);

  // Returns the instant at which a VM leaves, or TimePoint::max() if it stays.
  TimePoint LeavesAt(const VmId& vm, const FailureDomainId& domain) const;

  // Returns true if the VM gets no new work.
  bool IsLeaving(const VmId& vm, const FailureDomainId& domain) const {
    return LeavesAt(vm, domain) != TimePoint::max();
  }

  // Plans the requests on upstreams that leave. Destinations that leave are not used. What spares
  // the most recomputed tokens for its time on the link moves first.
  std::vector<ReclaimStep> Plan(const std::vector<Departure>& departures,
                                const std::vector<RunningWork>& work,
                                std::vector<Destination> destinations, TimePoint now) const;

  // Plans the requests of an entry VM that leaves. Streams that would end last are handed over
  // first.
  std::vector<DrainStep> PlanDrain(const std::vector<HeldRequest>& held, TimePoint leaves,
                                   TimePoint now) const;

  // Drops what is known of VMs that left long ago. To be called every few seconds.
  void Expire(TimePoint now);

  std::size_t size() const { return notices_.size(); }

 private:
  enum class State : std::uint8_t { kLeaving, kWithdrawn, kGone };

  struct Entry {
    State state = State::kLeaving;
    TimePoint leaves;
  };

  using Key = std::pair<NoticeScope, std::string>;

  TimePoint Usable(TimePoint leaves, TimePoint now) const;

  ReclaimPlannerOptions options_;
  std::map<Key, Entry> notices_;
};

}  // namespace savoryglade
