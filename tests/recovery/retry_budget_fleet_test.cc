#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "core/random.h"
#include "recovery/window_retry_budget.h"

namespace savoryglade {
namespace {

const ServiceId kService("orders");
constexpr Duration kTick = 50ms;
constexpr Duration kWindow = 10s;
constexpr int kWindowTicks = kWindow / kTick;
constexpr double kRatio = 0.2;
// Time from the start of a process until it serves requests.
constexpr Duration kStartTime = 1s;
// Longest time from then until it has read the rows of its peers, if it reaches the store.
constexpr double kMaxReadSeconds = 3;
// Time in which daemons that reach each other learn of each other without the store.
constexpr Duration kDiscoveryTime = 300ms;
constexpr double kMaxRefundDelaySeconds = 2;
constexpr Duration kRequestTime = 4s;
constexpr int kMaxRepeats = 2;

struct FleetPlan {
  int daemons = 8;
  double allowance = 20;
  // Requests per second of the whole fleet.
  double request_rate = 200;
  // Share of the time in which all requests ask for retries.
  double failing_share = 0.5;
  // Starts, stops, kills and cuts of a daemon per second.
  double restart_rate = 0;
  double cut_rate = 0;
  // Share of the retries that are consumed in pairs, of which one is given back.
  double move_share = 0.1;
  // Probability that the store is away in a phase of the run.
  double store_outage = 0;
  bool starts_during_outage = false;
};

// Daemons of one service on a virtual clock, with a budget for each process. Callers of a daemon
// that is stopped go to the others. Judges the repeats of all daemons in each window.
class BudgetFleet {
 public:
  BudgetFleet(const FleetPlan& plan, std::uint64_t seed)
      : plan_(plan),
        random_(seed),
        daemons_(static_cast<std::size_t>(plan.daemons)),
        store_away_(plan.starts_during_outage) {
    for (Daemon& daemon : daemons_) {
      Start(daemon);
    }
  }

  void Play(Duration length) {
    for (const TimePoint end = now_ + length; now_ < end; now_ += kTick) {
      ChangeConditions();
      requests_.push_back(0);
      repeats_.push_back(0);
      for (Daemon& daemon : daemons_) {
        UpdateCount(daemon);
      }
      double arrivals = plan_.request_rate * ToSeconds(kTick);
      for (; random_.Bernoulli(std::min(arrivals, 1.0)); --arrivals) {
        HandleRequest();
      }
      GiveBack();
      Judge();
    }
  }

  // Returns the largest number of repeats beyond the bound in any window.
  double excess() const { return excess_; }
  int repeats() const { return total_repeats_; }

 private:
  struct Daemon {
    std::optional<WindowRetryBudget> budget;
    TimePoint serves_at{};
    TimePoint reads_at{};
    bool has_row = false;
    // Whether it has read the rows of its peers.
    bool has_read = false;
    // Whether it has the routes, from the store or from a peer; it serves nothing without.
    bool has_routes = false;
    bool is_cut = false;
    // Times at which its requests were sent.
    std::deque<TimePoint> open;
  };
  struct Reserved {
    std::size_t daemon = 0;
    TimePoint started_at;
    TimePoint consumed_at;
    TimePoint due_at;
  };

  bool Happens(double rate) { return random_.Bernoulli(rate * ToSeconds(kTick)); }

  void Start(Daemon& daemon) {
    daemon.open.clear();
    daemon.serves_at = now_ + kStartTime;
    daemon.reads_at = daemon.serves_at + FromSeconds(random_.UniformReal() * kMaxReadSeconds);
    daemon.has_read = false;
    daemon.has_routes = false;
    daemon.budget.emplace(
        WindowRetryBudgetOptions{.window = kWindow, .ratio = kRatio, .allowance = plan_.allowance},
        now_);
  }

  void ChangeConditions() {
    if (Happens(0.1)) {
      const bool was_failing = is_failing_;
      is_failing_ = random_.Bernoulli(plan_.failing_share);
      if (is_failing_ && !was_failing) {
        FailOpenRequests();
      }
    }
    if (Happens(0.05)) {
      store_away_ = random_.Bernoulli(plan_.store_outage);
    }
    for (Daemon& daemon : daemons_) {
      if (Happens(plan_.restart_rate)) {
        if (daemon.budget && random_.Bernoulli(0.5)) {
          daemon.budget.reset();
          daemon.open.clear();
        } else {
          Start(daemon);
        }
      }
      if (Happens(plan_.cut_rate)) {
        daemon.is_cut = !daemon.is_cut;
      }
    }
  }

  // Rows are kept when their daemons stop. A daemon that is cut hears only daemons that are cut.
  void UpdateCount(Daemon& daemon) {
    if (!daemon.budget) {
      return;
    }
    daemon.has_routes |= !store_away_ && now_ >= daemon.serves_at;
    if (!store_away_ && now_ >= daemon.reads_at) {
      daemon.has_read = true;
    }
    daemon.has_row |= daemon.has_read;
    int known = 1;
    for (const Daemon& other : daemons_) {
      const bool hears = other.budget && other.is_cut == daemon.is_cut &&
                         now_ >= std::max(daemon.serves_at, other.serves_at) + kDiscoveryTime;
      known += &other != &daemon && (hears || (daemon.has_read && other.has_row)) ? 1 : 0;
      daemon.has_routes |= hears && other.has_routes;
    }
    daemon.budget->SetDaemonCount(known, now_);
  }

  // Requests that were open when the upstreams began to fail.
  void FailOpenRequests() {
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      while (!daemons_[i].open.empty()) {
        const TimePoint sent_at = daemons_[i].open.front();
        daemons_[i].open.pop_front();
        if (now_ - sent_at <= kRequestTime) {
          Repeat(i);
        }
      }
    }
  }

  static bool Serves(const Daemon& daemon) { return daemon.budget && daemon.has_routes; }

  void HandleRequest() {
    ++requests_.back();
    const std::size_t first = random_.UniformInt(daemons_.size());
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      const std::size_t index = (first + i) % daemons_.size();
      if (Serves(daemons_[index])) {
        daemons_[index].budget->OnRequest(kService, now_);
        daemons_[index].open.push_back(now_);
        Repeat(index);
        return;
      }
    }
  }

  void Repeat(std::size_t index) {
    WindowRetryBudget& budget = *daemons_[index].budget;
    for (int i = 0; is_failing_ && i < kMaxRepeats; ++i) {
      const bool moves = random_.Bernoulli(plan_.move_share);
      if (!budget.TryConsume(kService, now_, moves ? 2 : 1)) {
        continue;
      }
      if (moves) {
        const Duration delay = FromSeconds(random_.UniformReal() * kMaxRefundDelaySeconds);
        reserved_.push_back({.daemon = index,
                             .started_at = daemons_[index].serves_at,
                             .consumed_at = now_,
                             .due_at = now_ + delay});
      }
      ++repeats_.back();
      ++total_repeats_;
    }
  }

  void GiveBack() {
    std::erase_if(reserved_, [this](const Reserved& reserved) {
      Daemon& daemon = daemons_[reserved.daemon];
      if (now_ < reserved.due_at) {
        return false;
      }
      if (daemon.budget && daemon.serves_at == reserved.started_at) {
        daemon.budget->Refund(kService, 1, reserved.consumed_at, now_);
      }
      return true;
    });
  }

  // Returns the sum over the window that ends this many ticks ago.
  static double WindowSum(const std::deque<int>& counts, int ticks_ago) {
    const int end = static_cast<int>(counts.size()) - ticks_ago;
    double sum = 0;
    for (int i = std::max(end - kWindowTicks, 0); i < end; ++i) {
      sum += counts[static_cast<std::size_t>(i)];
    }
    return sum;
  }

  void Judge() {
    const double requests =
        std::max({WindowSum(requests_, 0), WindowSum(requests_, kWindowTicks / 2),
                  WindowSum(requests_, kWindowTicks)});
    excess_ = std::max(excess_, WindowSum(repeats_, 0) - (kRatio * requests + plan_.allowance));
  }

  FleetPlan plan_;
  Random random_;
  std::vector<Daemon> daemons_;
  bool store_away_;
  bool is_failing_ = false;
  TimePoint now_ = TimePoint(100s);
  std::deque<int> requests_;
  std::deque<int> repeats_;
  std::vector<Reserved> reserved_;
  double excess_ = -1e9;
  int total_repeats_ = 0;
};

// Returns the largest excess over some seeds.
double LargestExcess(const FleetPlan& plan) {
  constexpr std::uint64_t kSeeds = 20;
  double largest = -1e9;
  int repeats = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BudgetFleet fleet(plan, seed);
    fleet.Play(120s);
    repeats += fleet.repeats();
    largest = std::max(largest, fleet.excess());
  }
  EXPECT_GT(repeats, 0);
  return largest;
}

// Guards against repeats that are counted by none of the daemons that share a service.
TEST(RetryBudgetFleetTest, CalmFleetStaysWithinTheBound) { EXPECT_LE(LargestExcess({}), 0); }

// Guards against a return that is given back in the place of a later repeat, which is then missing
// in the window.
TEST(RetryBudgetFleetTest, MovesThatAreGivenBackStayWithinTheBound) {
  EXPECT_LE(LargestExcess({.failing_share = 0.9, .move_share = 0.9}), 0);
}

// Guards against processes that use up the budget which the processes before them have used.
TEST(RetryBudgetFleetTest, RestartsInSeriesStayWithinTheBound) {
  EXPECT_LE(LargestExcess({.failing_share = 0.9, .restart_rate = 0.1}), 0);
}

TEST(RetryBudgetFleetTest, RestartsInSeriesStayWithinTheAllowance) {
  EXPECT_LE(LargestExcess({.daemons = 24,
                           .allowance = 56,
                           .request_rate = 50,
                           .failing_share = 0.6,
                           .restart_rate = 0.2,
                           .cut_rate = 0.03,
                           .store_outage = 0.4,
                           .starts_during_outage = true}),
            0);
}

// Guards against daemons that each take the allowance of the fleet because they know no others.
TEST(RetryBudgetFleetTest, DaemonsThatStartWithoutTheStoreStayWithinTheBound) {
  EXPECT_LE(LargestExcess({.request_rate = 20,
                           .failing_share = 1,
                           .restart_rate = 0.05,
                           .store_outage = 0.8,
                           .starts_during_outage = true}),
            0);
}

TEST(RetryBudgetFleetTest, CutDaemonsStayWithinTheBound) {
  EXPECT_LE(LargestExcess({.failing_share = 0.8, .restart_rate = 0.02, .cut_rate = 0.05}), 0);
}

// All of the above at the same time, in fleets of several sizes.
TEST(RetryBudgetFleetTest, StopsStartsAndCutsStayWithinTheBound) {
  for (const int daemons : {1, 2, 4, 8, 24}) {
    for (const double rate : {0.02, 0.2}) {
      EXPECT_LE(LargestExcess({.daemons = daemons,
                               .allowance = 10,
                               .restart_rate = rate,
                               .cut_rate = 0.05,
                               .store_outage = 0.3}),
                0)
          << daemons << " daemons, " << rate << " restarts per second of each";
    }
  }
}

}  // namespace
}  // namespace savoryglade
