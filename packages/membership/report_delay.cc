#include "membership/report_delay.h"

#include <algorithm>

namespace savoryglade {

Duration ReportDelay::OnReport(const DaemonId& sender, std::uint64_t incarnation,
                               Duration sender_clock, TimePoint now) {
  const auto [found, is_new] = senders_.try_emplace(sender);
  Sender& state = found->second;
  if (is_new || state.incarnation != incarnation) {
    state = {.incarnation = incarnation, .window_start = now};
  } else if (now - state.window_start >= kWindow) {
    state.previous = now - state.window_start < 2 * kWindow ? state.current : Duration::max();
    state.current = Duration::max();
    state.window_start = now;
  }
  const Duration difference = now.time_since_epoch() - sender_clock;
  state.current = std::min(state.current, difference);
  return difference - std::min(state.current, state.previous);
}

}  // namespace savoryglade
