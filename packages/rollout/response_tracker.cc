#include "rollout/response_tracker.h"

#include <algorithm>
#include <cmath>

namespace savoryglade::rollout {
namespace {

constexpr double kQuantile = 0.8;
// Bad versions are several times slower, usually eight times. Three leaves room for both.
constexpr double kSlowFactor = 3;
// Shortest time that counts as slow; shorter ones are within the delays of a busy daemon.
constexpr Duration kMinSlowTime = 40ms;
constexpr int kMinSamples = 5;
constexpr double kFinalStep = 0.06;
// Time in which the loss of an upstream shows after a connection to it has broken: an attempt to
// connect takes up to 300 ms.
constexpr Duration kLossDelay = 600ms;
constexpr Duration kLossMemory = 3s;

}  // namespace

void ResponseTimeEstimate::Add(Duration time) {
  const double sample = std::log(std::max(ToSeconds(time), 1e-4));
  ++samples_;
  if (samples_ == 1) {
    log_seconds_ = sample;
    return;
  }
  const double step = std::max(kFinalStep, 1.0 / samples_);
  log_seconds_ += step * (sample > log_seconds_ ? kQuantile : kQuantile - 1);
}

std::optional<Duration> ResponseTimeEstimate::SlowLimit() const {
  if (samples_ < kMinSamples) {
    return std::nullopt;
  }
  return std::max(kMinSlowTime, FromSeconds(std::exp(log_seconds_) * kSlowFactor));
}

std::optional<Duration> ResponseTracker::SlowLimitOf(const TrackedRequest& request) const {
  if (const auto found = times_.find({request.service, request.route}); found != times_.end()) {
    if (const std::optional<Duration> limit = found->second.SlowLimit()) {
      return limit;
    }
  }
  const auto found = service_times_.find(request.service);
  return found == service_times_.end() ? std::nullopt : found->second.SlowLimit();
}

void ResponseTracker::OnSent(Key key, const TrackedRequest& request, TimePoint now) {
  if (!directory_.enabled()) {
    return;
  }
  directory_.OnSent(request.service, request.route, request.version);
  open_[key] = {.request = request, .sent_at = now};
}

void ResponseTracker::JudgeTime(Open& open, TimePoint now) {
  const Duration time = now - open.sent_at;
  const std::optional<Duration> limit = SlowLimitOf(open.request);
  const RolloutDirectory::Entry* const entry = directory_.Find(open.request.service);
  if (entry == nullptr || entry->version != open.request.version) {
    times_[{open.request.service, open.request.route}].Add(time);
    service_times_[open.request.service].Add(time);
  }
  if (!open.is_judged) {
    open.is_judged = true;
    Count(open.request, limit && time > *limit ? ResponseQuality::kSlow : ResponseQuality::kGood);
  }
}

void ResponseTracker::OnFirstEvent(Key key, TimePoint now) {
  if (const auto found = open_.find(key); found != open_.end()) {
    JudgeTime(found->second, now);
  }
}

void ResponseTracker::OnEnd(Key key, TrackedEnd end, TimePoint now) {
  const auto found = open_.find(key);
  if (found == open_.end()) {
    return;
  }
  Open open = std::move(found->second);
  open_.erase(found);
  switch (end) {
    case TrackedEnd::kAnswered:
      if (!open.is_judged) {
        JudgeTime(open, now);
      }
      break;
    case TrackedEnd::kFailed:
      if (!open.is_overdue && !IsLost(open.request.upstream, open.sent_at)) {
        Count(open.request, ResponseQuality::kFailed);
      }
      break;
    case TrackedEnd::kBrokenOff:
      broken_off_.emplace_back(now, std::move(open.request));
      break;
    case TrackedEnd::kNone:
      break;
  }
}

void ResponseTracker::OnUpstreamLost(const UpstreamId& upstream, TimePoint now) {
  if (directory_.enabled()) {
    lost_at_[upstream] = now;
  }
}

bool ResponseTracker::IsLost(const UpstreamId& upstream, TimePoint since) const {
  const auto found = lost_at_.find(upstream);
  return found != lost_at_.end() && found->second >= since;
}

void ResponseTracker::Tick(TimePoint now) {
  for (auto& [key, open] : open_) {
    const std::optional<Duration> limit = open.is_judged ? std::nullopt : SlowLimitOf(open.request);
    if (limit && now - open.sent_at > *limit && !IsLost(open.request.upstream, open.sent_at)) {
      open.is_judged = true;
      open.is_overdue = true;
      Count(open.request, ResponseQuality::kSlow);
    }
  }
  std::erase_if(broken_off_, [&](const auto& broken) {
    const auto& [at, request] = broken;
    if (now - at < kLossDelay) {
      return false;
    }
    if (!IsLost(request.upstream, at - kLossDelay)) {
      Count(request, ResponseQuality::kFailed);
    }
    return true;
  });
  std::erase_if(lost_at_, [now](const auto& lost) { return now - lost.second > kLossMemory; });
}

}  // namespace savoryglade::rollout
