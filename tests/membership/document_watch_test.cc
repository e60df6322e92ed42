#include "membership/document_watch.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <optional>
#include <vector>

#include "core/event_queue.h"

namespace savoryglade {
namespace {

constexpr Duration kStoreLatency = 4ms;
constexpr Duration kCallTimeout = 1s;

// A group of daemons that share a document which does not change. Daemon 0 has the lowest rank.
class Group {
 public:
  Group(int daemons, Duration bound, Duration report_interval) : report_interval_(report_interval) {
    for (int i = 0; i < daemons; ++i) {
      daemons_.push_back({.watch = DocumentWatch(bound)});
    }
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      const auto offset = static_cast<int>(i) * report_interval / static_cast<int>(daemons);
      events_.After(offset, [this, i] { Report(i); });
      Read(i);
    }
  }

  // From this time on, the reads of the daemon get no response.
  void Silence(std::size_t daemon, Duration at) {
    events_.At(TimePoint(at), [this, daemon] { daemons_[daemon].silent = true; });
  }

  // Returns the greatest age of the document at a daemon that reaches the store.
  Duration RunUntil(Duration until) {
    Duration oldest = Duration::zero();
    while (events_.now() < TimePoint(until)) {
      events_.RunUntil(events_.now() + 10ms);
      for (const Daemon& daemon : daemons_) {
        if (!daemon.silent) {
          oldest = std::max(oldest, events_.now() - daemon.confirmed);
        }
      }
    }
    return oldest;
  }

  int reads() const { return reads_; }

 private:
  struct Daemon {
    DocumentWatch watch;
    TimePoint confirmed{};
    // Time that this daemon's own reads have confirmed.
    TimePoint read{};
    bool reading = false;
    bool silent = false;
  };

  void Confirm(Daemon& daemon, TimePoint as_of) {
    daemon.confirmed = std::max(daemon.confirmed, as_of);
    daemon.watch.OnConfirmed(as_of);
  }

  void Read(std::size_t index) {
    Daemon& daemon = daemons_[index];
    const auto rank = static_cast<int>(index);
    const std::optional<Duration> wait = daemon.watch.WaitOfRead(rank, events_.now());
    if (!wait) {
      events_.At(std::max(daemon.watch.DueAt(rank), events_.now() + 1ms),
                 [this, index] { Read(index); });
      return;
    }
    ++reads_;
    if (daemon.silent) {
      events_.After(*wait + kCallTimeout, [this, index] { Read(index); });
      return;
    }
    events_.After(*wait + kStoreLatency, [this, index] {
      Daemon& reader = daemons_[index];
      if (!reader.silent) {
        reader.read = events_.now() - kStoreLatency;
        Confirm(reader, reader.read);
        SendReport(index);
      }
      events_.After(20ms, [this, index] { Read(index); });
    });
  }

  void SendReport(std::size_t sender) {
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      if (i != sender) {
        Confirm(daemons_[i], daemons_[sender].read);
      }
    }
  }

  void Report(std::size_t sender) {
    SendReport(sender);
    events_.After(report_interval_, [this, sender] { Report(sender); });
  }

  Duration report_interval_;
  EventQueue events_;
  std::vector<Daemon> daemons_;
  int reads_ = 0;
};

// Guards against calls to the store that grow with the number of daemons.
TEST(DocumentWatchTest, ReadsDoNotGrowWithTheGroup) {
  for (const int daemons : {2, 10, 50, 100}) {
    Group group(daemons, 4s, daemons * 12ms);
    group.RunUntil(10s);
    const int before = group.reads();
    EXPECT_LT(group.RunUntil(70s), 4s) << daemons;
    // One read of two seconds after another.
    EXPECT_LE(group.reads() - before, 31) << daemons;
  }
}

// Guards against routes that are out of date everywhere because the one daemon that watches them
// gets no response.
TEST(DocumentWatchTest, OtherDaemonsReadWhenTheWatcherGetsNoResponse) {
  for (const Duration bound : {Duration(2s), Duration(3s), Duration(4s)}) {
    Group group(20, bound, 240ms);
    group.Silence(0, 10s);
    EXPECT_LT(group.RunUntil(40s), bound) << ToSeconds(bound);
  }
}

// Guards against a bound that depends on more than one daemon.
TEST(DocumentWatchTest, BoundHoldsWithASingleDaemonThatReachesTheStore) {
  constexpr std::size_t kDaemons = 8;
  Group group(kDaemons, 2s, 150ms);
  for (std::size_t i = 0; i + 1 < kDaemons; ++i) {
    group.Silence(i, 10s);
  }
  EXPECT_LT(group.RunUntil(40s), 2s);
}

}  // namespace
}  // namespace savoryglade
