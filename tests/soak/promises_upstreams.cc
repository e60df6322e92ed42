#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "soak/promise_checker.h"

namespace savoryglade::soak {
namespace {

// Crashes after which a request is judged, and the later sends that are allowed.
constexpr std::size_t kJudgedCrashes = 3;
constexpr std::size_t kLateSends = 3;
// Requests that an upstream may get in a window, as a multiple of what its limit allows, and
// beyond.
constexpr Duration kRateLimitWindow = 4s;
constexpr double kRateLimitFactor = 1.5;
constexpr double kRateLimitSlack = 5;
// Time after a rejection from which an upstream that wants nothing gets at most these requests.
constexpr Duration kWaitSlack = 500ms;
constexpr std::size_t kUnwantedRequests = 2;
// Crashes of brittle upstreams that are allowed: a number and a share of the upstreams.
constexpr double kAllowedFalls = 2;
constexpr double kAllowedFallShare = 0.1;

}  // namespace

void PromiseChecker::CheckCrashingRequests() {
  std::set<std::string> paths;
  for (const AttemptRecord& attempt : history_.attempts()) {
    paths.insert(attempt.crashing_path);
  }
  paths.erase(std::string());
  for (const std::string& path : paths) {
    CheckCrashingRequest(path);
  }
}

void PromiseChecker::CheckCrashingRequest(const std::string& path) {
  std::vector<std::pair<TimePoint, const AttemptRecord*>> runs;
  std::set<std::string> upstreams;
  std::vector<TimePoint> crashes;
  for (const AttemptRecord& attempt : history_.attempts()) {
    for (const RunRecord& run : history_.RunsOf(attempt.id)) {
      if (attempt.crashing_path != path) {
        continue;
      }
      runs.emplace_back(run.started_at, &attempt);
      const std::optional<TimePoint> end = history_.EndOf(run.upstream);
      if (end && upstreams.insert(run.upstream).second) {
        crashes.push_back(*end);
      }
    }
  }
  std::ranges::sort(crashes);
  if (crashes.size() < kJudgedCrashes) {
    return;
  }
  const TimePoint known = crashes[kJudgedCrashes - 1] + bounds_.contact;
  std::vector<const AttemptRecord*> late;
  for (const auto& [started_at, attempt] : runs) {
    if (started_at > known && IsInTouch(*attempt, true, bounds_.contact)) {
      late.push_back(attempt);
    }
  }
  if (late.size() > kLateSends) {
    Add("BUDGET",
        fmt::format("The request {} was sent {} times more after three crashes; {} upstreams "
                    "ended in all.",
                    path, late.size(), crashes.size()),
        *late[kLateSends]);
  }
}

void PromiseChecker::CheckWishes() {
  const AttemptIndex attempts = IndexAttempts();
  for (const auto& [upstream, wishes] : history_.wishes()) {
    // Daemons with an answer that says that the upstream leaves, and when it was passed on.
    std::map<std::size_t, TimePoint> notices;
    for (const NamedWish& wish : wishes) {
      const auto answered = attempts.find(wish.attempt);
      if (answered == attempts.end()) {
        continue;
      }
      const AttemptRecord& answer = *answered->second;
      if (wish.wait_end) {
        CheckWait(upstream, wish, answer.daemon, attempts);
      } else if (answer.complete && !answer.left_by_caller) {
        notices.try_emplace(answer.daemon, answer.ended_at);
      }
    }
    for (const Arrival& arrival : history_.ArrivalsAt(upstream)) {
      const auto sent = attempts.find(arrival.attempt);
      const auto notice =
          sent == attempts.end() ? notices.end() : notices.find(sent->second->daemon);
      if (notice != notices.end() &&
          sent->second->sent_at > notice->second + bounds_.upstream_drain &&
          !IsExcused(notice->first, notice->second, arrival.at)) {
        Add("DRAIN",
            fmt::format("{} said that it leaves and got a request sent {} ms later.", upstream,
                        (sent->second->sent_at - notice->second) / 1ms),
            *sent->second);
      }
    }
  }
}

void PromiseChecker::CheckWait(const std::string& upstream, const NamedWish& wish,
                               std::size_t daemon, const AttemptIndex& attempts) {
  std::vector<const AttemptRecord*> unwanted;
  for (const Arrival& arrival : history_.ArrivalsAt(upstream)) {
    const auto sent = attempts.find(arrival.attempt);
    if (arrival.at > wish.at + kWaitSlack && arrival.at < *wish.wait_end &&
        sent != attempts.end() && sent->second->daemon == daemon) {
      unwanted.push_back(sent->second);
    }
  }
  if (unwanted.size() > kUnwantedRequests && !IsExcused(daemon, wish.at, *wish.wait_end)) {
    Add("BUDGET",
        fmt::format("{} wanted nothing for {} ms and got {} requests of one daemon.", upstream,
                    (*wish.wait_end - wish.at) / 1ms, unwanted.size()),
        *unwanted.back());
  }
}

void PromiseChecker::CheckRateLimits() {
  const AttemptIndex attempts = IndexAttempts();
  for (const auto& [upstream, limits] : history_.rate_limits()) {
    std::vector<std::pair<TimePoint, const AttemptRecord*>> counted;
    for (const Arrival& arrival : history_.ArrivalsAt(upstream)) {
      const auto attempt = attempts.find(arrival.attempt);
      if (attempt != attempts.end() && IsCalm(attempt->second->daemon, arrival.at)) {
        counted.emplace_back(arrival.at, attempt->second);
      }
    }
    for (std::size_t i = 0; i < limits.size(); ++i) {
      if (limits[i].rate) {
        const TimePoint to = i + 1 < limits.size() ? limits[i + 1].from : TimePoint::max();
        CheckRateLimit(upstream, *limits[i].rate, limits[i].from + bounds_.contact, to, counted);
      }
    }
  }
}

void PromiseChecker::CheckRateLimit(
    const std::string& upstream, double rate, TimePoint from, TimePoint to,
    const std::vector<std::pair<TimePoint, const AttemptRecord*>>& arrivals) {
  const double allowed = kRateLimitFactor * rate * ToSeconds(kRateLimitWindow) + kRateLimitSlack;
  std::deque<TimePoint> window;
  for (const auto& [at, attempt] : arrivals) {
    if (at < from || at >= to) {
      continue;
    }
    window.push_back(at);
    while (at - window.front() >= kRateLimitWindow) {
      window.pop_front();
    }
    if (static_cast<double>(window.size()) > allowed) {
      Add("LIMIT",
          fmt::format("{} named {:.1f}/s and got {} requests in {} s; {:.0f} allowed.", upstream,
                      rate, window.size(), ToSeconds(kRateLimitWindow), allowed),
          *attempt);
      return;
    }
  }
}

void PromiseChecker::CheckRepeats() {
  const AttemptIndex attempts = IndexAttempts();
  std::vector<TimePoint> requests;
  for (const AttemptRecord& attempt : history_.attempts()) {
    if (attempt.sent) {
      requests.push_back(attempt.sent_at);
    }
  }
  std::ranges::sort(requests);
  std::vector<Arrival> arrivals;
  for (const auto& [upstream, at_upstream] : history_.arrivals()) {
    arrivals.insert(arrivals.end(), at_upstream.begin(), at_upstream.end());
  }
  std::ranges::sort(arrivals, {}, &Arrival::at);
  // Number of requests in the window that ends then.
  const auto requests_until = [&](TimePoint end) {
    return std::ranges::upper_bound(requests, end) -
           std::ranges::upper_bound(requests, end - bounds_.retry_window);
  };
  std::set<std::string> arrived;
  std::deque<TimePoint> window;
  for (const Arrival& arrival : arrivals) {
    if (arrived.insert(arrival.attempt).second) {
      continue;
    }
    window.push_back(arrival.at);
    while (arrival.at - window.front() >= bounds_.retry_window) {
      window.pop_front();
    }
    const auto sent =
        std::max({requests_until(arrival.at), requests_until(arrival.at - bounds_.retry_window / 2),
                  requests_until(arrival.at - bounds_.retry_window)});
    const double allowed =
        bounds_.retry_ratio * static_cast<double>(sent) + bounds_.retry_allowance;
    const auto attempt = attempts.find(arrival.attempt);
    if (static_cast<double>(window.size()) > allowed && attempt != attempts.end()) {
      Add("BUDGET",
          fmt::format("{} repeats arrived in {} s; {:.1f} allowed for {} requests.", window.size(),
                      ToSeconds(bounds_.retry_window), allowed, sent),
          *attempt->second);
      return;
    }
  }
}

void PromiseChecker::CheckFalls() {
  const AttemptIndex attempts = IndexAttempts();
  for (const BrittleTime& time : history_.brittle_times()) {
    std::size_t falls = 0;
    const AttemptRecord* last = nullptr;
    for (const Fall& fall : history_.falls()) {
      if (fall.back().at < time.from || fall.back().at >= time.to) {
        continue;
      }
      std::size_t in_touch = 0;
      for (const Arrival& rejected : fall) {
        const auto attempt = attempts.find(rejected.attempt);
        if (attempt != attempts.end() && IsInTouch(*attempt->second, true, bounds_.contact)) {
          ++in_touch;
          last = attempt->second;
        }
      }
      falls += 2 * in_touch > fall.size() ? 1 : 0;
    }
    const double allowed = kAllowedFalls + kAllowedFallShare * static_cast<double>(time.upstreams);
    if (static_cast<double>(falls) > allowed) {
      Add("LIMIT",
          fmt::format("Of {} brittle upstreams {} crashed from rejections; {:.1f} allowed.",
                      time.upstreams, falls, allowed),
          *last);
    }
  }
}

}  // namespace savoryglade::soak
