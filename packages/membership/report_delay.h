#pragma once

#include <cstdint>
#include <map>

#include "core/strong_id.h"
#include "core/time.h"

namespace savoryglade {

// Estimates how long a peer's report was under way, from the sender's clock in it. The fastest
// report of the last one to two minutes counts as delivered at once, because the clocks have no
// common origin; drift between them adds a few milliseconds. Not thread-safe.
class ReportDelay {
 public:
  // Returns by how much longer this report took than the fastest recent one. The sender's clock
  // must not be adjusted during an incarnation.
  Duration OnReport(const DaemonId& sender, std::uint64_t incarnation, Duration sender_clock,
                    TimePoint now);
  void Remove(const DaemonId& sender) { senders_.erase(sender); }

 private:
  static constexpr Duration kWindow = 60s;

  struct Sender {
    std::uint64_t incarnation = 0;
    TimePoint window_start{};
    // Smallest differences between the local clock and the sender's, in this window and in the one
    // before it.
    Duration current = Duration::max();
    Duration previous = Duration::max();
  };

  std::map<DaemonId, Sender> senders_;
};

}  // namespace savoryglade
