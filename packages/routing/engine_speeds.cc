#include "routing/engine_speeds.h"

#include <algorithm>
#include <cmath>

namespace savoryglade {
namespace {

// Events with a shorter interval were delayed on the way and arrived together.
constexpr Duration kMinInterval = 1ms;

}  // namespace

void StreamPace::OnEvents(TimePoint now) {
  if (last_ != TimePoint{} && now - last_ >= kMinInterval && intervals_.size() < kMaxIntervals) {
    intervals_.push_back(static_cast<float>(ToSeconds(now - last_)));
  }
  last_ = now;
}

double StreamPace::LowerQuartile() const {
  if (intervals_.size() < kMinIntervals) {
    return 0;
  }
  std::vector<float> sorted = intervals_;
  const auto quartile = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 4);
  std::ranges::nth_element(sorted, quartile);
  return *quartile;
}

void EngineSpeeds::OnStream(std::uint64_t process, double interval_s, bool late) {
  if (interval_s <= 0) {
    return;
  }
  Own& own = own_[process];
  own.streams = std::min(own.streams + 1, options_.max_streams);
  own.interval_s += (interval_s - own.interval_s) / own.streams;
  own.late_fraction += ((late ? 1 : 0) - own.late_fraction) / own.streams;
  own.changed = true;
}

void EngineSpeeds::Add(const ReportedPace& pace, int sign) {
  Sum& sum = reported_[pace.process];
  sum.weight += sign * pace.streams;
  sum.weighted_log += sign * pace.streams * std::log(pace.interval_s);
  sum.weighted_late += sign * pace.streams * pace.late_fraction;
  if (sum.weight <= 0) {
    reported_.erase(pace.process);
  }
}

void EngineSpeeds::OnReport(const ReportSource& source, const std::vector<ReportedPace>& paces,
                            TimePoint now) {
  Source& known = sources_[source];
  known.last_report_at = now;
  for (const ReportedPace& pace : paces) {
    if (pace.streams <= 0 || !(pace.interval_s > 0)) {
      continue;
    }
    ReportedPace& held = known.paces[pace.process];
    if (held.streams > 0) {
      Add(held, -1);
    }
    held = pace;
    held.streams = std::min(held.streams, options_.max_streams);
    Add(held, 1);
  }
}

std::vector<ReportedPace> EngineSpeeds::SelectForReport(std::size_t limit) {
  std::vector<ReportedPace> selected;
  const auto select = [&](std::uint64_t process, Own& own) {
    selected.push_back({.process = process,
                        .interval_s = own.interval_s,
                        .late_fraction = own.late_fraction,
                        .streams = own.streams});
    own.changed = false;
  };
  for (auto& [process, own] : own_) {
    if (own.changed && selected.size() < limit) {
      select(process, own);
    }
  }
  const std::size_t others = std::min(limit - selected.size(), own_.size() - selected.size());
  for (std::size_t i = 0; i < others; ++i) {
    auto next = own_.upper_bound(last_reported_);
    next = next == own_.end() ? own_.begin() : next;
    last_reported_ = next->first;
    select(next->first, next->second);
  }
  return selected;
}

EngineSpeeds::Pace EngineSpeeds::PaceOf(std::uint64_t process) const {
  Sum sum;
  if (const auto found = reported_.find(process); found != reported_.end()) {
    sum = found->second;
  }
  if (const auto found = own_.find(process); found != own_.end()) {
    sum.weight += found->second.streams;
    sum.weighted_log += found->second.streams * std::log(found->second.interval_s);
    sum.weighted_late += found->second.streams * found->second.late_fraction;
  }
  if (sum.weight < options_.min_streams) {
    return {};
  }
  return {.known = true,
          .log_interval = sum.weighted_log / sum.weight,
          .late_fraction = std::clamp(sum.weighted_late / sum.weight, 0.0, 1.0)};
}

double EngineSpeeds::FactorOf(std::uint64_t process, double service_log_interval) const {
  const Pace pace = PaceOf(process);
  if (!pace.known) {
    return 1;
  }
  const double ratio = pace.log_interval - service_log_interval;
  if (std::abs(ratio) < std::log(options_.min_ratio)) {
    return 1;
  }
  const double limit = std::log(options_.max_factor);
  return std::exp(std::clamp(ratio, -limit, limit));
}

void EngineSpeeds::Expire(TimePoint now) {
  std::erase_if(sources_, [&](const auto& entry) {
    if (now - entry.second.last_report_at <= options_.source_lifetime) {
      return false;
    }
    for (const auto& [process, pace] : entry.second.paces) {
      Add(pace, -1);
    }
    return true;
  });
}

}  // namespace savoryglade
