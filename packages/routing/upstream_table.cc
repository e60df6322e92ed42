#include "routing/upstream_table.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace savoryglade {
namespace {

// Added to expected times, so that the overhead of very short work does not count as slowness.
constexpr double kFirstTokenOverheadSeconds = 0.03;
constexpr double kTotalOverheadSeconds = 0.005;
// Fraction of the predicted cost that is attributed to the prompt if prompt_cost is unknown.
constexpr double kDefaultPromptFraction = 0.2;
constexpr Duration kHedgeRecheckInterval = 50ms;
// Requests on a known straggler are hedged earlier, because less evidence of slowness is needed.
constexpr double kStragglerHedgeRatio = 1.5;
// A prefix that this many upstreams hold is a system prompt rather than one conversation.
constexpr std::size_t kMinSharedHolders = 3;
// Weight of evicted prompt work, and the time within which a conversation usually continues.
// Without this term, the engines that first held a shared prefix received more conversations than
// others and evicted them; weights of 3 and 30 and times of 15 and 40 caused more recomputation.
constexpr double kEvictionWeight = 10;
constexpr double kReuseSeconds = 20;
// Fraction of the blocks without a record that the affinity upstream is assumed to hold: enough to
// outweigh small differences in load, but not a recorded prefix.
constexpr double kAffinityMatchFraction = 0.5;
constexpr double kMinCachedFraction = 0.5;

double ExpectedTotal(double cost) { return cost + kTotalOverheadSeconds; }

double PromptCost(const RouteRequest& request) {
  return request.prompt_cost > 0 ? request.prompt_cost
                                 : request.predicted_cost * kDefaultPromptFraction;
}

double UncachedPromptCost(const PrefixMatch& match, const RouteRequest& request) {
  const double blocks = static_cast<double>(request.prefix_hashes.size());
  return PromptCost(request) * (blocks > 0 ? 1 - match.trusted_blocks() / blocks : 1);
}

// Returns the upstream with the highest rendezvous hash for the block. All daemons select the same
// upstream as long as it is usable.
UpstreamEntry* RendezvousUpstream(const std::vector<UpstreamEntry*>& entries, std::uint64_t block) {
  UpstreamEntry* affinity_upstream = nullptr;
  std::uint64_t highest = 0;
  for (UpstreamEntry* entry : entries) {
    const std::string& name = entry->config.name.value();
    const std::uint64_t hash = XXH3_64bits_withSeed(name.data(), name.size(), block);
    if (affinity_upstream == nullptr || hash > highest) {
      affinity_upstream = entry;
      highest = hash;
    }
  }
  return affinity_upstream;
}

}  // namespace

UpstreamTable::UpstreamTable(std::uint64_t seed, RoutingOptions options)
    : random_(seed), options_(std::move(options)), prefixes_(options_.prefix_entries) {}

void UpstreamTable::Configure(const Configuration& configuration, TimePoint /*now*/) {
  std::map<UpstreamId, std::unique_ptr<Entry>> entries;
  std::map<ServiceId, double> lowest_price;
  for (const UpstreamConfig& config : configuration.upstreams) {
    std::unique_ptr<Entry> entry;
    const auto known = entries_.find(config.name);
    if (known != entries_.end()) {
      const UpstreamConfig& old = known->second->config;
      if (old.address == config.address && old.port == config.port && old.vm == config.vm &&
          old.service == config.service) {
        entry = std::move(known->second);
        entry->config = config;
        entry->limit.SetMaximum(config.concurrency);
      }
    }
    if (entry == nullptr) {
      entry = std::make_unique<Entry>(config, static_cast<UpstreamNumber>(by_number_.size()));
      by_number_.push_back(entry.get());
    }
    const auto price = lowest_price.try_emplace(config.service, config.price_per_hour).first;
    price->second = std::min(price->second, config.price_per_hour);
    entries.insert_or_assign(config.name, std::move(entry));
  }
  for (const auto& [name, entry] : entries_) {
    if (entry != nullptr) {
      by_number_[entry->number] = nullptr;
      prefixes_.Clear(entry->number);
    }
  }
  entries_ = std::move(entries);
  std::map<ServiceId, Group> groups;
  for (const auto& [name, entry] : entries_) {
    const ServiceId& service = entry->config.service;
    const auto [group, is_new] = groups.try_emplace(service);
    const auto known = groups_.find(service);
    if (is_new && known != groups_.end()) {
      group->second = known->second;
      group->second.ClearEntries();
    }
    group->second.Add(entry.get());
    const FailureDomainId& domain = entry->config.failure_domain;
    const auto latency = options_.latency.find(domain);
    entry->local = options_.local_domain.empty() || domain == options_.local_domain;
    entry->one_way_latency = entry->local ? 0
                             : latency == options_.latency.end()
                                 ? ToSeconds(options_.default_latency)
                                 : ToSeconds(latency->second);
    entry->price_per_cost =
        options_.price_weight * (entry->config.price_per_hour - lowest_price.at(service));
  }
  groups_ = std::move(groups);
}

void UpstreamTable::SetLimitShare(double share) { limit_share_ = std::clamp(share, 0.0, 1.0); }

bool UpstreamTable::HasCapacity(const ServiceId& service, TimePoint now) const {
  const auto group = groups_.find(service);
  if (group == groups_.end()) {
    return false;
  }
  return std::any_of(
      group->second.entries().begin(), group->second.entries().end(), [&](const Entry* entry) {
        const Availability::State state = entry->availability.StateAt(now);
        return (state == Availability::State::kUsable || state == Availability::State::kProbe) &&
               !entry->straggler.ejected() && entry->HasSlot(limit_share_);
      });
}

void UpstreamTable::FindCandidates(const RouteRequest& request) {
  candidates_.clear();
  affinity_upstream_ = nullptr;
  const auto draw = [this](const std::vector<Entry*>& from, int count) {
    for (int i = 0; i < count && !from.empty(); ++i) {
      candidates_.push_back(from[random_.UniformInt(from.size())]);
    }
  };
  draw(finder_.local(), 2);
  draw(finder_.remote(), finder_.local().empty() ? 2 : 1);
  if (request.prefix_hashes.empty()) {
    return;
  }
  const std::size_t known = lookup_.matched_blocks();
  const std::vector<UpstreamNumber>& holders = lookup_.holders();
  const bool shared = known == 0 || holders.size() >= kMinSharedHolders;
  // A fixed choice among the holders would load the same upstreams from all daemons.
  const std::size_t first = shared && !holders.empty() ? random_.UniformInt(holders.size()) : 0;
  const std::size_t last = shared ? std::min(first + 1, holders.size()) : holders.size();
  for (std::size_t i = first; i < last; ++i) {
    Entry* entry = Find(holders[i]);
    if (entry == nullptr) {
      continue;
    }
    const std::vector<Entry*>& list = entry->local ? finder_.local() : finder_.remote();
    if (std::find(list.begin(), list.end(), entry) != list.end()) {
      candidates_.push_back(entry);
    }
  }
  // While no record shows which upstream holds a prompt, all daemons select the same affinity
  // upstream by the first block that is not shared. This also compensates for lost cache events.
  const std::vector<Entry*>& list = finder_.local().empty() ? finder_.remote() : finder_.local();
  if (shared && known < request.prefix_hashes.size()) {
    affinity_upstream_ = RendezvousUpstream(list, request.prefix_hashes[known]);
    candidates_.push_back(affinity_upstream_);
  }
}

PrefixMatch UpstreamTable::ExpectedMatch(const Entry& entry, const RouteRequest& request) const {
  PrefixMatch match = prefixes_.Match(lookup_, entry.number);
  if (&entry == affinity_upstream_) {
    // Recomputing the shared part is worthwhile, because later turns will find it here.
    const std::size_t known = std::max(match.blocks, lookup_.matched_blocks());
    const double rest = static_cast<double>(request.prefix_hashes.size() - known);
    match.blocks = known + static_cast<std::size_t>(std::ceil(rest * kAffinityMatchFraction));
    match.trust = 1;
  }
  return match;
}

double UpstreamTable::Score(const Entry& entry, const RouteRequest& request, TimePoint now) const {
  const PrefixMatch match = ExpectedMatch(entry, request);
  const double wait =
      entry.load.PredictedWait(UncachedPromptCost(match, request), entry.limit.slots(), now);
  const double rest = std::max(0.0, request.predicted_cost - PromptCost(request));
  // Computed blocks evict as many others, which are missed if they were used recently.
  const double evicted =
      request.prefix_hashes.empty()
          ? 0
          : UncachedPromptCost(match, request) * kEvictionWeight *
                std::exp(-prefixes_.RetentionSeconds(entry.number) / kReuseSeconds);
  return (wait + evicted + rest) * entry.load.LatencyRatioAt(now) + 2 * entry.one_way_latency +
         entry.price_per_cost * request.predicted_cost;
}

UpstreamTable::Entry* UpstreamTable::ChooseCandidate(Group& group, const RouteRequest& request,
                                                     TimePoint now) {
  Entry* best = nullptr;
  double best_score = std::numeric_limits<double>::infinity();
  Entry* best_overdue = nullptr;
  for (Entry* entry : candidates_) {
    if (entry == best) {
      continue;
    }
    if (group.EjectIfOverdue(*entry, now, counters_)) {
      best_overdue = entry;
      continue;
    }
    const double score = Score(*entry, request, now);
    if (score < best_score) {
      best = entry;
      best_score = score;
    }
  }
  if (best != nullptr) {
    return best;
  }
  for (const std::vector<Entry*>* list : {&finder_.local(), &finder_.remote()}) {
    for (Entry* entry : *list) {
      if (!entry->straggler.ejected()) {
        return entry;
      }
    }
  }
  return best_overdue;
}

tl::expected<UpstreamId, Reason> UpstreamTable::Select(const RouteRequest& request, TimePoint now) {
  const auto found = groups_.find(request.service);
  if (found == groups_.end()) {
    counters_.Add(RoutingCount::kRefusedUnknownService);
    return tl::make_unexpected(Reason::kNoUpstream);
  }
  Group& group = found->second;
  const Entry* hedged = nullptr;
  if (request.hedge_of != 0) {
    const auto original = attempts_.find(request.hedge_of);
    if (original == attempts_.end() || request.attempt == 0 || original->second.partner != 0 ||
        !original->second.repeatable || !hedge_budget_.Allows(group.HedgeCost(original->second))) {
      counters_.Add(RoutingCount::kRefusedHedgeBudget);
      return tl::make_unexpected(Reason::kRetryBudgetExhausted);
    }
    hedged = Find(original->second.upstream);
  }
  group.Refresh(now);
  finder_.Find(group, request, hedged, limit_share_, now);
  prefixes_.Lookup(request.prefix_hashes, lookup_);
  if (finder_.empty()) {
    counters_.Add(finder_.refusal());
    return tl::make_unexpected(Reason::kNoUpstream);
  }
  Entry* chosen = finder_.probe();
  const bool probe = chosen != nullptr;
  if (!probe) {
    FindCandidates(request);
    chosen = ChooseCandidate(group, request, now);
  }
  Start(*chosen, group, request, probe, now);
  return chosen->config.name;
}

void UpstreamTable::Start(Entry& entry, Group& group, const RouteRequest& request, bool probe,
                          TimePoint now) {
  counters_.Add(RoutingCount::kSelected);
  if (probe) {
    counters_.Add(RoutingCount::kProbes);
    if (entry.straggler.ejected()) {
      entry.straggler.OnProbeStart();
    } else {
      entry.availability.OnProbeStart();
    }
  }
  group.OnDispatch(request.predicted_cost);
  if (request.hedge_of == 0) {
    hedge_budget_.AccrueCredit(request.predicted_cost);
  }
  AttemptId id = request.attempt;
  if (id == 0 || attempts_.contains(id)) {
    id = next_internal_id_++;
  }
  entry.running.push_back(id);
  const PrefixMatch match = prefixes_.Match(lookup_, entry.number);
  RunningAttempt attempt;
  attempt.upstream = entry.number;
  attempt.cost = request.predicted_cost;
  attempt.prompt_cost = UncachedPromptCost(match, request);
  attempt.expected_first_token =
      entry.load.pending_prompts() + attempt.prompt_cost + kFirstTokenOverheadSeconds;
  attempt.expected_total = ExpectedTotal(request.predicted_cost);
  attempt.dispatched = now;
  attempt.last_progress = now;
  attempt.repeatable = request.repeatable;
  attempt.probe = probe;
  attempt.hashes = request.prefix_hashes;
  attempt.expected_blocks = match.blocks;
  if (request.hedge_of != 0) {
    counters_.Add(RoutingCount::kHedges);
    RunningAttempt& original = attempts_.at(request.hedge_of);
    const double reserved_cost = group.HedgeCost(original);
    hedge_budget_.Reserve(reserved_cost);
    original.partner = request.attempt;
    original.reserved_cost = reserved_cost;
    attempt.partner = request.hedge_of;
    attempt.reserved_cost = reserved_cost;
  }
  entry.load.Start(attempt.cost, attempt.prompt_cost, now);
  entry.unanswered.push_back({id, now, attempt.expected_first_token, attempt.expected_total});
  // Matching blocks are recorded when the attempt ends; doing it here would slow the selection.
  prefixes_.Record(std::span(request.prefix_hashes).subspan(match.blocks), entry.number, now);
  attempts_.insert_or_assign(id, std::move(attempt));
}

std::optional<TimePoint> UpstreamTable::HedgeTime(AttemptId id, TimePoint now) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) {
    return std::nullopt;
  }
  const RunningAttempt& attempt = found->second;
  Entry* entry = Find(attempt.upstream);
  if (!attempt.repeatable || attempt.partner != 0 || attempt.first_token || entry == nullptr) {
    return std::nullopt;
  }
  Group& group = GroupOf(*entry);
  group.Refresh(now);
  const std::optional<double> typical = group.TypicalResponseTime(attempt);
  if (!typical) {
    return now + kHedgeRecheckInterval;
  }
  const bool ejected = group.EjectIfOverdue(*entry, now, counters_);
  const TimePoint early = attempt.dispatched + FromSeconds(*typical * kStragglerHedgeRatio);
  const TimePoint late =
      attempt.dispatched + FromSeconds(*typical * StragglerDetector::kEjectRatio);
  const TimePoint due = ejected ? early : late;
  if (now >= due) {
    if (hedge_budget_.Allows(group.HedgeCost(attempt))) {
      return now;
    }
    return now + std::max<Duration>(kHedgeRecheckInterval, FromSeconds(*typical));
  }
  // The upstream may be ejected as a straggler before the late instant, so it is checked again.
  return now < early ? early : std::min(due, now + FromSeconds(*typical * 0.25) + 1ms);
}

void UpstreamTable::RemoveUnanswered(Entry& entry, AttemptId attempt) {
  std::erase_if(entry.unanswered, [attempt](const Entry::UnansweredAttempt& other) {
    return other.attempt == attempt;
  });
}

AttemptId UpstreamTable::ResolveAttempt(const UpstreamId& upstream, AttemptId attempt,
                                        TimePoint dispatched) const {
  if (attempt != 0) {
    return attempt;
  }
  const Entry* entry = Find(upstream);
  if (entry == nullptr) {
    return 0;
  }
  // An attempt that the caller started with an id but ends without it must not leak its slot.
  // Attempts with ids given by the caller match only if there is no other attempt.
  AttemptId nearest = 0;
  Duration smallest = Duration::max();
  bool nearest_is_numbered = true;
  for (const AttemptId id : entry->running) {
    const bool numbered = id < kFirstInternalId;
    const Duration difference = std::chrono::abs(attempts_.at(id).dispatched - dispatched);
    if (numbered == nearest_is_numbered ? difference < smallest : !numbered) {
      nearest = id;
      smallest = difference;
      nearest_is_numbered = numbered;
    }
  }
  return nearest;
}

void UpstreamTable::OnFirstToken(const UpstreamId& upstream, Duration latency, TimePoint now,
                                 AttemptId attempt_id) {
  const AttemptId id = ResolveAttempt(upstream, attempt_id, now - latency);
  const auto found = attempts_.find(id);
  if (found == attempts_.end() || found->second.first_token) {
    return;
  }
  RunningAttempt& attempt = found->second;
  Entry* entry = Find(attempt.upstream);
  if (entry == nullptr) {
    return;
  }
  RemoveUnanswered(*entry, id);
  Group& group = GroupOf(*entry);
  group.OnFirstToken();
  entry->last_response_at = now;
  entry->limit.OnProgress();
  attempt.first_token = true;
  attempt.last_progress = now;
  ++entry->streaming_attempts;
  entry->last_token = now;
  entry->load.FinishPrompt(attempt.prompt_cost);
  if (group.RecordLatency(*entry, LatencyKind::kFirstToken, ToSeconds(latency),
                          attempt.expected_first_token, attempt.probe, now, counters_)) {
    attempt.probe = false;
  }
}

void UpstreamTable::OnProgress(AttemptId id, int tokens, TimePoint now) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end() || !found->second.first_token) {
    return;
  }
  RunningAttempt& attempt = found->second;
  Entry* entry = Find(attempt.upstream);
  if (entry == nullptr || tokens <= attempt.tokens) {
    return;
  }
  Group& group = GroupOf(*entry);
  group.OnProgress();
  entry->last_token = now;
  if (tokens - attempt.tokens < Group::kTokensPerSample) {
    return;
  }
  group.RecordTokenLatency(*entry,
                           ToSeconds(now - attempt.last_progress) / (tokens - attempt.tokens),
                           attempt.last_progress, now, counters_);
  attempt.tokens = tokens;
  attempt.last_progress = now;
}

void UpstreamTable::SettleHedge(const RunningAttempt& attempt, AttemptId id, AttemptResult result,
                                TimePoint now) {
  if (attempt.partner == 0 || attempt.hedge_settled) {
    return;
  }
  const auto partner = attempts_.find(attempt.partner);
  const bool partner_runs = partner != attempts_.end() && partner->second.partner == id;
  if (result == AttemptResult::kCompleted && partner_runs) {
    return;  // The waste is known only when the other attempt ends.
  }
  double wasted = attempt.cost;
  if (result != AttemptResult::kCompleted) {
    // A straggler has done at most this fraction of the work, otherwise it would not be one. Before
    // the first token, at most the prompt was processed.
    const Entry* entry = Find(attempt.upstream);
    const double slowdown =
        entry != nullptr && entry->straggler.ejected() ? StragglerDetector::kEjectRatio : 1;
    wasted = std::min(attempt.first_token ? attempt.cost : attempt.reserved_cost,
                      ToSeconds(now - attempt.dispatched) / slowdown);
  }
  hedge_budget_.Settle(attempt.reserved_cost, wasted);
  if (partner_runs) {
    partner->second.hedge_settled = true;
  }
}

void UpstreamTable::RecordFailure(Entry& entry, AttemptResult result, TimePoint now) {
  entry.availability.OnFailure(now, random_);
  // A process that refuses connections has died and lost its cache.
  if (result == AttemptResult::kConnectFailed) {
    prefixes_.Clear(entry.number);
  } else {
    prefixes_.ReduceTrust(entry.number);
  }
}

void UpstreamTable::RecordCompletion(Entry& entry, Group& group, const AttemptOutcome& outcome,
                                     RunningAttempt& attempt, TimePoint now) {
  entry.last_response_at = now;
  if (entry.availability.OnSuccess(now)) {
    entry.limit.Restart();
  }
  const double total = ToSeconds(outcome.total);
  const int tokens = outcome.tokens - attempt.tokens;
  if (attempt.first_token && tokens >= Group::kTokensPerSample) {
    group.RecordTokenLatency(entry, ToSeconds(now - attempt.last_progress) / tokens,
                             attempt.last_progress, now, counters_);
  }
  if (!group.streams() &&
      group.RecordLatency(entry, LatencyKind::kTotal, total, attempt.expected_total, attempt.probe,
                          now, counters_)) {
    attempt.probe = false;
  }
  if (!attempt.hashes.empty()) {
    if (outcome.cached_blocks >= 0 &&
        outcome.cached_blocks < kMinCachedFraction * static_cast<double>(attempt.expected_blocks)) {
      prefixes_.ReduceTrust(entry.number);
    }
    prefixes_.Record(attempt.hashes, entry.number, now);
  }
  if (!entry.straggler.ejected()) {
    entry.limit.OnCompleted(group.TotalLatencyRatio(attempt, total, outcome.tokens),
                            entry.load.running());
  }
}

void UpstreamTable::OnFinish(const UpstreamId& upstream, const AttemptOutcome& outcome,
                             TimePoint now) {
  const AttemptId id = ResolveAttempt(upstream, outcome.attempt, now - outcome.total);
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) {
    return;  // Already finished, or not dispatched by this table.
  }
  SettleHedge(found->second, id, outcome.result, now);
  RunningAttempt attempt = std::move(found->second);
  attempts_.erase(found);
  Entry* entry = Find(attempt.upstream);
  if (entry == nullptr) {
    return;  // The upstream was removed while the attempt ran.
  }
  RemoveUnanswered(*entry, id);
  std::erase(entry->running, id);
  entry->load.Finish(attempt.cost, attempt.first_token ? 0 : attempt.prompt_cost, now);
  entry->streaming_attempts -= attempt.first_token ? 1 : 0;
  if (attempt.probe) {
    entry->availability.OnProbeEnd();
  }
  Group& group = GroupOf(*entry);
  switch (outcome.result) {
    case AttemptResult::kCompleted:
      RecordCompletion(*entry, group, outcome, attempt, now);
      break;
    case AttemptResult::kConnectFailed:
    case AttemptResult::kLost:
      RecordFailure(*entry, outcome.result, now);
      break;
    case AttemptResult::kTimedOut:
      // An upstream that answered another attempt in the meantime is not silent.
      if (entry->last_response_at < attempt.dispatched) {
        RecordFailure(*entry, outcome.result, now);
      }
      break;
    case AttemptResult::kRefused:
      entry->limit.OnRefused(entry->load.running());
      break;
    case AttemptResult::kCancelled:
      break;
  }
  if (!attempt.first_token &&
      (outcome.result == AttemptResult::kCancelled || outcome.result == AttemptResult::kTimedOut)) {
    if (group.RecordUnanswered(*entry, attempt, now, counters_)) {
      attempt.probe = false;
    }
  }
  // A probe that ended without a latency counts as failed.
  if (attempt.probe && entry->straggler.ejected()) {
    entry->straggler.OnProbeEnd(StragglerDetector::kEjectRatio, now);
  }
}

void UpstreamTable::OnLoadReport(const UpstreamId& upstream, const LoadReport& report,
                                 TimePoint now) {
  if (Entry* entry = Find(upstream)) {
    entry->load.OnReport(report, now);
  }
}

void UpstreamTable::OnCacheEvent(const UpstreamId& upstream, const CacheEvent& event,
                                 TimePoint now) {
  if (const Entry* entry = Find(upstream)) {
    counters_.Add(RoutingCount::kCacheEventsMissed, prefixes_.OnEvent(entry->number, event, now));
  }
}

void UpstreamTable::OnNotice(const UpstreamId& upstream, const LeaveNotice& notice, TimePoint now) {
  Entry* entry = Find(upstream);
  if (entry == nullptr) {
    counters_.Add(RoutingCount::kNoticesUnknownUpstream);
    return;
  }
  if (!entry->availability.OnNotice(notice, now)) {
    counters_.Add(RoutingCount::kNoticesRepeated);
  }
}

void UpstreamTable::OnNotice(const UpstreamId& upstream, bool leaving, TimePoint now) {
  OnNotice(upstream, LeaveNotice{.leaving = leaving}, now);
}

bool UpstreamTable::IsStraggler(const UpstreamId& upstream) const {
  const Entry* entry = Find(upstream);
  return entry != nullptr && entry->straggler.ejected();
}

int UpstreamTable::LimitOf(const UpstreamId& upstream) const {
  const Entry* entry = Find(upstream);
  return entry == nullptr ? 0 : entry->SlotsFor(limit_share_);
}

UpstreamTable::Entry* UpstreamTable::Find(const UpstreamId& upstream) const {
  const auto found = entries_.find(upstream);
  return found == entries_.end() ? nullptr : found->second.get();
}

UpstreamTable::Entry* UpstreamTable::Find(UpstreamNumber number) const {
  return number < by_number_.size() ? by_number_[number] : nullptr;
}

}  // namespace savoryglade
