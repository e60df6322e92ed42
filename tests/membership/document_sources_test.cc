#include "membership/document_sources.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "core/event_queue.h"

namespace savoryglade {
namespace {

constexpr std::uint64_t kVersion = 2;

const DaemonId kA("a");
const DaemonId kB("b");

TEST(DocumentSourcesTest, OnlyPeersWithANewerVersionAreAsked) {
  DocumentSources sources({});
  Random random(1);
  const TimePoint now{};
  sources.OnReport(kA, 1, now);
  EXPECT_FALSE(sources.HasNewer(1, now));
  EXPECT_FALSE(sources.Choose(1, now, random));
  sources.OnReport(kB, 2, now);
  EXPECT_TRUE(sources.HasNewer(1, now));
  EXPECT_EQ(sources.Choose(1, now, random), kB);
}

// Guards against a daemon that asks for a version for ever after its only holder is gone.
TEST(DocumentSourcesTest, APeerThatNoLongerReportsIsNotAsked) {
  DocumentSources sources({.report_lifetime = 1s});
  Random random(1);
  sources.OnReport(kA, 2, TimePoint{});
  EXPECT_FALSE(sources.HasNewer(1, TimePoint{} + 1001ms));
  EXPECT_FALSE(sources.Choose(1, TimePoint{} + 1001ms, random));
}

TEST(DocumentSourcesTest, PeersThatAreBusyOrFailArePassedOverForAWhile) {
  DocumentSources sources({.busy_pause = 40ms, .failure_pause = 250ms});
  Random random(1);
  TimePoint now{};
  sources.OnReport(kA, 2, now);
  sources.OnReport(kB, 2, now);
  sources.OnBusy(kA, now);
  EXPECT_EQ(sources.Choose(1, now, random), kB);
  sources.OnFailure(kB, now);
  EXPECT_FALSE(sources.Choose(1, now, random));
  now += 40ms;
  EXPECT_EQ(sources.Choose(1, now, random), kA);
  now += 210ms;
  sources.OnFailure(kA, now);
  EXPECT_EQ(sources.Choose(1, now, random), kB);
  sources.OnFailure(kB, now);
  sources.OnReport(kB, 2, now + 499ms);
  EXPECT_EQ(sources.Choose(1, now + 499ms, random), kA) << "The second pause is twice as long.";
}

// Daemons that fetch a document from each other over links with a rate, on a virtual clock. Each
// daemon serves two transfers at once, which share its link.
class TransferModel {
 public:
  struct Options {
    int daemons = 0;
    double document_bytes = 0;
    double link_bytes_per_s = 0;
    // Share of the transfers that break off, and of the reports that are lost.
    double break_share = 0;
    double loss_share = 0;
    std::uint64_t seed = 1;
  };

  explicit TransferModel(Options options)
      : options_(options), random_(options.seed), daemons_(options.daemons) {}

  // Returns the time after which all daemons hold the document that two of them hold at first.
  Duration Run() {
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      Report(i);
      if (i >= 2) {
        Fetch(i);
      }
    }
    Receive(0);
    Receive(1);
    constexpr Duration kLimit = 60s;
    for (Duration time = 10ms; time < kLimit; time += 10ms) {
      queue_.RunUntil(TimePoint{} + time);
      if (std::ranges::all_of(daemons_, &Daemon::holds)) {
        return time;
      }
    }
    return kLimit;
  }

 private:
  static constexpr Duration kLatency = 2ms;
  static constexpr Duration kReportInterval = 200ms;
  static constexpr Duration kRetryInterval = 20ms;
  static constexpr int kMaxTransfers = 2;

  struct Daemon {
    DocumentSources sources{{}};
    bool holds = false;
    int transfers = 0;
  };

  static DaemonId Name(std::size_t daemon) { return DaemonId(std::to_string(daemon)); }

  void SendReports(std::size_t from) {
    for (std::size_t to = 0; to < daemons_.size(); ++to) {
      if (to != from && !random_.Bernoulli(options_.loss_share)) {
        queue_.After(kLatency, [this, from, to, holds = daemons_[from].holds] {
          daemons_[to].sources.OnReport(Name(from), holds ? kVersion : 1, queue_.now());
        });
      }
    }
  }

  void Report(std::size_t daemon) {
    const Duration offset = FromSeconds(ToSeconds(kReportInterval) * random_.UniformReal());
    queue_.After(offset, [this, daemon] {
      SendReports(daemon);
      queue_.After(kReportInterval - kLatency, [this, daemon] { Report(daemon); });
    });
  }

  // Receives the document and announces it at once.
  void Receive(std::size_t daemon) {
    daemons_[daemon].holds = true;
    SendReports(daemon);
  }

  void Fetch(std::size_t daemon) {
    const auto peer = daemons_[daemon].sources.Choose(1, queue_.now(), random_);
    if (!peer) {
      queue_.After(kRetryInterval, [this, daemon] { Fetch(daemon); });
      return;
    }
    queue_.After(2 * kLatency, [this, daemon, source = std::stoul(peer->value())] {
      if (daemons_[source].transfers >= kMaxTransfers) {
        daemons_[daemon].sources.OnBusy(Name(source), queue_.now());
        queue_.After(kRetryInterval, [this, daemon] { Fetch(daemon); });
        return;
      }
      Transfer(source, daemon);
    });
  }

  void Transfer(std::size_t source, std::size_t daemon) {
    ++daemons_[source].transfers;
    const bool breaks = random_.Bernoulli(options_.break_share);
    const double share = breaks ? random_.UniformReal() : 1;
    const double seconds =
        share * options_.document_bytes * kMaxTransfers / options_.link_bytes_per_s;
    queue_.After(FromSeconds(seconds), [this, source, daemon, breaks] {
      --daemons_[source].transfers;
      if (!breaks) {
        Receive(daemon);
        return;
      }
      daemons_[daemon].sources.OnFailure(Name(source), queue_.now());
      queue_.After(kRetryInterval, [this, daemon] { Fetch(daemon); });
    });
  }

  Options options_;
  Random random_;
  EventQueue queue_;
  std::vector<Daemon> daemons_;
};

// 5,000 routes, compressed, over links of 10 Mbit/s.
constexpr double kDocumentBytes = 120'000;
constexpr double kSlowLinkBytesPerSecond = 1'250'000;

Duration SlowestOf(int seeds, TransferModel::Options options) {
  Duration slowest{};
  for (int seed = 1; seed <= seeds; ++seed) {
    options.seed = static_cast<std::uint64_t>(seed);
    slowest = std::max(slowest, TransferModel(options).Run());
  }
  return slowest;
}

// Guards against a document that reaches the daemons one after the other, as from one source.
TEST(DocumentSourcesTest, TimeToReachAllDaemonsGrowsWithTheLogarithmOfTheirNumber) {
  TransferModel::Options options{.document_bytes = kDocumentBytes,
                                 .link_bytes_per_s = kSlowLinkBytesPerSecond};
  options.daemons = 16;
  const Duration few = SlowestOf(10, options);
  options.daemons = 128;
  const Duration many = SlowestOf(2, options);
  EXPECT_LT(few, 2s);
  // One source that serves all of them takes eight times as long.
  EXPECT_LT(ToSeconds(many), ToSeconds(few) * std::log2(128.0) / std::log2(16.0) * 1.5);
}

// As above, with a fifth of the reports lost.
TEST(DocumentSourcesTest, ADomainHoldsTheDocumentInTimeWhileHalfOfTheTransfersBreakOff) {
  constexpr Duration kBound = 3s;
  EXPECT_LT(SlowestOf(20, {.daemons = 20,
                           .document_bytes = kDocumentBytes,
                           .link_bytes_per_s = kSlowLinkBytesPerSecond,
                           .break_share = 0.5,
                           .loss_share = 0.2}),
            kBound);
}

}  // namespace
}  // namespace savoryglade
