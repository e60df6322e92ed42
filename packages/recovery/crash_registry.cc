#include "recovery/crash_registry.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

#include "core/prefix_hash.h"

namespace savoryglade {
namespace {

// Returns the instant of the last loss. It may precede the start of the clock, because losses that
// peers report can be older than this VM.
TimePoint LastLoss(const std::map<std::uint64_t, TimePoint>& losses) {
  TimePoint last = TimePoint::min();
  for (const auto& [upstream, lost_at] : losses) {
    last = std::max(last, lost_at);
  }
  return last;
}

}  // namespace

std::optional<TimePoint> CrashRegistry::RefusedUntil(const Entry& entry) const {
  if (entry.losses.size() < policy_.losses_before_refusal) {
    return std::nullopt;
  }
  std::vector<TimePoint> losses;
  for (const auto& [upstream, lost_at] : entry.losses) {
    losses.push_back(lost_at);
  }
  std::ranges::sort(losses);
  Duration refusal = policy_.first_refusal;
  TimePoint until = losses[policy_.losses_before_refusal - 1] + refusal;
  for (std::size_t i = policy_.losses_before_refusal; i < losses.size(); ++i) {
    // An earlier loss belongs to a run that began before the refusal was known everywhere.
    if (losses[i] >= until) {
      refusal = std::min(2 * refusal, kMaxRefusal);
      until = losses[i] + refusal;
    }
  }
  return until;
}

Duration CrashRegistry::RefusalExtension(std::uint64_t request) const {
  constexpr int kSteps = 1000;
  if (!daemon_) {
    return Duration::zero();
  }
  const std::uint64_t hash = Fnv1aHash(fmt::format("{:x}", *daemon_), request);
  return kRefusalSpread * static_cast<int>(hash % kSteps) / kSteps;
}

void CrashRegistry::OnSent(std::uint64_t request, TimePoint now) {
  const auto found = records_.find(request);
  if (found != records_.end() && RefusedUntil(found->second)) {
    found->second.tested_at = now;
  }
}

bool CrashRegistry::HasExpired(const Entry& entry, TimePoint now) const {
  if (entry.losses.empty()) {
    return !entry.answered_at || now - *entry.answered_at > kAnswerLifetime;
  }
  const TimePoint last =
      std::max(LastLoss(entry.losses), RefusedUntil(entry).value_or(TimePoint::min()));
  return now - last > kLossLifetime;
}

void CrashRegistry::Evict(TimePoint now) {
  if (records_.size() < kMaxRecords) {
    return;
  }
  std::erase_if(records_,
                [this, now](const auto& record) { return HasExpired(record.second, now); });
  if (records_.size() >= kMaxRecords) {
    const auto victim = std::ranges::min_element(records_, {}, [](const auto& record) {
      return std::pair(record.second.losses.size(), LastLoss(record.second.losses));
    });
    records_.erase(victim);
  }
}

CrashRegistry::Entry& CrashRegistry::FindOrAdd(std::uint64_t request, TimePoint now) {
  const auto found = records_.find(request);
  if (found != records_.end()) {
    if (!HasExpired(found->second, now)) {
      return found->second;
    }
    found->second = Entry{};
    return found->second;
  }
  Evict(now);
  return records_[request];
}

void CrashRegistry::RememberAnswer(std::uint64_t request, TimePoint now) {
  if (!policy_.answers_prevent_records) {
    return;
  }
  const bool is_over = now - answer_period_start_ >= kAnswerLifetime;
  if (is_over || recent_answers_.size() >= kMaxAnswers) {
    if (now - answer_period_start_ >= 2 * kAnswerLifetime) {
      recent_answers_.clear();
    }
    earlier_answers_ = std::exchange(recent_answers_, {});
    answer_period_start_ = now;
  }
  recent_answers_.insert(request);
}

void CrashRegistry::OnLoss(std::uint64_t request, std::uint64_t upstream, TimePoint now) {
  if (WasAnswered(request)) {
    return;
  }
  Entry& entry = FindOrAdd(request, now);
  entry.own = true;
  if (AddLoss(upstream, now, entry)) {
    entry.reports = 0;
  }
}

bool CrashRegistry::AddLoss(std::uint64_t upstream, TimePoint lost_at, Entry& entry) {
  if (!entry.losses.try_emplace(upstream, lost_at).second) {
    return false;
  }
  if (entry.losses.size() <= kMaxLosses) {
    return true;
  }
  const auto oldest = std::ranges::min_element(
      entry.losses, {}, [](const auto& loss) { return std::pair(loss.second, loss.first); });
  const bool kept = oldest->first != upstream;
  entry.losses.erase(oldest);
  return kept;
}

bool CrashRegistry::OnAnswer(std::uint64_t request, TimePoint now) {
  RememberAnswer(request, now);
  const auto found = records_.find(request);
  if (found == records_.end() || found->second.losses.empty()) {
    return false;
  }
  Entry& entry = found->second;
  entry.answered_at = now;
  entry.losses.clear();
  entry.own = true;
  entry.reports = 0;
  return true;
}

void CrashRegistry::DiscardAnsweredLosses(Entry& entry) {
  std::erase_if(entry.losses, [&entry](const auto& loss) {
    return loss.second <= *entry.answered_at + kAnswerTolerance;
  });
}

bool CrashRegistry::Merge(const CrashRecord& record, Entry& entry, TimePoint now) {
  bool changed = false;
  if (record.answer_age && *record.answer_age <= kAnswerLifetime) {
    const TimePoint answered_at = now - *record.answer_age;
    // A difference within the tolerance is the delay of another report of the same answer.
    if (!entry.answered_at || answered_at > *entry.answered_at + kAnswerTolerance) {
      entry.answered_at = answered_at;
      DiscardAnsweredLosses(entry);
      changed = true;
    }
  }
  for (const UpstreamLoss& loss : record.losses) {
    const TimePoint lost_at = now - loss.age;
    const bool answered = entry.answered_at && lost_at <= *entry.answered_at + kAnswerTolerance;
    if (!answered && loss.age <= kMaxRefusal + kLossLifetime) {
      changed = AddLoss(loss.upstream, lost_at, entry) || changed;
    }
  }
  if (changed) {
    entry.reports = 0;
  }
  return changed;
}

bool CrashRegistry::OnPeerRecord(const CrashRecord& record, TimePoint now) {
  if (WasAnswered(record.request) && !record.losses.empty()) {
    // Tells the peer of the answer.
    FindOrAdd(record.request, now) = {.answered_at = now, .own = true};
    return false;
  }
  if (record.answer_age && *record.answer_age <= kAnswerLifetime) {
    RememberAnswer(record.request, now - *record.answer_age);
  }
  Entry merged = records_.contains(record.request) ? FindOrAdd(record.request, now) : Entry{};
  if (!Merge(record, merged, now) || HasExpired(merged, now)) {
    return false;
  }
  FindOrAdd(record.request, now) = std::move(merged);
  return true;
}

bool CrashRegistry::OnStoredRecord(const CrashRecord& record, TimePoint now) {
  const bool changed = OnPeerRecord(record, now);
  OnStored(record);
  return changed;
}

std::size_t CrashRegistry::LossCount(std::uint64_t request) const {
  const auto found = records_.find(request);
  return found == records_.end() ? 0 : found->second.losses.size();
}

Duration CrashRegistry::RemainingRefusal(std::uint64_t request, TimePoint now) const {
  const auto found = records_.find(request);
  if (found == records_.end()) {
    return Duration::zero();
  }
  const Entry& entry = found->second;
  std::optional<TimePoint> until = RefusedUntil(entry);
  if (!until) {
    return Duration::zero();
  }
  *until += RefusalExtension(request);
  if (entry.tested_at) {
    until = std::max(*until, *entry.tested_at + kTestTime);
  }
  return std::max(*until - now, Duration::zero());
}

CrashRecord CrashRegistry::ToRecord(std::uint64_t request, const Entry& entry, TimePoint now) {
  CrashRecord record{.request = request};
  for (const auto& [upstream, lost_at] : entry.losses) {
    record.losses.push_back({.upstream = upstream, .age = now - lost_at});
  }
  if (entry.answered_at) {
    record.answer_age = now - *entry.answered_at;
  }
  return record;
}

std::vector<CrashRecord> CrashRegistry::SelectForReport(std::size_t limit, TimePoint now) {
  std::erase_if(records_,
                [this, now](const auto& record) { return HasExpired(record.second, now); });
  // Rank, number of reports and time of the last loss; lower values are reported first.
  using Priority = std::tuple<int, int, TimePoint>;
  std::vector<std::pair<Priority, std::uint64_t>> candidates;
  candidates.reserve(records_.size());
  for (const auto& [request, entry] : records_) {
    const bool refused = entry.losses.size() >= policy_.losses_before_refusal;
    if (!refused && entry.reports >= kMaxReports) {
      continue;
    }
    const bool is_new = entry.own && entry.reports < kPriorityReports;
    const int rank = refused ? 0 : (is_new ? 1 : 2);
    candidates.emplace_back(Priority(rank, entry.reports, LastLoss(entry.losses)), request);
  }
  const std::size_t count = std::min(limit, candidates.size());
  std::ranges::partial_sort(candidates, candidates.begin() + static_cast<std::ptrdiff_t>(count));
  std::vector<CrashRecord> selected;
  for (std::size_t i = 0; i < count; ++i) {
    Entry& entry = records_.at(candidates[i].second);
    ++entry.reports;
    selected.push_back(ToRecord(candidates[i].second, entry, now));
  }
  return selected;
}

std::optional<TimePoint> CrashRegistry::StorageDueAt(const Entry& entry) {
  if (!entry.own) {
    return std::nullopt;
  }
  if (entry.losses.empty()) {
    return entry.stored.size() > 1 ? std::optional(TimePoint::min()) : std::nullopt;
  }
  const bool stored = std::ranges::all_of(
      entry.losses, [&entry](const auto& loss) { return entry.stored.contains(loss.first); });
  if (stored) {
    return std::nullopt;
  }
  return entry.losses.size() > 1 ? TimePoint::min() : LastLoss(entry.losses) + kStorageDelay;
}

std::vector<CrashRecord> CrashRegistry::SelectForStorage(TimePoint now) const {
  std::vector<CrashRecord> selected;
  for (const auto& [request, entry] : records_) {
    if (const auto due = StorageDueAt(entry); due && now >= *due) {
      selected.push_back(ToRecord(request, entry, now));
    }
  }
  return selected;
}

TimePoint CrashRegistry::NextStorageAt() const {
  TimePoint next = TimePoint::max();
  for (const auto& [request, entry] : records_) {
    next = std::min(next, StorageDueAt(entry).value_or(TimePoint::max()));
  }
  return next;
}

void CrashRegistry::OnStored(const CrashRecord& record) {
  const auto found = records_.find(record.request);
  if (found == records_.end()) {
    return;
  }
  found->second.stored.clear();
  for (const UpstreamLoss& loss : record.losses) {
    found->second.stored.insert(loss.upstream);
  }
}

}  // namespace savoryglade
