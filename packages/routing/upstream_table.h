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
#include "routing/candidate_finder.h"
#include "routing/hedge_budget.h"
#include "routing/prefix_map.h"
#include "routing/route_types.h"
#include "routing/routing_counters.h"
#include "routing/running_attempt.h"
#include "routing/upstream_entry.h"
#include "routing/upstream_group.h"
#include "tl/expected.hpp"

namespace savoryglade {

// Chooses the upstream of each attempt and keeps this daemon's state of each upstream. Not
// thread-safe: the daemon holds its lock during each call.
class UpstreamTable {
 public:
  explicit UpstreamTable(std::uint64_t seed, RoutingOptions options = {});

  // Applies the upstreams of a new configuration. Upstreams that remain keep their learned state;
  // one whose service, address or VM changed is treated as new.
  void Configure(const Configuration& configuration, TimePoint now);

  // Sets the fraction of each concurrency limit that this daemon may use, in (0, 1]. At least one
  // request per upstream is always allowed.
  void SetLimitShare(double share);

  // Returns true if an upstream of the service can accept one more request now.
  bool HasCapacity(const ServiceId& service, TimePoint now) const;

  // Chooses an upstream and reserves a slot on it until OnFinish. Fails with kNoUpstream if no
  // upstream of the service accepts the request, and with kRetryBudgetExhausted if a hedge is not
  // allowed. The counters show the exact cause.
  tl::expected<UpstreamId, Reason> Select(const RouteRequest& request, TimePoint now);

  // Returns when a running attempt should be hedged. If the instant is not after now, the caller
  // calls Select with hedge_of set; otherwise it asks again at that instant. Returns nothing if the
  // attempt must not or need not be hedged.
  std::optional<TimePoint> HedgeTime(AttemptId attempt, TimePoint now);

  // Records the first token of an attempt and its latency since dispatch.
  void OnFirstToken(const UpstreamId& upstream, Duration latency, TimePoint now,
                    AttemptId attempt = 0);

  // Records the number of tokens of an attempt received so far. Called repeatedly while it streams.
  void OnProgress(AttemptId attempt, int tokens, TimePoint now);

  // Releases the slot of an attempt and records its outcome.
  void OnFinish(const UpstreamId& upstream, const AttemptOutcome& outcome, TimePoint now);

  // Records a load report.
  void OnLoadReport(const UpstreamId& upstream, const LoadReport& report, TimePoint now);

  // Applies an event of an engine's prefix cache.
  void OnCacheEvent(const UpstreamId& upstream, const CacheEvent& event, TimePoint now);

  // Stops new work for an upstream that leaves. A withdrawn notice has leaving set to false.
  // Notices that are repeated, out of order or for an unknown upstream have no effect.
  void OnNotice(const UpstreamId& upstream, const LeaveNotice& notice, TimePoint now);
  void OnNotice(const UpstreamId& upstream, bool leaving, TimePoint now);

  // Returns true while the upstream is ejected as a straggler.
  bool IsStraggler(const UpstreamId& upstream) const;

  // Returns the number of requests that this daemon may run on an upstream, or zero if the upstream
  // is unknown.
  int LimitOf(const UpstreamId& upstream) const;

  // Returns the estimated work wasted by hedges, in seconds of one slot.
  double hedge_waste() const { return hedge_budget_.wasted(); }

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
  void RecordFailure(Entry& entry, AttemptResult result, TimePoint now);
  void RecordCompletion(Entry& entry, Group& group, const AttemptOutcome& outcome,
                        RunningAttempt& attempt, TimePoint now);
  // Returns the id of an attempt. An attempt without one is identified by its dispatch time.
  AttemptId ResolveAttempt(const UpstreamId& upstream, AttemptId attempt,
                           TimePoint dispatched) const;
  static void RemoveUnanswered(Entry& entry, AttemptId attempt);
  Entry* Find(const UpstreamId& upstream) const;
  Entry* Find(UpstreamNumber number) const;
  Group& GroupOf(const Entry& entry) { return groups_.at(entry.config.service); }

  Random random_;
  RoutingOptions options_;
  double limit_share_ = 1;
  std::map<UpstreamId, std::unique_ptr<Entry>> entries_;
  std::vector<Entry*> by_number_;
  std::map<ServiceId, Group> groups_;
  RunningAttemptMap attempts_;
  // Ids of attempts for which the caller gave none; ids given by callers are lower.
  static constexpr AttemptId kFirstInternalId = AttemptId{1} << 63;
  AttemptId next_internal_id_ = kFirstInternalId;
  PrefixMap prefixes_;
  HedgeBudget hedge_budget_;
  RoutingCounters counters_;
  CandidateFinder finder_;
  std::vector<Entry*> candidates_;
  PrefixMap::PromptLookup lookup_;
  Entry* affinity_upstream_ = nullptr;
};

}  // namespace savoryglade
