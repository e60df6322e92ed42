#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/prefix_hash.h"
#include "core/random.h"
#include "core/report_source.h"
#include "core/strong_id.h"
#include "core/time.h"
#include "routing/engine_speeds.h"
#include "routing/prompt_time_model.h"
#include "routing/upstream_signals.h"

namespace savoryglade {

// Registration of one upstream.
struct UpstreamRecord {
  UpstreamId id;
  ServiceId service;
  // IP address and port.
  std::string address;
  FailureDomainId failure_domain;
  // Number of requests that the upstream runs at the same time.
  int slots = 1;
  // True after it announced that it leaves, in its registration or in an answer; it then receives
  // no new work.
  bool leaving = false;
  bool reclaimable = false;
  // True while its registration is missing but may come back; it is used only if no other upstream
  // accepts work.
  bool doubtful = false;
  // Start time of its process in milliseconds of Unix time; 0 if unknown.
  std::int64_t started_ms = 0;
  // Version of its software, any text; empty if unknown.
  std::string software_version;

  friend auto operator<=>(const UpstreamRecord&, const UpstreamRecord&) = default;
};

// Segment of a prompt that requests may share. A part is reused only if all parts before it are.
struct PromptPart {
  std::uint64_t id = 0;
  double tokens = 0;

  friend auto operator<=>(const PromptPart&, const PromptPart&) = default;
};

// Which versions may run a request while one of them is limited; see VersionLimit.
enum class VersionChoice : std::uint8_t {
  // Those without a limit, unless the limited one takes all requests.
  kUnlimited,
  // Only the limited one.
  kLimited,
};

// Limit on one software version of a service, for example while it is rolled out.
struct VersionLimit {
  // Number of its upstreams that may be chosen, the same ones at all daemons. Negative for all.
  int upstreams = 0;
  // Whether the other versions get no requests.
  bool exclusive = false;
  // Instant from which the version gets nothing, and is not exclusive any more.
  TimePoint valid_until = TimePoint::max();

  friend auto operator<=>(const VersionLimit&, const VersionLimit&) = default;
};

// Upstreams of one version of a service, or of all others, without those that leave; and the
// requests that run on any of them, as far as known.
struct VersionUse {
  int upstreams = 0;
  int slots = 0;
  int running = 0;

  friend auto operator<=>(const VersionUse&, const VersionUse&) = default;
};

// Properties of a request that determine the choice of an upstream.
struct WorkEstimate {
  ServiceId service;
  // Zero for requests to a plain service, which does not generate tokens.
  double prompt_tokens = 0;
  double output_tokens = 0;
  std::vector<PromptPart> parts;
  // Key of the only software version that may run the request, by SoftwareVersionKey.
  std::optional<std::uint64_t> required_version;
  VersionChoice version_choice = VersionChoice::kUnlimited;

  bool IsGeneration() const { return prompt_tokens > 0; }
};

// Load on one upstream from the requests of one daemon or of a group of daemons.
struct UpstreamLoad {
  int running = 0;
  // Prompt tokens of the requests that have not produced a first token yet.
  double waiting_tokens = 0;
  // True if one of the daemons whose requests make up this load avoids the upstream, because
  // requests that the daemon sent there failed, or because the upstream has sent nothing for too
  // long although requests are unanswered.
  bool suspect = false;

  friend auto operator<=>(const UpstreamLoad&, const UpstreamLoad&) = default;
};

// Entry of a load report: load on one upstream, which is identified by FleetLoadBalancer::KeyOf.
struct ReportedLoad {
  std::uint64_t upstream = 0;
  UpstreamLoad load;

  friend auto operator<=>(const ReportedLoad&, const ReportedLoad&) = default;
};

// Load of the upstreams of a service.
struct MeanLoad {
  // Prompt tokens that wait at an upstream.
  double waiting_tokens = 0;
  // Fraction of the slots that are taken.
  double slot_use = 0;

  friend auto operator<=>(const MeanLoad&, const MeanLoad&) = default;
};

// Outcome of an attempt to run a request on an upstream, as far as it shows the upstream's state.
// kNoPath means that this daemon does not reach the upstream, which may be sound.
enum class AttemptEnd : std::uint8_t {
  kAnswered,
  kFailed,
  kUnreachable,
  kRefused,
  kCancelled,
  kNoPath
};

// Throughput of a model engine, and cost weights and timeouts of the load balancer.
struct FleetLoadBalancerOptions {
  FailureDomainId local_domain;
  // Prompt tokens that an engine without other work processes per second; from the operators'
  // engine specification. What loaded engines reach is learned; see PromptTimeModel.
  double prompt_tokens_per_s = 55'000;
  // Engine time of one output token in a batch of usual size, in seconds.
  double output_token_s = 0.0001;
  // Delay that each running request adds to a new request, in seconds.
  double cost_per_running_request_s = 0.004;
  // One-way latency to another failure domain, in seconds.
  double remote_latency_s = 0.001;
  // An upstream with unanswered requests is avoided if it sends nothing for this long beyond the
  // expected prompt time.
  Duration silence_timeout = 700ms;
  // Time for which an upstream is avoided after it was unreachable once; it doubles with each
  // further failure in a row, up to max_pause. A single failed answer does not cause a pause.
  Duration initial_pause = 500ms;
  Duration max_pause = 6s;
  // Maximum age of the slowness (1 is normal speed) that an upstream reports; the value changes
  // many times per second.
  Duration slowness_lifetime = 500ms;
  // Requests admitted per slot of an upstream of a plain service. Excess requests queue there for
  // about ten milliseconds, which is shorter than a retry after a rejection.
  int plain_requests_per_slot = 2;
  // Maximum age of load reports from other daemons.
  Duration report_lifetime = 1500ms;
  // Upstreams drawn at random that are compared for each choice, beside those that are likely to
  // hold the prompt; zero to compare all. Daemons that hold the same reports choose the same
  // upstream if each compares all.
  int random_candidates = 0;
  std::uint64_t seed = 1;
};

// The chosen upstream and the number of prompt tokens that it must process.
struct Placement {
  UpstreamRecord upstream;
  double uncached_tokens = 0;
  // Prompt tokens that wait at an upstream of the service, on average.
  double tokens_ahead = 0;
  // Expected time to the first token, or to the answer of a plain service.
  Duration expected = Duration::zero();
};

// Chooses the upstream for each attempt to run a request by the load of the whole fleet: the
// daemon's own requests, which count at once, and the load that peers report. Requests that share a
// prompt have an affinity upstream, which rendezvous hashing selects equally in all daemons without
// communication. Another upstream is chosen when the queue there costs more than processing the
// prompt again. Not thread-safe.
class FleetLoadBalancer {
 public:
  explicit FleetLoadBalancer(FleetLoadBalancerOptions options)
      : options_(std::move(options)), random_(options_.seed) {}

  // Returns the key of an upstream in load reports.
  static std::uint64_t KeyOf(const UpstreamId& id) { return Fnv1aHash(id.value()); }

  // Returns a key of the upstream's process, which changes when it starts again under its id.
  static std::uint64_t ProcessKeyOf(const UpstreamRecord& record);

  // What the upstreams say of themselves, by ProcessKeyOf. An upstream that may not be sent to now
  // is not chosen and has no free slots.
  UpstreamSignals& signals() { return signals_; }
  const UpstreamSignals& signals() const { return signals_; }

  // Lasting speeds of the engines, by ProcessKeyOf.
  EngineSpeeds& speeds() { return speeds_; }
  // Returns the number of engines that are lastingly faster or slower than others of their service.
  int UnevenEngines() const;

  // Sets the number of upstreams that are compared for each choice; see the options.
  void SetRandomCandidates(int candidates) { options_.random_candidates = candidates; }

  // Sets the number of daemons that send requests to the upstreams.
  void SetDaemonCount(int daemons) { daemons_ = daemons; }

  // Sets the maximum age of load reports from peers.
  void SetReportLifetime(Duration lifetime) { options_.report_lifetime = lifetime; }

  // Adds or updates an upstream. A changed start time or address discards its learned state. An
  // upstream that has said that it leaves stays one, whatever the record says.
  void Update(const UpstreamRecord& record);
  void Remove(const UpstreamId& id);
  // Prevents an upstream from being chosen before this instant.
  void Hold(const UpstreamId& id, TimePoint until);
  const UpstreamRecord* Find(const UpstreamId& id) const;
  std::vector<UpstreamRecord> Records() const;

  // Replaces the limits on the versions of a service, by the versions' keys.
  void SetVersionLimits(const ServiceId& service, std::map<std::uint64_t, VersionLimit> limits);
  // Returns true unless a limit excludes the upstream now, for a request that was chosen earlier.
  bool MayReceive(const UpstreamId& id, TimePoint now) const;
  // Returns the keys of the versions of each service, those of leaving upstreams included.
  std::map<ServiceId, std::set<std::uint64_t>> Versions() const;
  // Returns the use of a version of a service, and of all its other versions.
  std::pair<VersionUse, VersionUse> UseOf(const ServiceId& service, std::uint64_t version,
                                          TimePoint now);

  // Chooses an upstream of the service that is not excluded and has the required version. Returns
  // nothing if none accepts work.
  std::optional<Placement> Choose(const WorkEstimate& work, const std::vector<UpstreamId>& excluded,
                                  TimePoint now);

  // Returns true if Choose finds an upstream for such a request.
  bool HasPlace(const WorkEstimate& work, TimePoint now);

  // Returns the first instant at which an upstream of the service wants requests again, if all that
  // do not leave and have the required version want none for a while.
  std::optional<TimePoint> NextWaitEnd(const WorkEstimate& work, TimePoint now) const;

  // Returns true if an upstream of the service that does not leave has this version, and the
  // version is not excluded by a limit.
  bool HasVersion(const ServiceId& service, std::uint64_t version) const;
  // Returns the version of all upstreams of the service, those that leave included, or nothing if
  // there are several versions or no upstreams.
  std::optional<std::uint64_t> OnlyVersion(const ServiceId& service) const;

  // Returns the estimated engine time of a request, in seconds.
  double WorkSeconds(const WorkEstimate& work, double uncached_tokens) const {
    return uncached_tokens / options_.prompt_tokens_per_s +
           work.output_tokens * options_.output_token_s;
  }

  // Returns the load of a sound upstream of the service, on average.
  MeanLoad MeanLoadOf(const ServiceId& service);

  // Returns the expected time until the first event of a request with this many uncached tokens
  // that is sent now.
  Duration PredictFirstEvent(const ServiceId& service, double uncached_tokens, TimePoint now);

  // Returns the load of the service as a number of fully occupied upstreams. One that names a rate
  // limit or wants no requests takes no more than it gets, so it counts as fully occupied.
  double BusyUpstreams(const ServiceId& service, TimePoint now);

  // Returns the number of requests that can be admitted until all upstreams of the service, or all
  // of those that have the required version, are full.
  int FreeSlots(const ServiceId& service, TimePoint now,
                std::optional<std::uint64_t> required_version = std::nullopt);

  // Record the progress of one attempt to run a request on an upstream, in this order: sent, first
  // byte, end.
  void OnSent(const UpstreamId& id, const WorkEstimate& work, double uncached_tokens,
              TimePoint now);
  void OnFirstByte(const UpstreamId& id, double uncached_tokens, TimePoint now);
  void OnBytes(const UpstreamId& id, TimePoint now);
  // Records the time from the send of a request to the first event of its stream.
  void OnFirstEvent(const ServiceId& service, const PromptWork& work, Duration taken,
                    TimePoint now);
  // first_byte is true if OnFirstByte was called for the attempt.
  void OnEnd(const UpstreamId& id, double uncached_tokens, bool first_byte, AttemptEnd end,
             TimePoint now);

  // Records that the upstream has been silent for too long during a request, which goes on.
  void OnSilence(const UpstreamId& id, TimePoint now);

  // Records that this daemon does not reach the upstream, which may be sound.
  void OnPathLost(const UpstreamId& id);

  // Replaces the last load report of a daemon or of a group of daemons. Upstreams that the new
  // report does not list have no load from these daemons.
  void OnReport(const ReportSource& source, std::vector<ReportedLoad> loads, TimePoint now);
  // Discards the load reports of this scope, i.e. of all daemons or of all groups of this kind.
  void DiscardReports(ReportScope scope);
  // Returns the load that a report of this scope states: that of this daemon, of this daemon and
  // those that report to it, or of the failure domains that report to it.
  std::vector<ReportedLoad> AggregateLoad(ReportScope scope, TimePoint now);

  // Records what an upstream says of itself in an answer to a request that was sent at `sent_at`.
  // The record is that of the process that the request was sent to.
  UpstreamSignalChanges OnSignal(const UpstreamRecord& upstream, const UpstreamSignal& signal,
                                 TimePoint sent_at, TimePoint now);
  // Merges a notice that a peer reports. Returns the upstream if it is registered and the notice
  // was not known.
  std::optional<UpstreamId> OnReportedNotice(const ReportedNotice& reported, TimePoint now);
  // Merges a rejection by a brittle upstream that a peer reports.
  void OnReportedRejection(const ReportedNotice& reported, TimePoint now);
  // Returns the notices of registered upstreams whose registrations do not show them.
  std::vector<ReportedNotice> SelectNoticesForReport(std::size_t limit, TimePoint now) const;

 private:
  // Sum of the load reports for one upstream.
  struct Reported {
    int running = 0;
    double waiting_tokens = 0;
    int suspect_reports = 0;

    void Add(const UpstreamLoad& load, int sign);
  };
  struct Entry {
    UpstreamRecord record;
    std::uint64_t key = 0;
    std::uint64_t process = 0;
    std::uint64_t version = 0;
    // Whether the registration shows that the upstream leaves.
    bool registered_as_leaving = false;
    // Model of the service; owned by the balancer.
    PromptTimeModel* prompt_time = nullptr;
    UpstreamLoad own;
    Reported reported;
    int failures = 0;
    TimePoint paused_until{};
    // True since this daemon lost its path to the upstream, until the upstream answers. What the
    // daemon sees of the upstream meanwhile does not show the upstream's state.
    bool path_lost = false;
    // Whether the limit on its version lets it be chosen.
    bool is_open = true;
    TimePoint held_until{};
    TimePoint last_bytes{};
    // Dispatch times of the requests for which the upstream has not sent a first byte.
    std::deque<TimePoint> unanswered;
    double slowness = 1;
    // Time that work lastingly takes at the engine, as a multiple of the mean of its service.
    double speed_factor = 1;
    // Fraction of the engine's streams with a longer pause than their callers accept.
    double late_fraction = 0;
    int reported_running = 0;
    TimePoint reported_at{};
    // Prompt parts that this daemon sent to the upstream, with the time of the last dispatch.
    std::unordered_map<std::uint64_t, TimePoint> parts;
  };
  struct Report {
    TimePoint received;
    std::vector<ReportedLoad> loads;
  };

  PromptTimeModel& FindOrCreateModel(const ServiceId& service);
  void AddReport(const Report& report, int sign);
  void ExpireReports(TimePoint now);
  void RemoveFromIndexes(const Entry& entry);
  // Avoids an upstream for a while after failures in a row, or at once if it was unreachable.
  void RecordFailure(Entry& entry, bool is_unreachable, TimePoint now) const;
  UpstreamLoad FleetLoad(const Entry& entry, TimePoint now) const;
  bool IsSilent(const Entry& entry, TimePoint now) const;
  MeanLoad MeanLoadOf(const std::vector<Entry*>& entries) const;
  // Updates the speed factors of all engines if they are older than kSpeedUpdateInterval.
  void UpdateSpeedFactors(TimePoint now);
  // Returns the last reported slowness, or 1 (normal speed) if the report has expired.
  double CurrentSlowness(const Entry& entry, TimePoint now) const;
  bool MaySend(const Entry& entry, TimePoint now) const {
    return signals_.MaySend(entry.process, entry.record.failure_domain, now);
  }
  // Marks the upstreams of limited versions that may be chosen.
  void UpdateOpenUpstreams(const ServiceId& service);
  // Returns the limit on a version of the service that is in force, or null. An expired one is in
  // force without upstreams.
  const VersionLimit* LimitOf(const Entry& entry) const;
  // Returns true if the limits on versions allow such a request at the upstream.
  bool IsAllowed(const Entry& entry, VersionChoice choice, bool requires_version,
                 TimePoint now) const;
  bool IsExclusive(const ServiceId& service, TimePoint now) const;
  // Returns true if the upstream has a place for the work beside its load.
  bool HasPlace(const Entry& entry, const WorkEstimate& work, const UpstreamLoad& load,
                TimePoint now) const;
  // Prolongs the sharing of the service's slots until this instant.
  void ShareSlotsUntil(const ServiceId& service, TimePoint end);
  // Lets the daemons share the slots of the upstream's service if it has rejected a request.
  void OnLastRejection(std::uint64_t process);
  // Records that an upstream of the service was brittle at this instant.
  void OnBrittle(const ServiceId& service, TimePoint at);
  // Returns true if the upstream is brittle, or another one of its service was recently: the
  // upstreams of a service are brittle at the same time, and this daemon may have had no answer of
  // some.
  bool IsBrittle(const Entry& entry, TimePoint now) const;
  // Lets the daemons share the slots of a busy service with brittle upstreams.
  void ShareSlotsIfBusy(const ServiceId& service, TimePoint now);
  // Returns true if a brittle upstream, which crashes if it rejects too many requests, has a place.
  // While the service is busy, and for a while after a rejection, all daemons together send its
  // upstreams no more than they have places for.
  bool HasBrittlePlace(const Entry& entry, const UpstreamLoad& load, TimePoint now) const;
  double UncachedTokens(const Entry& entry, const WorkEstimate& work, bool affinity_upstream) const;
  double Score(const Entry& entry, const WorkEstimate& work, const UpstreamLoad& load,
               double uncached, TimePoint now) const;

  // Upstream with the best score, or none.
  struct Choice {
    const Entry* entry = nullptr;
    double score = 0;
    double uncached = 0;
  };

  // Returns the upstreams that may be sent such a request, or those in doubt if there are no
  // others.
  std::vector<const Entry*> UsableEntries(const WorkEstimate& work,
                                          const std::vector<UpstreamId>& excluded, TimePoint now);
  // Returns the upstreams that are compared: a random selection, and those that are likely to hold
  // the shared part of the prompt.
  std::vector<const Entry*> SelectCandidates(const WorkEstimate& work,
                                             const Entry* affinity_upstream,
                                             const std::vector<const Entry*>& usable);
  Choice FindBest(const std::vector<const Entry*>& candidates, const WorkEstimate& work,
                  const Entry* affinity_upstream, TimePoint now) const;

  FleetLoadBalancerOptions options_;
  Random random_;
  UpstreamSignals signals_;
  EngineSpeeds speeds_{EngineSpeedOptions{}};
  TimePoint speeds_updated_at_{};
  std::map<UpstreamId, Entry> entries_;
  std::unordered_map<std::uint64_t, Entry*> by_key_;
  std::unordered_map<std::uint64_t, Entry*> by_process_;
  // Sorted by upstream id.
  std::map<ServiceId, std::vector<Entry*>> by_service_;
  // Sums of the slots of the upstreams, and the number of daemons that share them.
  std::map<ServiceId, int> slots_;
  int daemons_ = 1;
  // Times until which all upstreams of a service count as brittle.
  std::map<ServiceId, TimePoint> brittle_until_;
  // Times until which the daemons share the slots of services with brittle upstreams.
  std::map<ServiceId, TimePoint> cautious_until_;
  std::map<ServiceId, std::map<std::uint64_t, VersionLimit>> version_limits_;
  std::map<ReportSource, Report> reports_;
  std::map<ServiceId, PromptTimeModel> prompt_times_;
};

}  // namespace savoryglade
