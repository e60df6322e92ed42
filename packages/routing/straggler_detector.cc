#include "routing/straggler_detector.h"

#include <algorithm>

namespace savoryglade {
namespace {

constexpr double kSampleWeight = 0.4;
// One slow answer is as likely a wrong prediction as a slow upstream.
constexpr int kFewestSamples = 2;
constexpr Duration kWindow = 5s;
constexpr Duration kFirstProbe = 200ms;
constexpr Duration kLongestProbeInterval = 2s;
constexpr int kGoodProbes = 2;
constexpr int kProbeOverdueFactor = 4;
// The median of two upstreams can't tell which of them is slow.
constexpr std::size_t kFewestUpstreams = 3;

}  // namespace

void LatencyWindow::Add(double value, TimePoint now) {
  if (count_ == 0 || now - last_ > kWindow) {
    value_ = value;
    count_ = 1;
  } else {
    value_ += kSampleWeight * (value - value_);
    ++count_;
  }
  last_ = now;
}

std::optional<double> LatencyWindow::Value(TimePoint now) const {
  if (count_ < kFewestSamples || now - last_ > kWindow) {
    return std::nullopt;
  }
  return value_;
}

void StragglerDetector::OnSample(LatencyKind kind, double value, double ratio, TimePoint now) {
  const auto index = static_cast<std::size_t>(kind);
  values_.at(index).Add(value, now);
  if (ratio > 0) {
    ratios_.at(index).Add(ratio, now);
  }
}

std::optional<double> StragglerDetector::Value(LatencyKind kind, TimePoint now) const {
  return values_.at(static_cast<std::size_t>(kind)).Value(now);
}

double StragglerDetector::Ratio(TimePoint now) const {
  double largest = 0;
  for (const LatencyWindow& ratio : ratios_) {
    largest = std::max(largest, ratio.Value(now).value_or(0));
  }
  return largest;
}

void StragglerDetector::Leave(TimePoint now) {
  if (left_) {
    return;
  }
  left_ = true;
  left_at_ = now;
  probe_running_ = false;
  streams_were_slow_ = false;
  good_probes_ = 0;
  probe_interval_ = kFirstProbe;
  next_probe_ = now + probe_interval_;
}

bool StragglerDetector::ProbeDue(TimePoint now) const {
  return left_ && !probe_running_ && now >= next_probe_;
}

bool StragglerDetector::ProbeOverdue(TimePoint now) const {
  return ProbeDue(now) && now - next_probe_ >= kProbeOverdueFactor * probe_interval_;
}

bool StragglerDetector::OnStreamEvidence(double ratio, TimePoint since, TimePoint now) {
  if (!left_) {
    return false;
  }
  if (ratio > kReturnRatio) {
    streams_were_slow_ = true;
    good_probes_ = 0;
    // The next tokens of the slow stream are due after about as long again, and tell as much.
    next_probe_ =
        std::max(next_probe_, now + std::max<Duration>(kFirstProbe, (now - since) * 3 / 2));
    return false;
  }
  // Without slow tokens the upstream was left for another cause, which tokens say nothing about.
  if (!streams_were_slow_ || since < left_at_) {
    return false;
  }
  const bool probe_running = probe_running_;
  const bool returned = OnProbeEnd(ratio, now);
  probe_running_ = probe_running && !returned;
  return returned;
}

bool StragglerDetector::OnProbeEnd(double ratio, TimePoint now) {
  probe_running_ = false;
  if (ratio > kReturnRatio) {
    good_probes_ = 0;
    probe_interval_ = std::min<Duration>(probe_interval_ * 8 / 5, kLongestProbeInterval);
    next_probe_ = now + probe_interval_;
    return false;
  }
  ++good_probes_;
  next_probe_ = now;
  if (good_probes_ < kGoodProbes) {
    return false;
  }
  left_ = false;
  values_ = {};
  ratios_ = {};
  return true;
}

double MedianOf(std::vector<double>& values) {
  if (values.size() < kFewestUpstreams) {
    return 0;
  }
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace savoryglade
