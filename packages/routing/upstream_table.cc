#include "routing/upstream_table.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace savoryglade {
namespace {

// Added to expected times, so that the overhead of very short work does not count as slowness.
constexpr double kFirstTokenFloor = 0.03;
constexpr double kTotalFloor = 0.005;
// Share of a request's cost that its prompt is assumed to have when the caller does not say.
constexpr double kAssumedPromptShare = 0.2;
constexpr Duration kHedgeRecheck = 50ms;
// A request on an upstream that is already known as a straggler need not wait for as much proof.
constexpr double kHedgeRatioAtStraggler = 1.5;
constexpr std::size_t kMostHolders = 4;
constexpr int kTokensPerSample = 8;
constexpr double kDistrustBelow = 0.5;

double ExpectedTotal(double cost) { return cost + kTotalFloor; }

double PromptCost(const RouteRequest& request) {
  return request.prompt_cost > 0 ? request.prompt_cost
                                 : request.predicted_cost * kAssumedPromptShare;
}

bool IsExcluded(const RouteRequest& request, const UpstreamId& name) {
  return std::find(request.excluded.begin(), request.excluded.end(), name) !=
         request.excluded.end();
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
    entry->distance = entry->local                        ? 0
                      : latency == options_.latency.end() ? ToSeconds(options_.default_latency)
                                                          : ToSeconds(latency->second);
    entry->price_per_cost =
        options_.price_weight * (entry->config.price_per_hour - lowest_price.at(service));
  }
  groups_ = std::move(groups);
}

void UpstreamTable::SetLimitShare(double share) { limit_share_ = std::clamp(share, 0.0, 1.0); }

int UpstreamTable::SlotsOf(const Entry& entry) const {
  return std::max(1, static_cast<int>(entry.limit.limit() * limit_share_));
}

bool UpstreamTable::HasCapacity(const ServiceId& service, TimePoint now) const {
  const auto group = groups_.find(service);
  if (group == groups_.end()) {
    return false;
  }
  return std::any_of(
      group->second.entries().begin(), group->second.entries().end(), [&](const Entry* entry) {
        const Availability::State state = entry->availability.StateAt(now);
        return (state == Availability::State::kUsable || state == Availability::State::kProbe) &&
               !entry->straggler.left() && HasSlot(*entry);
      });
}

bool UpstreamTable::MayProbe(const Entry& entry, const Group& group, const RouteRequest& request,
                             TimePoint now) const {
  // Cheap repeatable requests lose least by a probe that goes wrong.
  return request.hedge_of == 0 && ((request.repeatable && group.IsCheap(request.predicted_cost)) ||
                                   entry.straggler.ProbeOverdue(now));
}

void UpstreamTable::FindUsable(const Group& group, const RouteRequest& request, const Entry* hedged,
                               TimePoint now) {
  usable_.local.clear();
  usable_.remote.clear();
  usable_.probe = nullptr;
  usable_.refusal = RoutingCount::kRefusedLeaving;
  Entry* returning = nullptr;
  // The cause closest to being usable is the one that is counted.
  const auto refuse = [this](RoutingCount cause) {
    constexpr std::array kOrder = {RoutingCount::kRefusedLeaving, RoutingCount::kRefusedPaused,
                                   RoutingCount::kRefusedExcluded, RoutingCount::kRefusedStragglers,
                                   RoutingCount::kRefusedAtLimit};
    const auto rank = [&](RoutingCount count) {
      return std::find(kOrder.begin(), kOrder.end(), count) - kOrder.begin();
    };
    if (rank(cause) > rank(usable_.refusal)) {
      usable_.refusal = cause;
    }
  };
  for (Entry* entry : group.entries()) {
    const Availability::State state = entry->availability.StateAt(now);
    if (state == Availability::State::kLeaving) {
      continue;
    }
    if (state == Availability::State::kPaused) {
      refuse(RoutingCount::kRefusedPaused);
      continue;
    }
    if (entry == hedged || IsExcluded(request, entry->config.name)) {
      refuse(RoutingCount::kRefusedExcluded);
      continue;
    }
    if (!HasSlot(*entry)) {
      refuse(RoutingCount::kRefusedAtLimit);
      continue;
    }
    if (state == Availability::State::kProbe) {
      returning = entry;
      continue;
    }
    if (entry->straggler.left()) {
      refuse(RoutingCount::kRefusedStragglers);
      if (entry->straggler.ProbeDue(now) && MayProbe(*entry, group, request, now)) {
        usable_.probe = entry;
      }
      continue;
    }
    (entry->local ? usable_.local : usable_.remote).push_back(entry);
  }
  const bool none = usable_.local.empty() && usable_.remote.empty();
  if (returning != nullptr && (none || MayProbe(*returning, group, request, now))) {
    usable_.probe = returning;
  }
}

void UpstreamTable::FindCandidates(const RouteRequest& request) {
  usable_.candidates.clear();
  usable_.holders.clear();
  const auto draw = [this](const std::vector<Entry*>& from, int count) {
    for (int i = 0; i < count && !from.empty(); ++i) {
      usable_.candidates.push_back(from[random_.Below(from.size())]);
    }
  };
  draw(usable_.local, 2);
  draw(usable_.remote, usable_.local.empty() ? 2 : 1);
  if (request.prefix_hashes.empty()) {
    return;
  }
  prefixes_.FindHolders(request.prefix_hashes, usable_.holders);
  std::size_t added = 0;
  for (const UpstreamNumber number : usable_.holders) {
    Entry* entry = Find(number);
    if (entry == nullptr) {
      continue;
    }
    const std::vector<Entry*>& list = entry->local ? usable_.local : usable_.remote;
    if (std::find(list.begin(), list.end(), entry) != list.end()) {
      usable_.candidates.push_back(entry);
      if (++added == kMostHolders) {
        break;
      }
    }
  }
}

double UpstreamTable::UncachedPromptCost(const Entry& entry, const RouteRequest& request) const {
  const double cost = PromptCost(request);
  if (request.prefix_hashes.empty()) {
    return cost;
  }
  const PrefixMatch match = prefixes_.Match(request.prefix_hashes, entry.number);
  return cost * (1 - match.trusted_blocks() / static_cast<double>(request.prefix_hashes.size()));
}

double UpstreamTable::Score(const Entry& entry, const RouteRequest& request, TimePoint now) const {
  const double wait =
      entry.load.PredictedWait(UncachedPromptCost(entry, request), entry.limit.limit(), now);
  const double rest = std::max(0.0, request.predicted_cost - PromptCost(request));
  return (wait + rest) * entry.load.PaceAt(now) + 2 * entry.distance +
         entry.price_per_cost * request.predicted_cost;
}

UpstreamTable::Entry* UpstreamTable::ChooseCandidate(Group& group, const RouteRequest& request,
                                                     TimePoint now) {
  Entry* best = nullptr;
  double best_score = std::numeric_limits<double>::infinity();
  Entry* best_overdue = nullptr;
  for (Entry* entry : usable_.candidates) {
    if (entry == best) {
      continue;
    }
    if (group.CheckOverdue(*entry, now, counters_)) {
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
  for (const std::vector<Entry*>* list : {&usable_.local, &usable_.remote}) {
    for (Entry* entry : *list) {
      if (!entry->straggler.left()) {
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
        !original->second.repeatable || !hedge_budget_.Allows(request.predicted_cost)) {
      counters_.Add(RoutingCount::kRefusedHedgeBudget);
      return tl::make_unexpected(Reason::kRetryBudgetExhausted);
    }
    hedged = Find(original->second.upstream);
  }
  group.Refresh(now);
  FindUsable(group, request, hedged, now);
  Entry* chosen = usable_.probe;
  const bool probe = chosen != nullptr;
  if (!probe) {
    if (usable_.local.empty() && usable_.remote.empty()) {
      counters_.Add(usable_.refusal);
      return tl::make_unexpected(Reason::kNoUpstream);
    }
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
    if (entry.straggler.left()) {
      entry.straggler.OnProbeStart();
    } else {
      entry.availability.OnProbeStart();
    }
  }
  group.OnDispatch(request.predicted_cost);
  if (request.hedge_of == 0) {
    hedge_budget_.Earn(request.predicted_cost);
  }
  AttemptId id = request.attempt;
  if (id == 0) {
    id = next_unnumbered_++;
    entry.unnumbered.push_back(id);
  }
  RunningAttempt attempt;
  attempt.upstream = entry.number;
  attempt.cost = request.predicted_cost;
  attempt.prompt_cost = UncachedPromptCost(entry, request);
  attempt.expected_first_token =
      entry.load.PredictedWait(attempt.prompt_cost, entry.limit.limit(), now) + kFirstTokenFloor;
  attempt.expected_total = ExpectedTotal(request.predicted_cost);
  attempt.dispatched = now;
  attempt.last_progress = now;
  attempt.repeatable = request.repeatable;
  attempt.probe = probe;
  attempt.hashes = request.prefix_hashes;
  attempt.expected_blocks = prefixes_.Match(request.prefix_hashes, entry.number).blocks;
  if (request.hedge_of != 0) {
    counters_.Add(RoutingCount::kHedges);
    hedge_budget_.Reserve(request.predicted_cost);
    RunningAttempt& original = attempts_.at(request.hedge_of);
    original.partner = request.attempt;
    original.reserved = request.predicted_cost;
    attempt.partner = request.hedge_of;
    attempt.reserved = request.predicted_cost;
  }
  entry.load.Start(attempt.cost, attempt.prompt_cost, now);
  entry.waiting.push_back({id, now, attempt.expected_first_token, attempt.expected_total});
  prefixes_.Record(request.prefix_hashes, entry.number);
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
  const std::optional<double> usual = group.UsualAnswer(attempt);
  if (!usual) {
    return now + kHedgeRecheck;
  }
  const bool left = group.CheckOverdue(*entry, now, counters_);
  const TimePoint early = attempt.dispatched + FromSeconds(*usual * kHedgeRatioAtStraggler);
  const TimePoint late = attempt.dispatched + FromSeconds(*usual * StragglerDetector::kLeaveRatio);
  const TimePoint due = left ? early : late;
  if (now >= due) {
    if (hedge_budget_.Allows(attempt.cost)) {
      return now;
    }
    return now + std::max<Duration>(kHedgeRecheck, FromSeconds(*usual));
  }
  // The upstream may turn out to be a straggler before the late instant.
  return now < early ? early : std::min(due, now + FromSeconds(*usual * 0.25) + 1ms);
}

void UpstreamTable::StopWaiting(Entry& entry, AttemptId attempt) {
  std::erase_if(entry.waiting,
                [attempt](const Entry::Waiting& waiting) { return waiting.attempt == attempt; });
}

AttemptId UpstreamTable::Resolve(const UpstreamId& upstream, AttemptId attempt,
                                 TimePoint dispatched) const {
  if (attempt != 0) {
    return attempt;
  }
  const Entry* entry = Find(upstream);
  if (entry == nullptr) {
    return 0;
  }
  AttemptId nearest = 0;
  Duration smallest = Duration::max();
  for (const AttemptId id : entry->unnumbered) {
    const Duration difference = std::chrono::abs(attempts_.at(id).dispatched - dispatched);
    if (difference < smallest) {
      nearest = id;
      smallest = difference;
    }
  }
  return nearest;
}

void UpstreamTable::OnFirstToken(const UpstreamId& upstream, Duration latency, TimePoint now,
                                 AttemptId attempt_id) {
  const AttemptId id = Resolve(upstream, attempt_id, now - latency);
  const auto found = attempts_.find(id);
  if (found == attempts_.end() || found->second.first_token) {
    return;
  }
  RunningAttempt& attempt = found->second;
  Entry* entry = Find(attempt.upstream);
  if (entry == nullptr) {
    return;
  }
  StopWaiting(*entry, id);
  Group& group = GroupOf(*entry);
  group.OnFirstToken();
  entry->last_answer = now;
  entry->limit.OnProgress();
  attempt.first_token = true;
  attempt.last_progress = now;
  entry->load.FinishPrompt(attempt.prompt_cost);
  if (group.Sample(*entry, LatencyKind::kFirstToken,
                   ToSeconds(latency) / attempt.expected_first_token, attempt.probe, now,
                   counters_)) {
    attempt.probe = false;
  }
}

void UpstreamTable::OnProgress(AttemptId id, int tokens, TimePoint now) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end() || !found->second.first_token) {
    return;
  }
  RunningAttempt& attempt = found->second;
  const int fresh = tokens - attempt.tokens;
  Entry* entry = Find(attempt.upstream);
  if (fresh < kTokensPerSample || entry == nullptr) {
    return;
  }
  GroupOf(*entry).Sample(*entry, LatencyKind::kPerToken,
                         ToSeconds(now - attempt.last_progress) / fresh, false, now, counters_);
  attempt.tokens = tokens;
  attempt.last_progress = now;
}

void UpstreamTable::SettleHedge(const RunningAttempt& attempt, AttemptId id, AttemptResult result,
                                TimePoint now) {
  if (attempt.partner == 0) {
    return;
  }
  const auto partner = attempts_.find(attempt.partner);
  const bool partner_runs = partner != attempts_.end() && partner->second.partner == id;
  if (result == AttemptResult::kCompleted && partner_runs) {
    return;  // The waste is known when the other attempt ends.
  }
  double wasted = attempt.cost;
  if (result != AttemptResult::kCompleted) {
    // A straggler has done at most this part of the work, or it would not be one.
    const Entry* entry = Find(attempt.upstream);
    const double slowness =
        entry != nullptr && entry->straggler.left() ? StragglerDetector::kLeaveRatio : 1;
    wasted = std::min(attempt.cost, ToSeconds(now - attempt.dispatched) / slowness);
  }
  hedge_budget_.Settle(attempt.reserved, wasted);
  if (partner_runs) {
    partner->second.partner = id;
    partner->second.reserved = 0;
  }
}

void UpstreamTable::LearnFailure(Entry& entry, AttemptResult result, TimePoint now) {
  entry.availability.OnFailure(now, random_);
  // A process that takes no connections has died, and its cache with it.
  if (result == AttemptResult::kConnectFailed) {
    prefixes_.Clear(entry.number);
  } else {
    prefixes_.Distrust(entry.number);
  }
}

void UpstreamTable::LearnCompletion(Entry& entry, Group& group, const AttemptOutcome& outcome,
                                    RunningAttempt& attempt, TimePoint now) {
  entry.last_answer = now;
  if (entry.availability.OnSuccess(now)) {
    entry.limit.Restart();
  }
  const double total = ToSeconds(outcome.total);
  const double ratio = total / attempt.expected_total;
  const int tokens = outcome.tokens - attempt.tokens;
  if (group.streams() && tokens >= kTokensPerSample) {
    const double first = attempt.tokens > 0 ? ToSeconds(attempt.last_progress - attempt.dispatched)
                                            : ToSeconds(outcome.first_token);
    group.Sample(entry, LatencyKind::kPerToken, (total - first) / tokens, false, now, counters_);
  }
  if (!group.streams() &&
      group.Sample(entry, LatencyKind::kTotal, ratio, attempt.probe, now, counters_)) {
    attempt.probe = false;
  }
  if (!attempt.hashes.empty()) {
    if (outcome.cached_blocks >= 0 &&
        outcome.cached_blocks < kDistrustBelow * static_cast<double>(attempt.expected_blocks)) {
      prefixes_.Distrust(entry.number);
    }
    prefixes_.Record(attempt.hashes, entry.number);
  }
  if (!entry.straggler.left()) {
    entry.load.OnLatency(ratio, now);
    entry.limit.OnCompleted(ratio, entry.load.running());
  }
}

void UpstreamTable::OnFinish(const UpstreamId& upstream, const AttemptOutcome& outcome,
                             TimePoint now) {
  const AttemptId id = Resolve(upstream, outcome.attempt, now - outcome.total);
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) {
    return;  // Ended before, or never dispatched by this table.
  }
  SettleHedge(found->second, id, outcome.result, now);
  RunningAttempt attempt = std::move(found->second);
  attempts_.erase(found);
  Entry* entry = Find(attempt.upstream);
  if (entry == nullptr) {
    return;  // The upstream was removed while the attempt ran.
  }
  StopWaiting(*entry, id);
  std::erase(entry->unnumbered, id);
  entry->load.Finish(attempt.cost, attempt.first_token ? 0 : attempt.prompt_cost, now);
  if (attempt.probe) {
    entry->availability.OnProbeEnd();
  }
  Group& group = GroupOf(*entry);
  switch (outcome.result) {
    case AttemptResult::kCompleted:
      LearnCompletion(*entry, group, outcome, attempt, now);
      break;
    case AttemptResult::kConnectFailed:
    case AttemptResult::kLost:
      LearnFailure(*entry, outcome.result, now);
      break;
    case AttemptResult::kTimedOut:
      // An upstream that answered another attempt meanwhile is not silent.
      if (entry->last_answer < attempt.dispatched) {
        LearnFailure(*entry, outcome.result, now);
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
    if (group.SampleUnanswered(*entry, attempt, now, counters_)) {
      attempt.probe = false;
    }
  }
  // A probe that ended without a latency says nothing good.
  if (attempt.probe && entry->straggler.left()) {
    entry->straggler.OnProbeEnd(StragglerDetector::kLeaveRatio, now);
  }
}

void UpstreamTable::OnLoadReport(const UpstreamId& upstream, const LoadReport& report,
                                 TimePoint now) {
  if (Entry* entry = Find(upstream)) {
    entry->load.OnReport(report, now);
  }
}

void UpstreamTable::OnCacheEvent(const UpstreamId& upstream, const CacheEvent& event,
                                 TimePoint /*now*/) {
  if (const Entry* entry = Find(upstream)) {
    counters_.Add(RoutingCount::kCacheEventsMissed, prefixes_.OnEvent(entry->number, event));
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
  return entry != nullptr && entry->straggler.left();
}

int UpstreamTable::LimitOf(const UpstreamId& upstream) const {
  const Entry* entry = Find(upstream);
  return entry == nullptr ? 0 : SlotsOf(*entry);
}

UpstreamTable::Entry* UpstreamTable::Find(const UpstreamId& upstream) const {
  const auto found = entries_.find(upstream);
  return found == entries_.end() ? nullptr : found->second.get();
}

UpstreamTable::Entry* UpstreamTable::Find(UpstreamNumber number) const {
  return number < by_number_.size() ? by_number_[number] : nullptr;
}

}  // namespace savoryglade
