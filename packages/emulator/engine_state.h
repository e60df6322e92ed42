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

// Speed, limits and faults of an emulated engine.
struct EngineOptions {
  // Time to the first token of a prompt without uncached blocks. With zero, the first token is
  // ready when the request is admitted.
  Duration time_to_first_token = 20ms;
  // Time of one step, which gives its tokens to each running generation.
  Duration step_interval = 5ms;
  // More than one as with engines that decode speculatively.
  int tokens_per_step = 1;
  Duration prefill_time_per_token = Duration::zero();
  std::size_t max_batch_size = 64;
  std::size_t cache_capacity_blocks = 4096;
  // How long a generation goes on without a reader, and is kept once it is complete.
  Duration retention_period = 30s;
  // Silence after which a stream carries a comment.
  Duration keep_alive_interval = 1s;
  Duration load_report_interval = Duration::zero();
  Duration cache_event_delay = Duration::zero();
  double cache_event_loss_probability = 0;
  bool checks_fencing = true;
  std::uint64_t seed = 1;
};

// What a reader of a generation waits on. Wake may be called from any thread.
class GenerationReader {
 public:
  virtual ~GenerationReader() = default;
  virtual void Wake() = 0;
};

// What a request for a generation says. Tokens before start_position are known and not generated
// again; the known text is part of the prompt.
struct GenerationRequest {
  std::string id;
  std::string prompt;
  std::string seed;
  std::string known_text;
  std::int64_t start_position = 0;
  std::int64_t max_tokens = 0;
  std::int64_t priority = 0;
};

// One generation of an engine.
struct Generation {
  GenerationRequest request;
  std::uint64_t token_seed = 0;
  // Next position to generate; all positions from start_position up to it are readable.
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

  bool complete() const { return next_position >= request.max_tokens; }
};

// Counts of an engine since its start.
struct EngineCounts {
  std::uint64_t generated_tokens = 0;
  std::uint64_t prefilled_tokens = 0;
  std::uint64_t submitted = 0;
  std::uint64_t attached = 0;
  std::uint64_t resumed = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t expired = 0;
};

// Generations, batch, cache and orders of an emulated engine, without sockets or clock. Not safe to
// use from several threads.
class EngineState {
 public:
  explicit EngineState(const EngineOptions& options)
      : options_(options),
        cache_(options.cache_capacity_blocks, options.cache_event_loss_probability, options.seed) {}

  // Returns the word at a position of an answer.
  static std::string_view TokenAt(std::uint64_t token_seed, std::int64_t position);
  // Returns the seed of the words of an answer.
  static std::uint64_t TokenSeed(std::string_view prompt, std::string_view seed);

  // Takes a request. A generation with the same id that is running or kept is returned instead.
  std::shared_ptr<Generation> Submit(GenerationRequest request, TimePoint now);

  // Returns the generation of an id, or nullptr.
  std::shared_ptr<Generation> Find(const std::string& id) const;

  // Ends a generation. Returns false if it is unknown or complete.
  bool Cancel(const std::string& id);

  // Admits waiting generations, the highest priority first, gives a token to each running one, and
  // drops those whose grace period has passed. Wakes the readers of those that changed.
  void Step(TimePoint now);

  // Returns true while a generation waits or runs.
  bool busy() const { return !waiting_.empty() || !running_.empty(); }
  std::size_t waiting() const { return waiting_.size(); }
  std::size_t running() const { return running_.size(); }

  // Counts a reader of a generation in or out.
  void AddReader(Generation& generation, const std::shared_ptr<GenerationReader>& reader);
  void RemoveReader(Generation& generation, TimePoint now);

  // Returns an opaque text with the state of a generation, or an empty one if it is unknown.
  std::string Export(const std::string& id) const;
  // Takes over an exported generation without prefill. Returns false if the text is not valid.
  bool Import(std::string_view blob, TimePoint now);

  // Takes an order that sets a name to a value. Returns false if its fencing number is old and the
  // engine checks fencing numbers.
  bool ApplyOrder(const std::string& name, const std::string& value, std::uint64_t fencing);
  const std::map<std::string, std::string>& orders() const { return orders_; }
  std::uint64_t highest_fencing() const { return highest_fencing_; }

  const PrefixCache& cache() const { return cache_; }
  const EngineCounts& counts() const { return counts_; }
  EngineCounts& counts() { return counts_; }

  // Forgets all generations and the cache, as a process that was started again. Wakes all readers.
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
