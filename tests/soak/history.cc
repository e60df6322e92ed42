#include "soak/history.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace savoryglade::soak {
namespace {

// Time before and after a violation that its timeline covers.
constexpr Duration kTimelineSpan = 12s;

std::string Describe(const AttemptRecord& attempt) {
  return fmt::format(
      "{} {} at daemon {} ({} connection): status {}, {}, events {} to {}{}{}{}{}", attempt.id,
      std::string(attempt.type->prefix), attempt.daemon, attempt.reused_connection ? "kept" : "new",
      attempt.status, attempt.complete ? "complete" : "not complete", attempt.events_before,
      attempt.events_after, attempt.resumes.empty() ? "" : ", resumes " + attempt.resumes,
      attempt.in_chunks ? ", in chunks" : "", attempt.begun_ahead ? ", begun ahead" : "",
      attempt.failure.empty() ? "" : ", " + attempt.failure);
}

}  // namespace

void History::AddAttempt(AttemptRecord attempt) {
  const std::lock_guard lock(mutex_);
  attempts_.push_back(std::move(attempt));
}

void History::AddEvent(EventKind kind, std::optional<std::size_t> daemon, std::string text) {
  const std::lock_guard lock(mutex_);
  events_.push_back({.at = now_(), .kind = kind, .daemon = daemon, .text = std::move(text)});
}

void History::AddBreak(const std::string& upstream) {
  const std::lock_guard lock(mutex_);
  breaks_[upstream].push_back(now_());
}

void History::AddServing(const std::string& version, int change) {
  const std::lock_guard lock(mutex_);
  std::map<TimePoint, int>& counts = serving_[version];
  const int before = counts.empty() ? 0 : counts.rbegin()->second;
  counts[now_()] = before + change;
}

void History::AddRateLimit(const std::string& upstream, std::optional<double> rate) {
  const std::lock_guard lock(mutex_);
  rate_limits_[upstream].push_back({.from = now_(), .rate = rate});
  arrivals_[upstream];
}

void History::AddWish(const std::string& upstream, const std::string& attempt,
                      std::optional<TimePoint> wait_end) {
  const std::lock_guard lock(mutex_);
  wishes_[upstream].push_back({.at = now_(), .attempt = attempt, .wait_end = wait_end});
}

void History::BeginBrittleTime(std::size_t upstreams) {
  const std::lock_guard lock(mutex_);
  brittle_times_.push_back({.from = now_(), .upstreams = upstreams});
}

void History::EndBrittleTime() {
  const std::lock_guard lock(mutex_);
  brittle_times_.back().to = now_();
}

void History::AddFall(Fall fall) {
  const std::lock_guard lock(mutex_);
  falls_.push_back(std::move(fall));
}

void History::AddArrival(const std::string& upstream, const std::string& attempt) {
  const std::lock_guard lock(mutex_);
  arrivals_[upstream].push_back({.at = now_(), .attempt = attempt});
}

std::size_t History::BeginRun(const std::string& attempt, RunRecord run) {
  const std::lock_guard lock(mutex_);
  std::vector<RunRecord>& runs = runs_[attempt];
  runs.push_back(std::move(run));
  runs.back().started_at = now_();
  return runs.size() - 1;
}

void History::RecordFirstSend(const std::string& attempt, std::size_t run) {
  const std::lock_guard lock(mutex_);
  std::optional<TimePoint>& first_sent_at = runs_[attempt][run].first_sent_at;
  first_sent_at = first_sent_at.value_or(now_());
}

void History::EndRun(const std::string& attempt, std::size_t run) {
  const std::lock_guard lock(mutex_);
  runs_[attempt][run].ended_at = now_();
}

void History::AddViolation(std::string rule, std::string text, std::optional<std::size_t> daemon) {
  const std::lock_guard lock(mutex_);
  violations_.push_back(
      {.rule = std::move(rule), .text = std::move(text), .daemon = daemon, .at = now_()});
}

std::vector<RunRecord> History::RunsOf(const std::string& attempt) const {
  const auto found = runs_.find(attempt);
  return found == runs_.end() ? std::vector<RunRecord>() : found->second;
}

bool History::BrokeBetween(const std::string& upstream, TimePoint from, TimePoint to) const {
  const auto found = breaks_.find(upstream);
  return found != breaks_.end() &&
         std::ranges::any_of(found->second, [&](TimePoint at) { return from <= at && at <= to; });
}

std::optional<TimePoint> History::EndOf(const std::string& upstream) const {
  const auto found = breaks_.find(upstream);
  return found == breaks_.end() ? std::nullopt : std::optional(found->second.front());
}

int History::ServingBetween(const std::string& version, TimePoint from, TimePoint to) const {
  const auto counts = serving_.find(version);
  if (counts == serving_.end()) {
    return 0;
  }
  auto entry = counts->second.upper_bound(from);
  int smallest = entry == counts->second.begin() ? 0 : std::prev(entry)->second;
  for (; entry != counts->second.end() && entry->first <= to; ++entry) {
    smallest = std::min(smallest, entry->second);
  }
  return smallest;
}

std::string History::Timeline(const Violation& violation) const {
  std::vector<std::pair<TimePoint, std::string>> lines;
  for (const PlayEvent& event : events_) {
    const bool concerned = !event.daemon || event.daemon == violation.daemon;
    if (concerned && event.at > violation.at - kTimelineSpan &&
        event.at < violation.at + kTimelineSpan) {
      lines.emplace_back(event.at, event.text);
    }
  }
  if (const AttemptRecord* attempt = violation.attempt; attempt != nullptr) {
    lines.emplace_back(attempt->sent_at, fmt::format("request {} sent", attempt->id));
    lines.emplace_back(attempt->ended_at, "ended: " + Describe(*attempt));
    for (const RunRecord& run : RunsOf(attempt->id)) {
      lines.emplace_back(
          run.started_at,
          fmt::format("began to run at {} ({}) behind event {}, silent "
                      "for {} ms",
                      run.upstream, run.version, run.events_before, run.silence / 1ms));
      if (run.ended_at) {
        lines.emplace_back(*run.ended_at, fmt::format("run ended at {}", run.upstream));
      }
    }
  }
  std::ranges::stable_sort(lines, {}, &std::pair<TimePoint, std::string>::first);
  std::string text;
  for (const auto& [at, line] : lines) {
    text += fmt::format("    {:+9.3f} s  {}\n", ToSeconds(at - violation.at), line);
  }
  return text;
}

}  // namespace savoryglade::soak
