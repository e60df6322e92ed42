#include "routing/availability.h"

#include <algorithm>

namespace savoryglade {
namespace {

constexpr double kInitialPauseSeconds = 0.5;
constexpr double kMaxPauseSeconds = 30;
constexpr int kMaxDoublings = 6;
// An upstream that is still configured this long after its announced departure did not leave; the
// withdrawal of its notice was lost.
constexpr Duration kNoticeGrace = 60s;

}  // namespace

Availability::State Availability::StateAt(TimePoint now) const {
  if (leaving_ && now < notice_expires_) {
    return State::kLeaving;
  }
  if (failures_ == 0 && !leaving_) {
    return State::kUsable;
  }
  return now < paused_until_ || probe_running_ ? State::kPaused : State::kProbe;
}

bool Availability::OnNotice(const LeaveNotice& notice, TimePoint /*now*/) {
  const bool repeated =
      notice.sequence != 0 ? notice.sequence <= notice_sequence_ : notice.leaving == leaving_;
  if (repeated) {
    return false;
  }
  notice_sequence_ = std::max(notice_sequence_, notice.sequence);
  leaving_ = notice.leaving;
  notice_expires_ = notice.leaves_at < TimePoint::max() - kNoticeGrace
                        ? notice.leaves_at + kNoticeGrace
                        : TimePoint::max();
  return true;
}

void Availability::OnFailure(TimePoint now, Random& random) {
  probe_running_ = false;
  // All attempts on an upstream that dies fail together; they count as one failure.
  if (failures_ > 0 && now < paused_until_) {
    return;
  }
  const double pause =
      std::min(kMaxPauseSeconds, kInitialPauseSeconds * (1 << std::min(failures_, kMaxDoublings)));
  ++failures_;
  // Jitter prevents the daemons from probing at the same time.
  paused_until_ = now + FromSeconds(pause * (0.75 + 0.5 * random.UniformReal()));
}

bool Availability::OnSuccess(TimePoint now) {
  const bool was_probed = probe_running_ || (failures_ > 0 && now >= paused_until_);
  if (!was_probed) {
    return false;
  }
  probe_running_ = false;
  failures_ = 0;
  if (leaving_ && now >= notice_expires_) {
    leaving_ = false;
  }
  return true;
}

}  // namespace savoryglade
