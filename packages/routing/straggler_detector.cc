#include "routing/straggler_detector.h"

#include <algorithm>

namespace savoryglade {
namespace {

constexpr double kSampleWeight = 0.4;
// A single slow answer is as likely to come from a wrong cost prediction as from a slow upstream.
constexpr int kMinSamples = 2;
constexpr Duration kSampleWindow = 5s;
constexpr Duration kInitialProbeInterval = 200ms;
constexpr Duration kMaxProbeInterval = 2s;
constexpr int kProbesToReadmit = 2;
constexpr int kProbeOverdueFactor = 4;
// The median of two upstreams cannot show which of them is slow.
constexpr std::size_t kMinUpstreams = 3;

}  // namespace

void LatencyWindow::Add(double value, TimePoint now) {
  if (count_ == 0 || now - last_sample_at_ > kSampleWindow) {
    mean_ = value;
    count_ = 1;
  } else {
    mean_ += kSampleWeight * (value - mean_);
    ++count_;
  }
  last_sample_at_ = now;
}

std::optional<double> LatencyWindow::RecentMean(TimePoint now) const {
  if (count_ < kMinSamples || now - last_sample_at_ > kSampleWindow) {
    return std::nullopt;
  }
  return mean_;
}

void StragglerDetector::OnSample(LatencyKind kind, double value, double ratio, TimePoint now) {
  const auto index = static_cast<std::size_t>(kind);
  latencies_.at(index).Add(value, now);
  if (ratio > 0) {
    ratios_.at(index).Add(ratio, now);
  }
}

std::optional<double> StragglerDetector::RecentMean(LatencyKind kind, TimePoint now) const {
  return latencies_.at(static_cast<std::size_t>(kind)).RecentMean(now);
}

double StragglerDetector::MaxRecentRatio(TimePoint now) const {
  double largest = 0;
  for (const LatencyWindow& ratio : ratios_) {
    largest = std::max(largest, ratio.RecentMean(now).value_or(0));
  }
  return largest;
}

void StragglerDetector::Eject(TimePoint now) {
  if (ejected_) {
    return;
  }
  ejected_ = true;
  ejected_at_ = now;
  probe_running_ = false;
  slow_stream_seen_ = false;
  good_probes_ = 0;
  probe_interval_ = kInitialProbeInterval;
  next_probe_ = now + probe_interval_;
}

bool StragglerDetector::ProbeDue(TimePoint now) const {
  return ejected_ && !probe_running_ && now >= next_probe_;
}

bool StragglerDetector::ProbeOverdue(TimePoint now) const {
  return ProbeDue(now) && now - next_probe_ >= kProbeOverdueFactor * probe_interval_;
}

bool StragglerDetector::OnStreamSample(double ratio, TimePoint since, TimePoint now) {
  if (!ejected_) {
    return false;
  }
  if (ratio > kReadmitRatio) {
    slow_stream_seen_ = true;
    good_probes_ = 0;
    // The next tokens of the slow stream arrive after about the same time and provide the same
    // evidence as a probe.
    next_probe_ = std::max(next_probe_,
                           now + std::max<Duration>(kInitialProbeInterval, (now - since) * 3 / 2));
    return false;
  }
  // Without slow tokens the upstream was ejected for another cause, which token times do not show.
  if (!slow_stream_seen_ || since < ejected_at_) {
    return false;
  }
  const bool probe_running = probe_running_;
  const bool readmitted = OnProbeEnd(ratio, now);
  probe_running_ = probe_running && !readmitted;
  return readmitted;
}

bool StragglerDetector::OnProbeEnd(double ratio, TimePoint now) {
  probe_running_ = false;
  if (ratio > kReadmitRatio) {
    good_probes_ = 0;
    probe_interval_ = std::min<Duration>(probe_interval_ * 8 / 5, kMaxProbeInterval);
    next_probe_ = now + probe_interval_;
    return false;
  }
  ++good_probes_;
  next_probe_ = now;
  if (good_probes_ < kProbesToReadmit) {
    return false;
  }
  ejected_ = false;
  latencies_ = {};
  ratios_ = {};
  return true;
}

double MedianOf(std::vector<double>& values) {
  if (values.size() < kMinUpstreams) {
    return 0;
  }
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace savoryglade
