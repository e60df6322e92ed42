#include <array>
#include <cmath>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "bench/routing/measure_report.h"
#include "bench/routing/measures.h"
#include "bench/routing/prefix_engine.h"
#include "core/event_queue.h"
#include "core/random.h"
#include "routing/upstream_table.h"

namespace savoryglade {
namespace {

constexpr int kSeeds = 10;
constexpr int kUpstreams = 20;
constexpr int kDaemons = 4;
constexpr double kRunSeconds = 150;
// Results before this time are not counted, because the caches are still filling.
constexpr double kWarmUpSeconds = 40;
constexpr double kEventLoss = 0.05;
constexpr int kBlockTokens = 64;
constexpr double kTokenSeconds = 0.02;
const ServiceId kService("assistant");

enum class Policy { kRandom, kHash, kOracle, kRouter };

struct Load {
  std::string name;
  double turns_per_second = 70;
  std::size_t cache_blocks = 1500;
};

struct Outcome {
  double recomputed_tokens = 0;
  double first_token_p95 = 0;
};

// One conversation; the prompt of each turn is the whole history.
struct Conversation {
  std::uint64_t key = 0;
  std::vector<std::uint64_t> history;
  int turns_left = 0;
};

class Simulation {
 public:
  Simulation(const Load& load, Policy policy, std::uint64_t seed)
      : load_(load), policy_(policy), workload_(seed), losses_(seed + 100), choices_(seed + 200) {
    Configuration configuration;
    for (int i = 0; i < kUpstreams; ++i) {
      UpstreamConfig config;
      config.name = UpstreamId("engine-" + std::to_string(i));
      config.service = kService;
      config.concurrency = PrefixEngine::kSlots;
      configuration.upstreams.push_back(config);
      names_.push_back(config.name);
      numbers_[config.name] = i;
      engines_.push_back(
          std::make_unique<PrefixEngine>(events_, load.cache_blocks, MakeCallbacks(i)));
    }
    sequences_.resize(kUpstreams);
    for (int i = 0; i < kDaemons; ++i) {
      daemons_.push_back(std::make_unique<Daemon>(seed * 16 + i));
      daemons_.back()->table.Configure(configuration, events_.now());
    }
    // Five client accounts, each with a system prompt that its conversations share.
    for (std::uint64_t account = 0; account < 5; ++account) {
      std::vector<std::uint64_t> prompt;
      const std::uint64_t blocks = 8 + 4 * account;
      for (std::uint64_t i = 0; i < blocks; ++i) {
        prompt.push_back(++last_hash_);
      }
      system_prompts_.push_back(prompt);
    }
    events_.After(1s, [this] { Report(); });
    events_.After(Duration(0), [this] { StartConversation(); });
  }

  Outcome Run() {
    events_.RunUntil(TimePoint{} + FromSeconds(kRunSeconds + 60));
    return {.recomputed_tokens = recomputed_blocks_ * kBlockTokens,
            .first_token_p95 = Quantile(first_tokens_, 0.95)};
  }

 private:
  struct Daemon {
    explicit Daemon(std::uint64_t seed) : table(seed) {}
    UpstreamTable table;
    std::deque<std::uint64_t> queue;
  };

  struct Turn {
    Conversation conversation;
    Daemon* daemon = nullptr;
    TimePoint arrived;
    TimePoint dispatched;
    Duration first_token{};
    int upstream = 0;
    int cached = 0;
    int tokens = 0;
    RouteRequest route;
    std::vector<std::uint64_t> output;
  };

  double Seconds() const { return ToSeconds(events_.now() - TimePoint{}); }

  PrefixEngine::Callbacks MakeCallbacks(int upstream) {
    return {.on_first_token = [this](std::uint64_t id,
                                     std::size_t cached) { OnFirstToken(id, cached); },
            .on_finish = [this](std::uint64_t id) { OnFinish(id); },
            .on_computed =
                [this](const std::vector<std::uint64_t>& hashes) { CountRecomputed(hashes); },
            .on_stored =
                [this, upstream](const std::vector<std::uint64_t>& hashes) {
                  PublishCacheEvent(upstream, CacheEvent::Kind::kStored, hashes);
                },
            .on_evicted =
                [this, upstream](const std::vector<std::uint64_t>& hashes) {
                  PublishCacheEvent(upstream, CacheEvent::Kind::kEvicted, hashes);
                }};
  }

  // Counts the blocks that any engine has computed before.
  void CountRecomputed(const std::vector<std::uint64_t>& hashes) {
    for (const std::uint64_t hash : hashes) {
      if (!ever_computed_.insert(hash).second && Seconds() > kWarmUpSeconds) {
        ++recomputed_blocks_;
      }
    }
  }

  void PublishCacheEvent(int upstream, CacheEvent::Kind kind,
                         const std::vector<std::uint64_t>& hashes) {
    if (policy_ != Policy::kRouter) {
      return;
    }
    const CacheEvent event{.sequence = ++sequences_[upstream], .kind = kind, .hashes = hashes};
    for (const auto& daemon : daemons_) {
      if (losses_.Bernoulli(kEventLoss)) {
        continue;
      }
      events_.After(FromSeconds(0.5 + 1.5 * losses_.UniformReal()),
                    [this, &daemon, upstream, event] {
                      daemon->table.OnCacheEvent(names_[upstream], event, events_.now());
                    });
    }
  }

  void Report() {
    for (int i = 0; i < kUpstreams; ++i) {
      const LoadReport report{
          .running = engines_[i]->running(), .waiting = engines_[i]->waiting(), .age = 2s};
      events_.After(2s, [this, i, report] {
        for (const auto& daemon : daemons_) {
          daemon->table.OnLoadReport(names_[i], report, events_.now());
        }
      });
    }
    if (Seconds() < kRunSeconds) {
      events_.After(1s, [this] { Report(); });
    }
  }

  void StartConversation() {
    if (Seconds() > kRunSeconds) {
      return;
    }
    Conversation conversation;
    conversation.key = workload_.Next();
    // The first account starts half of the conversations.
    const std::size_t account = workload_.Bernoulli(0.5) ? 0 : 1 + workload_.UniformInt(4);
    conversation.history = system_prompts_[account];
    conversation.turns_left =
        1 + static_cast<int>(std::lround(workload_.Exponential(kMeanTurns - 1)));
    StartTurn(std::move(conversation));
    events_.After(FromSeconds(workload_.Exponential(kMeanTurns / load_.turns_per_second)),
                  [this] { StartConversation(); });
  }

  void StartTurn(Conversation conversation) {
    if (Seconds() > kRunSeconds) {
      return;
    }
    const std::uint64_t id = ++last_turn_;
    Turn turn;
    const std::uint64_t question = 1 + workload_.UniformInt(4);
    const std::uint64_t answer = 1 + workload_.UniformInt(4);
    for (std::uint64_t i = 0; i < question; ++i) {
      conversation.history.push_back(++last_hash_);
    }
    for (std::uint64_t i = 0; i < answer; ++i) {
      turn.output.push_back(++last_hash_);
    }
    turn.tokens = static_cast<int>(answer) * kBlockTokens;
    turn.daemon = daemons_[workload_.UniformInt(daemons_.size())].get();
    turn.arrived = events_.now();
    turn.route.service = kService;
    turn.route.prefix_hashes = conversation.history;
    turn.route.attempt = id;
    turn.route.repeatable = true;
    turn.route.prompt_cost =
        ToSeconds(PrefixEngine::kBlockTime) * static_cast<double>(conversation.history.size());
    // The router does not know the length of the answer in advance.
    turn.route.predicted_cost = turn.route.prompt_cost + 2.5 * kBlockTokens * kTokenSeconds;
    --conversation.turns_left;
    turn.conversation = std::move(conversation);
    Daemon& daemon = *turn.daemon;
    turns_.emplace(id, std::move(turn));
    daemon.queue.push_back(id);
    DispatchQueued(daemon);
  }

  int Choose(const Turn& turn) {
    const auto& prompt = turn.route.prefix_hashes;
    switch (policy_) {
      case Policy::kRandom:
        return static_cast<int>(choices_.UniformInt(kUpstreams));
      case Policy::kHash:
        return static_cast<int>(turn.conversation.key % kUpstreams);
      case Policy::kOracle: {
        int best = 0;
        double best_score = 1e18;
        for (int i = 0; i < kUpstreams; ++i) {
          const PrefixEngine& engine = *engines_[i];
          const double full = engine.running() + engine.waiting() >= PrefixEngine::kSlots ? 1 : 0;
          // Computed blocks evict as many others, which are needed again if they were used
          // recently.
          const double uncached = ToSeconds(PrefixEngine::kBlockTime) *
                                  static_cast<double>(prompt.size() - engine.CachedBlocks(prompt));
          const double wanted_again =
              std::exp(-ToSeconds(engine.EvictionAge()) / kMeanPauseSeconds);
          // Ties are broken by the number of requests.
          const double score = ToSeconds(engine.TimeToFirstToken(prompt)) + full +
                               kEvictionWeight * uncached * wanted_again +
                               1e-6 * (engine.running() + engine.waiting());
          if (score < best_score) {
            best = i;
            best_score = score;
          }
        }
        return best;
      }
      case Policy::kRouter:
        break;
    }
    const auto chosen = turn.daemon->table.Select(turn.route, events_.now());
    return chosen ? numbers_.at(*chosen) : -1;
  }

  void DispatchQueued(Daemon& daemon) {
    while (!daemon.queue.empty()) {
      const std::uint64_t id = daemon.queue.front();
      Turn& turn = turns_.at(id);
      turn.upstream = Choose(turn);
      if (turn.upstream < 0) {
        return;
      }
      daemon.queue.pop_front();
      turn.dispatched = events_.now();
      engines_[turn.upstream]->Submit({.id = id,
                                       .prompt = turn.route.prefix_hashes,
                                       .output = turn.output,
                                       .decode = FromSeconds(turn.tokens * kTokenSeconds)});
    }
  }

  void OnFirstToken(std::uint64_t id, std::size_t cached) {
    Turn& turn = turns_.at(id);
    turn.first_token = events_.now() - turn.dispatched;
    turn.cached = static_cast<int>(cached);
    if (Seconds() > kWarmUpSeconds) {
      first_tokens_.push_back(ToSeconds(events_.now() - turn.arrived));
    }
    if (policy_ == Policy::kRouter) {
      turn.daemon->table.OnFirstToken(names_[turn.upstream], turn.first_token, events_.now(), id);
    }
  }

  void OnFinish(std::uint64_t id) {
    Turn& turn = turns_.at(id);
    Daemon& daemon = *turn.daemon;
    if (policy_ == Policy::kRouter) {
      daemon.table.OnFinish(names_[turn.upstream],
                            {.first_token = turn.first_token,
                             .total = events_.now() - turn.dispatched,
                             .tokens = turn.tokens,
                             .attempt = id,
                             .cached_blocks = turn.cached},
                            events_.now());
    }
    Conversation conversation = std::move(turn.conversation);
    conversation.history.insert(conversation.history.end(), turn.output.begin(), turn.output.end());
    turns_.erase(id);
    DispatchQueued(daemon);
    if (conversation.turns_left > 0) {
      const double pause = 1 + workload_.Exponential(kMeanPauseSeconds - 1);
      events_.After(FromSeconds(pause),
                    [this, conversation = std::move(conversation)] { StartTurn(conversation); });
    }
  }

  static constexpr double kMeanTurns = 6;
  static constexpr double kMeanPauseSeconds = 9;
  // With weights of 1 and 3 the oracle recomputed more.
  static constexpr double kEvictionWeight = 10;

  Load load_;
  Policy policy_;
  EventQueue events_;
  Random workload_;
  Random losses_;
  Random choices_;
  std::vector<std::unique_ptr<PrefixEngine>> engines_;
  std::vector<UpstreamId> names_;
  std::unordered_map<UpstreamId, int> numbers_;
  std::vector<std::uint64_t> sequences_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  std::vector<std::vector<std::uint64_t>> system_prompts_;
  std::unordered_map<std::uint64_t, Turn> turns_;
  std::unordered_set<std::uint64_t> ever_computed_;
  std::uint64_t last_hash_ = 0;
  std::uint64_t last_turn_ = 0;
  double recomputed_blocks_ = 0;
  std::vector<double> first_tokens_;
};

void MeasureLoad(const Load& load) {
  constexpr std::array kBaselines = {Policy::kRandom, Policy::kHash};
  constexpr std::array kNames = {"random", "pure hash"};
  std::array<std::vector<SeedResult>, 2> recomputed;
  std::array<std::vector<SeedResult>, 2> first_token;
  std::vector<SeedResult> oracle_first_token;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Outcome oracle = Simulation(load, Policy::kOracle, seed).Run();
    const Outcome ours = Simulation(load, Policy::kRouter, seed).Run();
    oracle_first_token.push_back({seed, oracle.first_token_p95 * 1e3, ours.first_token_p95 * 1e3});
    for (std::size_t i = 0; i < kBaselines.size(); ++i) {
      const Outcome baseline = Simulation(load, kBaselines.at(i), seed).Run();
      recomputed.at(i).push_back({seed, baseline.recomputed_tokens / oracle.recomputed_tokens,
                                  ours.recomputed_tokens / oracle.recomputed_tokens});
      first_token.at(i).push_back(
          {seed, baseline.first_token_p95 * 1e3, ours.first_token_p95 * 1e3});
    }
  }
  for (std::size_t i = 0; i < kBaselines.size(); ++i) {
    const std::string suffix = std::string(" against ") + kNames.at(i);
    PrintCase("recompute", load.name + ", recomputed tokens" + suffix,
              "times those with perfect knowledge", recomputed.at(i));
    PrintCase("recompute", load.name + ", p95 of first token" + suffix, "ms", first_token.at(i));
  }
  PrintCase("recompute", load.name + ", p95 of first token against perfect knowledge", "ms",
            oracle_first_token);
}

}  // namespace

void MeasureRecompute() {
  MeasureLoad({.name = "roomy cache", .turns_per_second = 60, .cache_blocks = 3000});
  MeasureLoad({.name = "tight cache", .turns_per_second = 60, .cache_blocks = 1000});
  MeasureLoad({.name = "scarce cache", .turns_per_second = 60, .cache_blocks = 600});
}

}  // namespace savoryglade
