#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "config/configuration.h"
#include "core/random.h"
#include "core/strong_id.h"
#include "core/time.h"
#include "core/verdict.h"
#include "routing/attempt_book.h"
#include "routing/candidate_finder.h"
#include "routing/hedge_budget.h"
#include "routing/prefix_map.h"
#include "routing/route_types.h"
#include "routing/routing_counters.h"
#include "routing/upstream_entry.h"
#include "routing/upstream_group.h"
#include "tl/expected.hpp"

namespace savoryglade {

// Chooses the upstream of each attempt and keeps what this daemon knows of each upstream. Not safe
// to use from several threads: the daemon holds its lock.
class UpstreamTable {
 public:
  explicit UpstreamTable(std::uint64_t seed, RoutingOptions options = {});

  // Takes the upstreams of a new configuration; those that stay keep what was learned of them. An
  // upstream whose address or VM changed is a new one.
  void Configure(const Configuration& configuration, TimePoint now);

  // Sets the part of each concurrency limit that this daemon may use, in (0, 1]. At least one
  // request is always allowed.
  void SetLimitShare(double share);

  // Returns true if an upstream of the service can take one more request now.
  bool HasCapacity(const ServiceId& service, TimePoint now) const;

  // Chooses an upstream and reserves a slot on it until OnFinish. The error is kNoUpstream if no
  // upstream of the service takes work, and kRetryBudgetExhausted if a hedge is not allowed; the
  // counters say more.
  tl::expected<UpstreamId, Reason> Select(const RouteRequest& request, TimePoint now);

  // Returns when a running attempt should be hedged: an instant that has come means now, by a
  // Select with hedge_of set; a later instant means to ask again then. Nothing is returned if the
  // attempt must not or need not be hedged.
  std::optional<TimePoint> HedgeTime(AttemptId attempt, TimePoint now);

  // Records the latency of a first token, in time from dispatch.
  void OnFirstToken(const UpstreamId& upstream, Duration latency, TimePoint now,
                    AttemptId attempt = 0);

  // Records how many tokens of an attempt have arrived so far. To be called now and then.
  void OnProgress(AttemptId attempt, int tokens, TimePoint now);

  // Frees the slot of an attempt and learns from its outcome.
  void OnFinish(const UpstreamId& upstream, const AttemptOutcome& outcome, TimePoint now);

  // Takes a load report.
  void OnLoadReport(const UpstreamId& upstream, const LoadReport& report, TimePoint now);

  // Takes an event of an engine's prefix cache.
  void OnCacheEvent(const UpstreamId& upstream, const CacheEvent& event, TimePoint now);

  // Gives no new work to an upstream that leaves. A notice that is withdrawn has leaving set to
  // false. Notices that are repeated, out of order or for an unknown upstream have no effect.
  void OnNotice(const UpstreamId& upstream, const LeaveNotice& notice, TimePoint now);
  void OnNotice(const UpstreamId& upstream, bool leaving, TimePoint now);

  // Returns true while the upstream is left as a straggler.
  bool IsStraggler(const UpstreamId& upstream) const;

  // Returns the concurrency limit of an upstream for this daemon, or zero if it is unknown.
  int LimitOf(const UpstreamId& upstream) const;

  // Returns the estimated work that hedges did twice, in seconds of one slot.
  double hedge_waste() const { return hedge_budget_.wasted(); }

  // Returns the counters.
  const RoutingCounters& counters() const { return counters_; }

 private:
  using Entry = UpstreamEntry;
  using Group = UpstreamGroup;

  void FindCandidates(const RouteRequest& request);
  Entry* ChooseCandidate(Group& group, const RouteRequest& request, TimePoint now);
  PrefixMatch ExpectedMatch(const Entry& entry, const RouteRequest& request) const;
  double Score(const Entry& entry, const RouteRequest& request, TimePoint now) const;
  void Start(Entry& entry, Group& group, const RouteRequest& request, bool probe, TimePoint now);
  void SettleHedge(const RunningAttempt& attempt, AttemptId id, AttemptResult result,
                   TimePoint now);
  void LearnFailure(Entry& entry, AttemptResult result, TimePoint now);
  void LearnCompletion(Entry& entry, Group& group, const AttemptOutcome& outcome,
                       RunningAttempt& attempt, TimePoint now);
  // Returns the number of an attempt. An attempt without one is found by its time of dispatch.
  AttemptId Resolve(const UpstreamId& upstream, AttemptId attempt, TimePoint dispatched) const;
  static void StopWaiting(Entry& entry, AttemptId attempt);
  Entry* Find(const UpstreamId& upstream) const;
  Entry* Find(UpstreamNumber number) const;
  Group& GroupOf(const Entry& entry) { return groups_.at(entry.config.service); }

  Random random_;
  RoutingOptions options_;
  double limit_share_ = 1;
  std::map<UpstreamId, std::unique_ptr<Entry>> entries_;
  std::vector<Entry*> by_number_;
  std::map<ServiceId, Group> groups_;
  AttemptBook attempts_;
  // Numbers for attempts that the caller gave none; callers' numbers stay below.
  static constexpr AttemptId kFirstUnnumbered = AttemptId{1} << 63;
  AttemptId next_unnumbered_ = kFirstUnnumbered;
  PrefixMap prefixes_;
  HedgeBudget hedge_budget_;
  RoutingCounters counters_;
  CandidateFinder finder_;
  std::vector<Entry*> candidates_;
  PrefixMap::View view_;
  Entry* home_ = nullptr;
};

}  // namespace savoryglade
