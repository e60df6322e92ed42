#include <fmt/format.h>

#include <array>
#include <csignal>
#include <string>

#include "soak/play.h"

namespace savoryglade::soak {
namespace {

// Keeps the other draws of a seed as they were before plays had larger events.
constexpr std::uint64_t kSizeSeedOffset = 10'000'000;

}  // namespace

void Play::DrawHabits() {
  constexpr std::size_t kHugeEventBytes = 64'000;
  if (habit_random_.Bernoulli(0.6)) {
    habit_share_ = 0.3;
    event_bytes_ = Random(options_.seed + kSizeSeedOffset).Bernoulli(0.5) ? kHugeEventBytes : 0;
  }
}

void Play::DrawSilences() {
  constexpr double kSilentShare = 1.0 / 8;
  constexpr Duration kLongInterval = 400ms;
  constexpr std::size_t kLargeEventBytes = 16'000;
  if (!silence_random_.Bernoulli(0.5)) {
    return;
  }
  silent_share_ = kSilentShare;
  // Streams that last for seconds.
  if (silence_random_.Bernoulli(0.5)) {
    event_interval_ = kLongInterval;
  }
  rejects_resumed_ = silence_random_.Bernoulli(0.4);
  constexpr double kSmallAllowance = 10;
  retry_allowance_ = silence_random_.Bernoulli(0.5) ? kSmallAllowance : retry_allowance_;
  event_bytes_ = silence_random_.Bernoulli(0.3) ? kLargeEventBytes : event_bytes_;
}

void Play::PlanStops() {
  // Stops come in series of several daemons, which may overlap.
  const std::size_t series = 2 + random_.UniformInt(5);
  for (std::size_t i = 0; i < series; ++i) {
    const TimePoint start = RandomTime(random_, 0.02, 0.8);
    const std::size_t stops = 1 + random_.UniformInt(daemons_.size());
    const Duration spread = random_.Bernoulli(0.5) ? 200ms : 4s;
    for (std::size_t k = 0; k < stops; ++k) {
      const std::size_t daemon = random_.UniformInt(daemons_.size());
      const TimePoint at = start + RandomDuration(0s, spread);
      At(at, [this, daemon] { Stop(daemon); });
      if (random_.Bernoulli(0.3)) {
        At(at + RandomDuration(50ms, 4s), [this, daemon] {
          if (daemons_[daemon].stop_ordered) {
            history_.AddEvent(EventKind::kRepeatedTerm, daemon, "SIGTERM again");
            daemons_[daemon].process->Signal(SIGTERM);
          }
        });
      }
      if (random_.Bernoulli(0.3)) {
        At(at + RandomDuration(-1s, 4s), [this, daemon, revision = static_cast<int>(10 * i + k)] {
          WriteSettings(daemon, revision);
          if (!daemons_[daemon].process->IsListening()) {
            return;
          }
          history_.AddEvent(EventKind::kHangUp, daemon, "SIGHUP with other bounds");
          daemons_[daemon].process->Signal(SIGHUP);
        });
      }
    }
  }
}

void Play::PlanUnplannedFaults() {
  const std::size_t faults = 1 + random_.UniformInt(5);
  for (std::size_t i = 0; i < faults; ++i) {
    const std::size_t daemon = random_.UniformInt(daemons_.size());
    const TimePoint at = RandomTime(random_, 0.02, 0.95);
    if (random_.Bernoulli(0.5)) {
      At(at, [this, daemon] { Disturb(daemon, EventKind::kKill, SIGKILL); });
    } else {
      At(at, [this, daemon] { Disturb(daemon, EventKind::kFreeze, SIGSTOP); });
      At(at + RandomDuration(100ms, 3s),
         [this, daemon] { Disturb(daemon, EventKind::kThaw, SIGCONT); });
    }
  }
  const std::size_t crashes = random_.UniformInt(4);
  for (std::size_t i = 0; i < crashes; ++i) {
    At(RandomTime(random_, 0.02, 0.95), [this] {
      if (const std::optional<std::string> id = PickUpstream(random_, 1)) {
        CrashUpstream(*id);
      }
    });
  }
}

void Play::PlanFreezesWhileCallersLeave() {
  for (std::size_t daemon = 0; daemon < daemons_.size(); ++daemon) {
    const TimePoint at = RandomTime(give_up_random_, 0.1, 0.8);
    const Duration length = 1200ms + FromSeconds(give_up_random_.UniformReal());
    At(at, [this, daemon] { Disturb(daemon, EventKind::kFreeze, SIGSTOP); });
    At(at + length, [this, daemon] { Disturb(daemon, EventKind::kThaw, SIGCONT); });
  }
}

void Play::PlanUpstreamChanges() {
  const std::size_t changes = random_.UniformInt(4);
  for (std::size_t i = 0; i < changes; ++i) {
    At(RandomTime(random_, 0.02, 0.95), [this] { AddUpstream("v1", RandomDomain()); });
    At(RandomTime(random_, 0.02, 0.95), [this] {
      if (const std::optional<std::string> id = PickUpstream(random_, 3)) {
        RemoveUpstream(*id, true);
      }
    });
  }
  if (!random_.Bernoulli(0.5)) {
    return;
  }
  // A release replaces one upstream after the other by another version.
  const TimePoint start = RandomTime(random_, 0.05, 0.4);
  const Duration step = RandomDuration(100ms, 1s);
  std::size_t position = 0;
  for (const auto& [id, upstream] : serving_) {
    const TimePoint at = start + step * static_cast<int>(position++);
    At(at, [this, domain = upstream->options().failure_domain] { AddUpstream("v2", domain); });
    At(at + RandomDuration(0s, 2s), [this, name = id] {
      if (serving_.contains(name)) {
        RemoveUpstream(name, true);
      }
    });
  }
}

void Play::PlanStoreFaults() {
  const std::size_t faults = 1 + random_.UniformInt(3);
  for (std::size_t i = 0; i < faults; ++i) {
    const TimePoint at = RandomTime(random_, 0.02, 0.8);
    const TimePoint end = at + RandomDuration(200ms, 5s);
    const std::size_t kind = random_.UniformInt(3);
    const Duration delay = RandomDuration(50ms, 1s);
    At(at, [this, kind, delay] {
      static constexpr std::array kNames = {"down", "losing its answers", "slow"};
      history_.AddEvent(EventKind::kStoreFault, {},
                        fmt::format("the store is {}", kNames.at(kind)));
      store_.SetFaults({.outage = kind == 0, .drop_responses = kind == 1});
      store_delay_ = kind == 2 ? delay : Duration::zero();
    });
    At(end, [this] {
      history_.AddEvent(EventKind::kStoreSound, {}, "the store is sound");
      store_.SetFaults({});
      store_delay_ = Duration::zero();
    });
  }
}

void Play::PlanRateLimits() {
  constexpr double kMinRate = 0.3;
  constexpr double kRateRange = 1.7;
  const std::size_t limits = 1 + limit_random_.UniformInt(4);
  for (std::size_t i = 0; i < limits; ++i) {
    const double rate = kMinRate + kRateRange * limit_random_.UniformReal();
    const TimePoint from = RandomTime(limit_random_, 0.05, 0.4);
    const TimePoint to = RandomTime(limit_random_, 0.7, 1.0);
    At(from, [this, rate, to] {
      const std::optional<std::string> id = PickUpstream(limit_random_, 1);
      if (!id) {
        return;
      }
      Upstream* const upstream = serving_.at(*id);
      upstream->SetRateLimit(rate);
      history_.AddEvent(EventKind::kOther, {}, fmt::format("{} names {:.1f}/s", *id, rate));
      At(to, [this, upstream] {
        upstream->SetRateLimit(std::nullopt);
        history_.AddEvent(EventKind::kOther, {}, upstream->options().id + " names no limit");
      });
    });
  }
}

void Play::PlanWishes() {
  const std::size_t notices = 1 + wish_random_.UniformInt(3);
  for (std::size_t i = 0; i < notices; ++i) {
    const Duration delay = FromSeconds(1 + 4 * wish_random_.UniformReal());
    At(RandomTime(wish_random_, 0.05, 0.7), [this, delay] {
      const std::optional<std::string> id = PickUpstream(wish_random_, 1);
      if (!id) {
        return;
      }
      Upstream* const upstream = serving_.at(*id);
      upstream->SayLeaving();
      CountServing(upstream->options().version, -1);
      history_.AddEvent(EventKind::kOther, {}, *id + " says that it leaves");
      // Its registration stays ready for some time.
      At(Now() + kUpstreamDrain + delay, [this, id = *id] {
        if (const auto found = serving_.find(id); found != serving_.end()) {
          const UpstreamOptions options = found->second->options();
          CountServing(options.version, 1);
          RemoveUpstream(id, true);
          AddUpstream(options.version, options.failure_domain);
        }
      });
    });
  }
  const std::size_t waits = 1 + wish_random_.UniformInt(3);
  for (std::size_t i = 0; i < waits; ++i) {
    const Duration wait = FromSeconds(1 + 4 * wish_random_.UniformReal());
    At(RandomTime(wish_random_, 0.05, 0.8), [this, wait] {
      if (const std::optional<std::string> id = PickUpstream(wish_random_, 1)) {
        const std::string version = serving_.at(*id)->options().version;
        serving_.at(*id)->RejectFor(wait);
        CountServing(version, -1);
        At(Now() + wait, [this, version] { CountServing(version, 1); });
        history_.AddEvent(EventKind::kOther, {},
                          fmt::format("{} wants nothing for {} ms", *id, wait / 1ms));
      }
    });
  }
}

void Play::SetBrittle(int rejections) {
  brittle_ = rejections;
  for (const auto& [id, upstream] : serving_) {
    upstream->SetBrittle(rejections);
  }
}

void Play::PlanBrittleTime() {
  const int rejections = 3 + static_cast<int>(brittle_random_.UniformInt(8));
  At(RandomTime(brittle_random_, 0.05, 0.3), [this, rejections] {
    history_.AddEvent(EventKind::kOther, {},
                      fmt::format("the upstreams are brittle ({} rejections)", rejections));
    history_.BeginBrittleTime(serving_.size());
    SetBrittle(rejections);
  });
  At(RandomTime(brittle_random_, 0.8, 1.0), [this] {
    history_.AddEvent(EventKind::kOther, {}, "the upstreams are no longer brittle");
    history_.EndBrittleTime();
    SetBrittle(0);
  });
}

void Play::SetPartitioned(const std::vector<std::size_t>& daemons, bool reset) {
  partitioned_.clear();
  for (const std::size_t daemon : daemons) {
    partitioned_.insert(daemons_[daemon].process->callers().address);
  }
  for (const auto& upstream : upstreams_) {
    upstream->SetPartitioned(partitioned_, reset);
  }
}

void Play::PlanPartitions() {
  const std::size_t partitions = 1 + partition_random_.UniformInt(2);
  TimePoint from = RandomTime(partition_random_, 0.05, 0.3);
  for (std::size_t i = 0; i < partitions; ++i) {
    // One domain, or some daemons of any; the others reach the upstreams.
    std::vector<std::size_t> daemons;
    const bool is_domain = partition_random_.Bernoulli(0.5);
    const std::size_t domain = partition_random_.UniformInt(domain_count_);
    for (std::size_t daemon = 0; daemon < daemons_.size(); ++daemon) {
      if (is_domain ? daemon % domain_count_ == domain
                    : daemons.size() + 1 < daemons_.size() && partition_random_.Bernoulli(0.4)) {
        daemons.push_back(daemon);
      }
    }
    const bool reset = partition_random_.Bernoulli(0.5);
    const TimePoint to = from + 5s + FromSeconds(3 * partition_random_.UniformReal());
    At(from, [this, daemons, reset] {
      for (const std::size_t daemon : daemons) {
        history_.AddEvent(EventKind::kPartition, daemon,
                          reset ? "cut off from all upstreams, connections reset"
                                : "cut off from all upstreams, connections hang");
      }
      SetPartitioned(daemons, reset);
    });
    At(to, [this, daemons] {
      SetPartitioned({}, false);
      for (const std::size_t daemon : daemons) {
        history_.AddEvent(EventKind::kPartitionEnd, daemon, "reaches the upstreams again");
      }
    });
    from = to + 1s;
  }
}

void Play::PlanHerdKills() {
  const std::size_t kills = crash_random_.UniformInt(3);
  for (std::size_t i = 0; i < kills; ++i) {
    At(RandomTime(crash_random_, 0.02, 0.95), [this] {
      for (std::size_t daemon = 0; daemon < daemons_.size(); ++daemon) {
        Disturb(daemon, EventKind::kKill, SIGKILL);
      }
    });
  }
}

}  // namespace savoryglade::soak
