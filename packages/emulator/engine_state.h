#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"
#include "emulator/prefix_cache.h"

namespace savoryglade {

// Timing, limits and imperfections of an emulated engine.
struct EngineOptions {
  // Time to the first token, without the prefill of uncached prompt tokens. With zero, the first
  // token is ready when the request is admitted.
  Duration time_to_first_token = 20ms;
  // Duration of one step, which generates tokens_per_step tokens for each running generation.
  Duration step_interval = 5ms;
  // A value above 1 emulates speculative decoding.
  int tokens_per_step = 1;
  Duration prefill_time_per_token = Duration::zero();
  std::size_t max_batch_size = 64;
  std::size_t cache_capacity_blocks = 4096;
  // Time for which a generation without a reader continues, and is kept after it is complete.
  Duration retention_period = 30s;
  // Time without tokens after which a stream sends a keep-alive comment.
  Duration keep_alive_interval = 1s;
  // Minimum time between refreshes of the load report; zero always reports the current load.
  Duration load_report_interval = Duration::zero();
  // Time until an event of the prefix cache is reported.
  Duration cache_event_delay = Duration::zero();
  double cache_event_loss_probability = 0;
  // Rejects orders (see EngineState::ApplyOrder) with a fencing token below the highest one
  // received.
  bool checks_fencing = true;
  std::uint64_t seed = 1;
};

// Interface of a stream that reads the tokens of one generation. Wake is called, from any thread,
// when the generation has new tokens or is cancelled, or when the engine's emulated fault changes.
class GenerationReader {
 public:
  virtual ~GenerationReader() = default;
  virtual void Wake() = 0;
};

// Parameters of a generation. Tokens before start_position were generated earlier and are not
// generated again; their text is in known_text and counts as part of the prompt.
struct GenerationRequest {
  std::string id;
  std::string prompt;
  std::string seed;
  std::string known_text;
  std::int64_t start_position = 0;
  std::int64_t max_tokens = 0;
  std::int64_t priority = 0;
};

// State of one generation.
struct Generation {
  GenerationRequest request;
  std::uint64_t token_seed = 0;
  // Next position to generate; the positions from start_position up to it are readable.
  std::int64_t next_position = 0;
  bool admitted = false;
  bool cancelled = false;
  std::uint64_t submission_index = 0;
  TimePoint first_token_at;
  std::size_t prompt_tokens = 0;
  std::size_t cached_tokens = 0;
  int reader_count = 0;
  TimePoint readerless_since;
  std::vector<std::weak_ptr<GenerationReader>> readers;

  // Returns true once all tokens are generated.
  bool complete() const { return next_position >= request.max_tokens; }
};

// Counters of an engine since its construction; a crash does not reset them.
struct EngineCounts {
  std::uint64_t generated_tokens = 0;
  std::uint64_t prefilled_tokens = 0;
  std::uint64_t submitted = 0;
  // Submitted requests that joined an existing generation.
  std::uint64_t attached = 0;
  std::uint64_t resumed = 0;
  std::uint64_t cancelled = 0;
  // Incomplete generations that ended after the retention period without a reader.
  std::uint64_t expired = 0;
};

// Generations, batch, prefix cache and orders of an emulated engine, without sockets or clock. Not
// thread-safe.
class EngineState {
 public:
  explicit EngineState(const EngineOptions& options)
      : options_(options),
        cache_(options.cache_capacity_blocks, options.cache_event_loss_probability, options.seed) {}

  // Returns the token at a position of a generation.
  static std::string_view TokenAt(std::uint64_t token_seed, std::int64_t position);
  // Returns the seed of a generation's tokens, which depends on the prompt and seed of its request.
  static std::uint64_t TokenSeed(std::string_view prompt, std::string_view seed);

  // Starts a generation, or returns an existing one with the same id that is not cancelled and
  // covers the requested start position.
  std::shared_ptr<Generation> Submit(GenerationRequest request, TimePoint now);

  // Returns the generation with an id, or nullptr if there is none.
  std::shared_ptr<Generation> Find(const std::string& id) const;

  // Cancels a generation. Returns false if it is unknown, complete or already cancelled.
  bool Cancel(const std::string& id);

  // Generates the tokens of one step for each running generation, drops generations whose retention
  // period has passed, and admits waiting ones by priority. Wakes the readers of generations that
  // got tokens or were cancelled.
  void Step(TimePoint now);

  // Returns true while a generation waits or runs.
  bool busy() const { return !waiting_.empty() || !running_.empty(); }
  std::size_t waiting() const { return waiting_.size(); }
  std::size_t running() const { return running_.size(); }

  // Registers a reader, which is woken when the generation has new tokens or is cancelled.
  void AddReader(Generation& generation, const std::shared_ptr<GenerationReader>& reader);
  // Unregisters a reader. When the last one leaves, the generation's retention period starts.
  void RemoveReader(Generation& generation, TimePoint now);

  // Returns the serialized state of a generation, or an empty string if it is unknown or cancelled.
  std::string Export(const std::string& id) const;
  // Continues an exported generation without prefill. Returns false if the state is invalid.
  bool Import(std::string_view blob, TimePoint now);

  // Applies an order, which sets a name to a value. Returns false if the engine checks fencing
  // tokens and the order's token is below the highest one received.
  bool ApplyOrder(const std::string& name, const std::string& value, std::uint64_t fencing);
  const std::map<std::string, std::string>& orders() const { return orders_; }
  std::uint64_t highest_fencing() const { return highest_fencing_; }

  const PrefixCache& cache() const { return cache_; }
  const EngineCounts& counts() const { return counts_; }
  EngineCounts& counts() { return counts_; }

  // Cancels and drops all generations and clears the cache, as a process restart does. Wakes all
  // readers.
  void Reset();

 private:
  void Admit(TimePoint now);
  void GenerateTokens(Generation& generation);
  static void Wake(Generation& generation);

  EngineOptions options_;
  PrefixCache cache_;
  std::map<std::string, std::shared_ptr<Generation>> generations_;
  std::vector<std::shared_ptr<Generation>> waiting_;
  std::vector<std::shared_ptr<Generation>> running_;
  std::map<std::string, std::string> orders_;
  std::uint64_t highest_fencing_ = 0;
  std::uint64_t next_submission_index_ = 0;
  EngineCounts counts_;
};

}  // namespace savoryglade
