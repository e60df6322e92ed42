#include "routing/fleet_load_balancer.h"

#include <algorithm>
#include <iterator>

#include "core/prefix_hash.h"
#include "routing/software_version.h"

namespace savoryglade {
namespace {

// Maximum number of prompt parts tracked for each upstream.
constexpr std::size_t kMaxTrackedParts = 4096;
// Score penalty of an upstream that peers avoid or that has just failed.
constexpr double kSuspectPenaltySeconds = 0.5;
// Score penalty of an engine at which all streams have longer pauses than their callers accept.
constexpr double kLatePauseSeconds = 0.3;
// Processing uncached tokens delays this request and takes the same time from other requests.
constexpr double kUncachedPromptWeight = 2;
// Factor on the expected prompt time before an upstream counts as silent; allows for short
// slowdowns.
constexpr double kPromptTimeoutFactor = 3;
// Factor on the learned time of an empty prompt before an upstream counts as silent.
constexpr double kSharedDelayTimeoutFactor = 2;
// Fraction of the slots of a service with brittle upstreams from which the daemons share them, and
// the time for which they go on when it is less.
constexpr double kBusySlotUse = 0.6;
constexpr Duration kBusyTime = 1s;
// Interval at which the speed factors follow what was observed of the engines.
constexpr Duration kSpeedUpdateInterval = 500ms;

std::uint64_t RendezvousHash(std::uint64_t upstream, std::uint64_t key) {
  std::uint64_t hash = upstream ^ (key * 0x9E3779B97F4A7C15ULL);
  hash = (hash ^ (hash >> 31)) * 0xBF58476D1CE4E5B9ULL;
  hash = (hash ^ (hash >> 27)) * 0x94D049BB133111EBULL;
  return hash ^ (hash >> 31);
}

// Returns a number in [0, 1) that differs between daemons.
double UnitHash(std::uint64_t upstream, std::uint64_t daemon) {
  constexpr int kBits = 53;
  return static_cast<double>(RendezvousHash(upstream, daemon) >> (64 - kBits)) * 0x1.0p-53;
}

// Returns the id of the last part that other requests share; the last part of the prompt belongs to
// one session.
std::uint64_t AffinityKey(const WorkEstimate& work) {
  const std::size_t count = work.parts.size();
  return count >= 2 ? work.parts[count - 2].id : work.parts.front().id;
}

}  // namespace

std::uint64_t FleetLoadBalancer::ProcessKeyOf(const UpstreamRecord& record) {
  // Without a start time, only another address shows that the process is a new one.
  const std::uint64_t start = record.started_ms != 0 ? static_cast<std::uint64_t>(record.started_ms)
                                                     : Fnv1aHash(record.address);
  return KeyOf(record.id) + start;
}

void FleetLoadBalancer::Reported::Add(const UpstreamLoad& load, int sign) {
  running += sign * load.running;
  waiting_tokens = std::max(0.0, waiting_tokens + sign * load.waiting_tokens);
  suspect_reports += load.suspect ? sign : 0;
}

void FleetLoadBalancer::RemoveFromIndexes(const Entry& entry) {
  std::erase(by_service_[entry.record.service], &entry);
  by_key_.erase(entry.key);
  by_process_.erase(entry.process);
  slots_[entry.record.service] -= entry.record.slots;
}

void FleetLoadBalancer::Update(const UpstreamRecord& record) {
  const auto [found, is_new] = entries_.try_emplace(record.id);
  Entry& entry = found->second;
  if (!is_new) {
    RemoveFromIndexes(entry);
  }
  if (entry.record.started_ms != record.started_ms || entry.record.address != record.address) {
    entry = Entry{};
  }
  entry.record = record;
  entry.key = KeyOf(record.id);
  entry.process = ProcessKeyOf(record);
  entry.version = SoftwareVersionKey(record.software_version);
  entry.prompt_time = &FindOrCreateModel(record.service);
  entry.reported = {};
  for (const auto& [source, report] : reports_) {
    for (const ReportedLoad& reported_load : report.loads) {
      if (reported_load.upstream == entry.key) {
        entry.reported.Add(reported_load.load, 1);
      }
    }
  }
  by_key_[entry.key] = &entry;
  by_process_[entry.process] = &entry;
  slots_[record.service] += record.slots;
  entry.registered_as_leaving = record.leaving;
  entry.record.leaving = record.leaving || signals_.IsLeaving(entry.process);
  std::vector<Entry*>& service_entries = by_service_[record.service];
  service_entries.insert(
      std::ranges::upper_bound(service_entries, record.id, {},
                               [](const Entry* other) { return other->record.id; }),
      &entry);
  UpdateOpenUpstreams(record.service);
}

PromptTimeModel& FleetLoadBalancer::FindOrCreateModel(const ServiceId& service) {
  return prompt_times_
      .try_emplace(service, PromptTimeOptions{.initial_token_s = 1 / options_.prompt_tokens_per_s})
      .first->second;
}

Duration FleetLoadBalancer::PredictFirstEvent(const ServiceId& service, double uncached_tokens,
                                              TimePoint now) {
  const double ahead = MeanLoadOf(service).waiting_tokens;
  return FindOrCreateModel(service).Predict({.own_tokens = uncached_tokens, .tokens_ahead = ahead},
                                            now);
}

MeanLoad FleetLoadBalancer::MeanLoadOf(const ServiceId& service) {
  return MeanLoadOf(by_service_[service]);
}

MeanLoad FleetLoadBalancer::MeanLoadOf(const std::vector<Entry*>& entries) const {
  double tokens = 0;
  double running = 0;
  double slots = 0;
  int sound = 0;
  for (const Entry* entry : entries) {
    // Work that waits at an upstream which is stuck does not delay others.
    if (entry->record.leaving || entry->record.doubtful || entry->reported.suspect_reports > 0 ||
        entry->failures > 0 || !entry->is_open) {
      continue;
    }
    tokens += entry->own.waiting_tokens + entry->reported.waiting_tokens;
    running += entry->own.running + entry->reported.running;
    slots += entry->record.slots;
    ++sound;
  }
  return {.waiting_tokens = sound == 0 ? 0 : tokens / sound,
          .slot_use = slots > 0 ? running / slots : 0};
}

void FleetLoadBalancer::Hold(const UpstreamId& id, TimePoint until) {
  if (const auto found = entries_.find(id); found != entries_.end()) {
    found->second.held_until = until;
  }
}

void FleetLoadBalancer::Remove(const UpstreamId& id) {
  const auto found = entries_.find(id);
  if (found != entries_.end()) {
    const ServiceId service = found->second.record.service;
    RemoveFromIndexes(found->second);
    entries_.erase(found);
    UpdateOpenUpstreams(service);
  }
}

const UpstreamRecord* FleetLoadBalancer::Find(const UpstreamId& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second.record;
}

std::vector<UpstreamRecord> FleetLoadBalancer::Records() const {
  std::vector<UpstreamRecord> records;
  for (const auto& [id, entry] : entries_) {
    records.push_back(entry.record);
  }
  return records;
}

UpstreamLoad FleetLoadBalancer::FleetLoad(const Entry& entry, TimePoint now) const {
  UpstreamLoad sum{.running = entry.own.running + entry.reported.running,
                   .waiting_tokens = entry.own.waiting_tokens + entry.reported.waiting_tokens,
                   .suspect = entry.reported.suspect_reports > 0};
  if (now - entry.reported_at <= options_.report_lifetime) {
    sum.running = std::max(sum.running, entry.reported_running);
  }
  return sum;
}

bool FleetLoadBalancer::IsSilent(const Entry& entry, TimePoint now) const {
  if (entry.unanswered.empty() || entry.path_lost) {
    return false;
  }
  const double prompt_time =
      entry.own.waiting_tokens / options_.prompt_tokens_per_s * kPromptTimeoutFactor +
      ToSeconds(entry.prompt_time->Predict({}, now)) * kSharedDelayTimeoutFactor;
  const TimePoint last_response = std::max(entry.last_bytes, entry.unanswered.front());
  return now - last_response > options_.silence_timeout + FromSeconds(prompt_time);
}

double FleetLoadBalancer::UncachedTokens(const Entry& entry, const WorkEstimate& work,
                                         bool affinity_upstream) const {
  double cached = 0;
  for (std::size_t i = 0; i < work.parts.size(); ++i) {
    const bool shared = i + 1 < work.parts.size();
    if (!(affinity_upstream && shared) && !entry.parts.contains(work.parts[i].id)) {
      break;
    }
    cached += work.parts[i].tokens;
  }
  return std::max(work.prompt_tokens - cached, 1.0);
}

double FleetLoadBalancer::CurrentSlowness(const Entry& entry, TimePoint now) const {
  return now - entry.reported_at <= options_.slowness_lifetime ? entry.slowness : 1;
}

void FleetLoadBalancer::UpdateSpeedFactors(TimePoint now) {
  if (now - speeds_updated_at_ < kSpeedUpdateInterval) {
    return;
  }
  speeds_updated_at_ = now;
  speeds_.Expire(now);
  for (const auto& [service, entries] : by_service_) {
    double sum = 0;
    int known = 0;
    for (const Entry* entry : entries) {
      if (const EngineSpeeds::Pace pace = speeds_.PaceOf(entry->process); pace.known) {
        sum += pace.log_interval;
        ++known;
      }
    }
    for (Entry* entry : entries) {
      entry->speed_factor = known == 0 ? 1 : speeds_.FactorOf(entry->process, sum / known);
      entry->late_fraction = speeds_.PaceOf(entry->process).late_fraction;
    }
  }
}

int FleetLoadBalancer::UnevenEngines() const {
  return static_cast<int>(std::ranges::count_if(
      entries_, [](const auto& entry) { return entry.second.speed_factor != 1; }));
}

void FleetLoadBalancer::ShareSlotsUntil(const ServiceId& service, TimePoint end) {
  TimePoint& cautious_until = cautious_until_[service];
  cautious_until = std::max(cautious_until, end);
}

void FleetLoadBalancer::ShareSlotsIfBusy(const ServiceId& service, TimePoint now) {
  if (!signals_.has_brittle()) {
    return;
  }
  const std::vector<Entry*>& entries = by_service_[service];
  const bool is_brittle = std::ranges::any_of(
      entries, [this](const Entry* entry) { return signals_.IsBrittle(entry->process); });
  if (is_brittle && MeanLoadOf(entries).slot_use > kBusySlotUse) {
    ShareSlotsUntil(service, now + kBusyTime);
  }
}

bool FleetLoadBalancer::IsBrittle(const Entry& entry, TimePoint now) const {
  if (signals_.IsBrittle(entry.process)) {
    return true;
  }
  const auto brittle_until = brittle_until_.find(entry.record.service);
  return brittle_until != brittle_until_.end() && now < brittle_until->second;
}

bool FleetLoadBalancer::HasBrittlePlace(const Entry& entry, const UpstreamLoad& load,
                                        TimePoint now) const {
  if (load.running >= entry.record.slots) {
    return false;
  }
  const auto cautious_until = cautious_until_.find(entry.record.service);
  if (cautious_until == cautious_until_.end() || now > cautious_until->second) {
    return true;
  }
  // If there are fewer slots than daemons, those without one could not serve at all.
  const bool can_share = slots_.at(entry.record.service) >= daemons_;
  const int share =
      can_share ? signals_.rate_limits().ShareOf(entry.process, entry.record.slots) : 1;
  return entry.own.running < share;
}

bool FleetLoadBalancer::HasPlace(const Entry& entry, const WorkEstimate& work,
                                 const UpstreamLoad& load, TimePoint now) const {
  if (IsBrittle(entry, now)) {
    return HasBrittlePlace(entry, load, now);
  }
  const int requests_per_slot = work.IsGeneration() ? 1 : options_.plain_requests_per_slot;
  return load.running < entry.record.slots * requests_per_slot;
}

double FleetLoadBalancer::Score(const Entry& entry, const WorkEstimate& work,
                                const UpstreamLoad& load, double uncached, TimePoint now) const {
  const double one_way_latency =
      entry.record.failure_domain == options_.local_domain ? 0 : options_.remote_latency_s;
  const double suspect_penalty = load.suspect || entry.failures > 0 ? kSuspectPenaltySeconds : 0;
  // Daemons that know no more than that all upstreams are idle would choose the same one.
  constexpr double kMaxSpread = 0.3;
  const double spread = IsBrittle(entry, now) ? kMaxSpread * UnitHash(entry.key, options_.seed) : 0;
  if (!work.IsGeneration()) {
    const double slot_utilisation =
        static_cast<double>(load.running) / static_cast<double>(std::max(entry.record.slots, 1));
    return slot_utilisation * CurrentSlowness(entry, now) + one_way_latency + suspect_penalty +
           spread;
  }
  const double queue = load.waiting_tokens / options_.prompt_tokens_per_s;
  const double prompt_time = uncached / options_.prompt_tokens_per_s * kUncachedPromptWeight;
  return (queue + prompt_time + load.running * options_.cost_per_running_request_s) *
             CurrentSlowness(entry, now) * entry.speed_factor +
         kLatePauseSeconds * entry.late_fraction + one_way_latency + suspect_penalty +
         spread * options_.cost_per_running_request_s * entry.record.slots;
}

std::vector<const FleetLoadBalancer::Entry*> FleetLoadBalancer::SelectCandidates(
    const WorkEstimate& work, const Entry* affinity_upstream,
    const std::vector<const Entry*>& usable) {
  const auto wanted = static_cast<std::size_t>(options_.random_candidates);
  if (wanted == 0 || usable.size() <= wanted + 1) {
    return usable;
  }
  std::vector<const Entry*> candidates = usable;
  const auto others = std::partition(candidates.begin(), candidates.end(), [&](const Entry* entry) {
    return entry == affinity_upstream ||
           (work.parts.size() >= 2 && entry->parts.contains(AffinityKey(work)));
  });
  const auto holders = static_cast<std::size_t>(others - candidates.begin());
  const std::size_t count = std::min(holders + wanted, candidates.size());
  for (std::size_t i = holders; i < count; ++i) {
    std::swap(candidates[i], candidates[i + random_.UniformInt(candidates.size() - i)]);
  }
  candidates.resize(count);
  return candidates;
}

FleetLoadBalancer::Choice FleetLoadBalancer::FindBest(const std::vector<const Entry*>& candidates,
                                                      const WorkEstimate& work,
                                                      const Entry* affinity_upstream,
                                                      TimePoint now) const {
  Choice best;
  for (const Entry* entry : candidates) {
    const UpstreamLoad load = FleetLoad(*entry, now);
    if (!HasPlace(*entry, work, load, now)) {
      continue;
    }
    const double uncached = UncachedTokens(*entry, work, entry == affinity_upstream);
    const double score = Score(*entry, work, load, uncached, now);
    if (best.entry == nullptr || score < best.score) {
      best = {.entry = entry, .score = score, .uncached = uncached};
    }
  }
  return best;
}

std::vector<const FleetLoadBalancer::Entry*> FleetLoadBalancer::UsableEntries(
    const WorkEstimate& work, const std::vector<UpstreamId>& excluded, TimePoint now) {
  ExpireReports(now);
  UpdateSpeedFactors(now);
  ShareSlotsIfBusy(work.service, now);
  std::vector<const Entry*> usable;
  std::vector<const Entry*> fallback;
  for (const Entry* entry : by_service_[work.service]) {
    if (entry->record.leaving ||
        (work.required_version && entry->version != *work.required_version) ||
        !IsAllowed(*entry, work.version_choice, work.required_version.has_value(), now) ||
        std::ranges::find(excluded, entry->record.id) != excluded.end()) {
      continue;
    }
    if (now < entry->held_until || !MaySend(*entry, now)) {
      continue;
    }
    const bool unhealthy =
        entry->record.doubtful || now < entry->paused_until || IsSilent(*entry, now);
    (unhealthy ? fallback : usable).push_back(entry);
  }
  if (usable.empty()) {
    usable.swap(fallback);
  }
  return usable;
}

bool FleetLoadBalancer::HasPlace(const WorkEstimate& work, TimePoint now) {
  const std::vector<const Entry*> usable = UsableEntries(work, {}, now);
  return std::ranges::any_of(usable, [&](const Entry* entry) {
    return HasPlace(*entry, work, FleetLoad(*entry, now), now);
  });
}

std::optional<Placement> FleetLoadBalancer::Choose(const WorkEstimate& work,
                                                   const std::vector<UpstreamId>& excluded,
                                                   TimePoint now) {
  const std::vector<const Entry*> usable = UsableEntries(work, excluded, now);
  const Entry* affinity_upstream = nullptr;
  if (!work.parts.empty()) {
    const std::uint64_t key = AffinityKey(work);
    const auto best = std::ranges::max_element(
        usable, {}, [key](const Entry* entry) { return RendezvousHash(entry->key, key); });
    affinity_upstream = best == usable.end() ? nullptr : *best;
  }
  const std::vector<const Entry*> candidates = SelectCandidates(work, affinity_upstream, usable);
  Choice choice = FindBest(candidates, work, affinity_upstream, now);
  if (choice.entry == nullptr && candidates.size() < usable.size()) {
    choice = FindBest(usable, work, affinity_upstream, now);
  }
  const Entry* const chosen = choice.entry;
  if (chosen == nullptr) {
    return std::nullopt;
  }
  if (!work.IsGeneration()) {
    return Placement{.upstream = chosen->record};
  }
  const Duration by_reports =
      FromSeconds((FleetLoad(*chosen, now).waiting_tokens + choice.uncached) /
                  options_.prompt_tokens_per_s * CurrentSlowness(*chosen, now));
  const double ahead = MeanLoadOf(work.service).waiting_tokens;
  const Duration learned =
      chosen->prompt_time->Predict({.own_tokens = choice.uncached, .tokens_ahead = ahead}, now);
  return Placement{.upstream = chosen->record,
                   .uncached_tokens = choice.uncached,
                   .tokens_ahead = ahead,
                   .expected = std::max(by_reports, learned)};
}

std::optional<TimePoint> FleetLoadBalancer::NextWaitEnd(const WorkEstimate& work,
                                                        TimePoint now) const {
  const auto found = by_service_.find(work.service);
  if (found == by_service_.end()) {
    return std::nullopt;
  }
  std::optional<TimePoint> next;
  for (const Entry* entry : found->second) {
    if (entry->record.leaving ||
        (work.required_version && entry->version != *work.required_version) ||
        !IsAllowed(*entry, work.version_choice, work.required_version.has_value(), now)) {
      continue;
    }
    const std::optional<TimePoint> end = signals_.WaitEnd(entry->process, now);
    if (!end) {
      return std::nullopt;
    }
    next = std::min(next.value_or(*end), *end);
  }
  return next;
}

bool FleetLoadBalancer::HasVersion(const ServiceId& service, std::uint64_t version) const {
  const auto found = by_service_.find(service);
  return found != by_service_.end() &&
         std::ranges::any_of(found->second, [this, version](const Entry* entry) {
           const VersionLimit* const limit = LimitOf(*entry);
           return !entry->record.leaving && entry->version == version &&
                  (limit == nullptr || limit->upstreams != 0);
         });
}

std::optional<std::uint64_t> FleetLoadBalancer::OnlyVersion(const ServiceId& service) const {
  const auto found = by_service_.find(service);
  if (found == by_service_.end() || found->second.empty()) {
    return std::nullopt;
  }
  const std::uint64_t version = found->second.front()->version;
  const bool same = std::ranges::all_of(
      found->second, [version](const Entry* entry) { return entry->version == version; });
  return same ? std::optional(version) : std::nullopt;
}

int FleetLoadBalancer::FreeSlots(const ServiceId& service, TimePoint now,
                                 std::optional<std::uint64_t> required_version) {
  ExpireReports(now);
  int free = 0;
  for (const Entry* entry : by_service_[service]) {
    const bool usable =
        (!required_version || entry->version == *required_version) &&
        IsAllowed(*entry, VersionChoice::kUnlimited, required_version.has_value(), now);
    if (usable && !entry->record.leaving && now >= entry->paused_until && MaySend(*entry, now)) {
      const int slots = std::max(0, entry->record.slots - FleetLoad(*entry, now).running);
      free += signals_.rate_limits().RateOf(entry->process) ? std::min(slots, 1) : slots;
    }
  }
  return free;
}

double FleetLoadBalancer::BusyUpstreams(const ServiceId& service, TimePoint now) {
  ExpireReports(now);
  double busy = 0;
  for (const Entry* entry : by_service_[service]) {
    const bool is_restricted =
        signals_.rate_limits().RateOf(entry->process) || signals_.WaitEnd(entry->process, now);
    busy += is_restricted
                ? 1
                : static_cast<double>(FleetLoad(*entry, now).running) / entry->record.slots;
  }
  return busy;
}

void FleetLoadBalancer::OnSent(const UpstreamId& id, const WorkEstimate& work,
                               double uncached_tokens, TimePoint now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return;
  }
  Entry& entry = found->second;
  signals_.OnSent(entry.process, now);
  ++entry.own.running;
  entry.own.waiting_tokens += uncached_tokens;
  entry.unanswered.push_back(now);
  if (entry.parts.size() + work.parts.size() > kMaxTrackedParts) {
    entry.parts.clear();
  }
  for (const PromptPart& part : work.parts) {
    entry.parts[part.id] = now;
  }
}

void FleetLoadBalancer::OnFirstByte(const UpstreamId& id, double uncached_tokens, TimePoint now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return;
  }
  Entry& entry = found->second;
  entry.own.waiting_tokens = std::max(0.0, entry.own.waiting_tokens - uncached_tokens);
  if (!entry.unanswered.empty()) {
    entry.unanswered.pop_front();
  }
  entry.last_bytes = now;
}

void FleetLoadBalancer::OnBytes(const UpstreamId& id, TimePoint now) {
  const auto found = entries_.find(id);
  if (found != entries_.end()) {
    found->second.last_bytes = now;
  }
}

void FleetLoadBalancer::OnFirstEvent(const ServiceId& service, const PromptWork& work,
                                     Duration taken, TimePoint now) {
  FindOrCreateModel(service).OnFirstEvent(work, taken, now);
}

void FleetLoadBalancer::OnEnd(const UpstreamId& id, double uncached_tokens, bool first_byte,
                              AttemptEnd end, TimePoint now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return;
  }
  Entry& entry = found->second;
  entry.own.running = std::max(0, entry.own.running - 1);
  if (!first_byte) {
    entry.own.waiting_tokens = std::max(0.0, entry.own.waiting_tokens - uncached_tokens);
    if (!entry.unanswered.empty()) {
      entry.unanswered.pop_front();
    }
  }
  if (end == AttemptEnd::kAnswered) {
    entry.path_lost = false;
    entry.failures = 0;
    entry.paused_until = TimePoint{};
  } else if (end == AttemptEnd::kNoPath) {
    entry.path_lost = true;
    entry.paused_until = now + options_.initial_pause;
  } else if (end == AttemptEnd::kFailed || end == AttemptEnd::kUnreachable) {
    RecordFailure(entry, end == AttemptEnd::kUnreachable, now);
  } else if (end == AttemptEnd::kRefused) {
    // The upstream counts as full for the next 300 ms.
    entry.reported_running = entry.record.slots;
    entry.reported_at = now - options_.report_lifetime + 300ms;
  }
}

void FleetLoadBalancer::RecordFailure(Entry& entry, bool is_unreachable, TimePoint now) const {
  entry.failures = std::min(entry.failures + 1, 8);
  // A single failed answer does not show that the upstream is down; a refused connection does.
  if (is_unreachable || entry.failures >= 2) {
    const Duration pause = options_.initial_pause * (1 << std::min(entry.failures - 1, 4));
    entry.paused_until = now + std::min(pause, options_.max_pause);
  }
}

void FleetLoadBalancer::OnSilence(const UpstreamId& id, TimePoint now) {
  if (const auto found = entries_.find(id); found != entries_.end()) {
    RecordFailure(found->second, false, now);
  }
}

void FleetLoadBalancer::OnPathLost(const UpstreamId& id) {
  if (const auto found = entries_.find(id); found != entries_.end()) {
    found->second.path_lost = true;
  }
}

}  // namespace savoryglade
