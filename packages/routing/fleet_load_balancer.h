#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/prefix_hash.h"
#include "core/report_source.h"
#include "core/strong_id.h"
#include "core/time.h"

namespace savoryglade {

// One upstream as it registered itself.
struct UpstreamRecord {
  UpstreamId id;
  ServiceId service;
  // IP address and port.
  std::string address;
  FailureDomainId failure_domain;
  // Requests that it runs at the same time.
  int slots = 1;
  // True once it gives notice that it leaves; it takes no new work then.
  bool leaving = false;
  bool reclaimable = false;
  // True while its registration is missing but may come back; it takes work only if no other does.
  bool doubtful = false;
  // Start of its process in milliseconds of Unix time; 0 if it does not say.
  std::int64_t started_ms = 0;

  friend auto operator<=>(const UpstreamRecord&, const UpstreamRecord&) = default;
};

// Part of a prompt that requests may share. A part is only reused if all parts before it are.
struct PromptPart {
  std::uint64_t id = 0;
  double tokens = 0;

  friend auto operator<=>(const PromptPart&, const PromptPart&) = default;
};

// What the choice of an upstream needs to know of a request.
struct WorkEstimate {
  ServiceId service;
  // Zero for a request to a plain service.
  double prompt_tokens = 0;
  double output_tokens = 0;
  std::vector<PromptPart> parts;

  bool IsGeneration() const { return prompt_tokens > 0; }
};

// Load that one daemon, or several together, have on one upstream.
struct UpstreamLoad {
  int running = 0;
  // Prompt tokens of requests that have no first token yet.
  double waiting_tokens = 0;
  // Whether a daemon left it because of failures or silence.
  bool suspect = false;

  friend auto operator<=>(const UpstreamLoad&, const UpstreamLoad&) = default;
};

// Load of others on the upstream with this key.
struct ReportedLoad {
  std::uint64_t upstream = 0;
  UpstreamLoad load;

  friend auto operator<=>(const ReportedLoad&, const ReportedLoad&) = default;
};

// How an attempt at an upstream ended, as far as it tells about the upstream.
enum class AttemptEnd : std::uint8_t { kAnswered, kFailed, kUnreachable, kRefused, kCancelled };

// Rates of a model engine and thresholds of the choice.
struct FleetLoadBalancerOptions {
  FailureDomainId local_domain;
  // Prompt tokens that an engine reads in a second; from the operators' sheet of their engines.
  double prompt_tokens_per_s = 55'000;
  // Time of one output token in a batch of usual size, as a part of one engine, in seconds.
  double output_token_s = 0.0001;
  // What each running request adds to the time of a request, in seconds.
  double running_cost_s = 0.004;
  // One-way latency to another failure domain, in seconds.
  double remote_cost_s = 0.001;
  // Silence after which an upstream with a request that waits is left, beyond the expected time.
  Duration silence = 700ms;
  // First pause after failures; doubled with each further one up to the longest.
  Duration first_pause = 500ms;
  Duration longest_pause = 6s;
  // Age up to which the slowness that an upstream states counts; it changes many times per second.
  Duration slowness_lifetime = 500ms;
  // Requests that a plain upstream takes for each of its slots; the rest wait there for some ten
  // milliseconds, which is shorter than coming back after a refusal.
  int plain_requests_per_slot = 2;
  // Load reports of peers older than this are not used.
  Duration report_lifetime = 1500ms;
};

// Upstream that was chosen, with the tokens that it must read for the request.
struct Placement {
  UpstreamRecord upstream;
  double uncached_tokens = 0;
  // Expected time to the first token or to the answer.
  Duration expected = Duration::zero();
};

// Chooses the upstream of each attempt by the load of the whole fleet: what this daemon has sent,
// at once, and what its peers say of theirs. A shared prompt has a home that all daemons agree on
// without a message, and leaves it only when the queue there costs more than reading it again.
// Not safe to use from several threads.
class FleetLoadBalancer {
 public:
  explicit FleetLoadBalancer(FleetLoadBalancerOptions options) : options_(std::move(options)) {}

  // Name of an upstream in reports.
  static std::uint64_t KeyOf(const UpstreamId& id) { return Fnv1aHash(id.value()); }

  // Sets the age up to which reports of peers are used.
  void SetReportLifetime(Duration lifetime) { options_.report_lifetime = lifetime; }

  // Takes a new or changed record. A changed start time or address clears what was learned.
  void Update(const UpstreamRecord& record);
  void Remove(const UpstreamId& id);
  const UpstreamRecord* Find(const UpstreamId& id) const;
  std::vector<UpstreamRecord> Records() const;

  // Chooses an upstream of the service that is not excluded; nothing if none takes work.
  std::optional<Placement> Choose(const WorkEstimate& work, const std::vector<UpstreamId>& excluded,
                                  TimePoint now);

  // Estimated time of one engine that a request takes, in seconds.
  double WorkSeconds(const WorkEstimate& work, double uncached_tokens) const {
    return uncached_tokens / options_.prompt_tokens_per_s +
           work.output_tokens * options_.output_token_s;
  }

  // Engines of the service that would be busy with what runs now if each were full.
  double BusyUpstreams(const ServiceId& service, TimePoint now);

  // Requests that can still be taken before all upstreams of the service are full.
  int FreeSlots(const ServiceId& service, TimePoint now);

  // Records of one attempt, in this order: sent, first byte, end.
  void OnSent(const UpstreamId& id, const WorkEstimate& work, double uncached_tokens,
              TimePoint now);
  void OnFirstByte(const UpstreamId& id, double uncached_tokens, TimePoint now);
  void OnBytes(const UpstreamId& id, TimePoint now);
  // first_byte says whether OnFirstByte was called for the attempt.
  void OnEnd(const UpstreamId& id, double uncached_tokens, bool first_byte, AttemptEnd end,
             TimePoint now);

  // Takes a report on the load of others. Upstreams that are left out have none.
  void OnReport(const ReportSource& source, std::vector<ReportedLoad> loads, TimePoint now);
  // Drops the reports of all sources of this scope.
  void DiscardReports(ReportScope scope);
  // Load of the daemons for which a report of this scope speaks: this daemon, it and the daemons
  // that report to it, or the failure domains that report to it.
  std::vector<ReportedLoad> AggregateLoad(ReportScope scope, TimePoint now);

  // Takes what an upstream says of its own load with an answer. The slowness is 1 as usual.
  void OnLoadReport(const UpstreamId& id, int running, int waiting, double slowness, TimePoint now);

 private:
  // Sum of the reports on one upstream.
  struct Reported {
    int running = 0;
    double waiting_tokens = 0;
    int suspecting = 0;

    void Add(const UpstreamLoad& load, int sign);
  };
  struct Entry {
    UpstreamRecord record;
    std::uint64_t key = 0;
    UpstreamLoad own;
    Reported reported;
    int failures = 0;
    TimePoint paused_until{};
    TimePoint last_bytes{};
    // Instants at which unanswered attempts were sent.
    std::deque<TimePoint> unanswered;
    double slowness = 1;
    int reported_running = 0;
    TimePoint reported_at{};
    // Prompt parts that this daemon had read there and when.
    std::unordered_map<std::uint64_t, TimePoint> parts;
  };
  struct Report {
    TimePoint received;
    std::vector<ReportedLoad> loads;
  };

  void AddReport(const Report& report, int sign);
  void ExpireReports(TimePoint now);
  void Unlist(const Entry& entry);
  UpstreamLoad FleetLoad(const Entry& entry, TimePoint now) const;
  bool IsSilent(const Entry& entry, TimePoint now) const;
  // Slowness of an upstream as far as it is known now; 1 as usual.
  double SlownessOf(const Entry& entry, TimePoint now) const;
  // Requests that an upstream takes at the same time.
  int RoomOf(const Entry& entry, const WorkEstimate& work) const;
  double UncachedTokens(const Entry& entry, const WorkEstimate& work, bool home) const;
  double Score(const Entry& entry, const WorkEstimate& work, const UpstreamLoad& load,
               double uncached, TimePoint now) const;

  FleetLoadBalancerOptions options_;
  std::map<UpstreamId, Entry> entries_;
  std::unordered_map<std::uint64_t, Entry*> by_key_;
  // In the order of their ids.
  std::map<ServiceId, std::vector<Entry*>> by_service_;
  std::map<ReportSource, Report> reports_;
};

}  // namespace savoryglade
