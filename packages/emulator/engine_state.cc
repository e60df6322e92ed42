#include "emulator/engine_state.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <utility>

#include "core/prefix_hash.h"
#include "core/random.h"

namespace savoryglade {
namespace {

namespace json = boost::json;

constexpr std::array<std::string_view, 16> kVocabulary = {
    "check ",   "the ",     "shutter ", "blades ", "for ", "oil ",  "then ", "set ",
    "curtain ", "tension ", "to ",      "spec ",   "and ", "test ", "each ", "speed "};

std::string GetString(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(json::string_view(name.data(), name.size()));
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

std::int64_t GetInteger(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(json::string_view(name.data(), name.size()));
  return value != nullptr && value->is_int64() ? value->get_int64() : 0;
}

}  // namespace

std::string_view EngineState::TokenAt(std::uint64_t token_seed, std::int64_t position) {
  return kVocabulary[Random(token_seed + static_cast<std::uint64_t>(position))
                         .UniformInt(kVocabulary.size())];
}

std::uint64_t EngineState::TokenSeed(std::string_view prompt, std::string_view seed) {
  return Fnv1aHash(seed, Fnv1aHash(prompt));
}

std::shared_ptr<Generation> EngineState::Submit(GenerationRequest request, TimePoint now) {
  const auto found = generations_.find(request.id);
  if (found != generations_.end() && !found->second->cancelled &&
      found->second->request.start_position <= request.start_position) {
    ++counts_.attached;
    return found->second;
  }
  ++counts_.submitted;
  auto generation = std::make_shared<Generation>();
  generation->token_seed = TokenSeed(request.prompt, request.seed);
  generation->next_position = request.start_position;
  generation->submission_index = next_submission_index_++;
  generation->readerless_since = now;
  generation->request = std::move(request);
  if (found != generations_.end()) {
    Cancel(found->first);
  }
  generations_[generation->request.id] = generation;
  waiting_.push_back(generation);
  Admit(now);
  if (options_.time_to_first_token == Duration::zero() && generation->admitted &&
      generation->first_token_at <= now && !generation->complete()) {
    GenerateTokens(*generation);
  }
  return generation;
}

std::shared_ptr<Generation> EngineState::Find(const std::string& id) const {
  const auto found = generations_.find(id);
  return found == generations_.end() ? nullptr : found->second;
}

bool EngineState::Cancel(const std::string& id) {
  const std::shared_ptr<Generation> generation = Find(id);
  if (!generation || generation->complete() || generation->cancelled) {
    return false;
  }
  generation->cancelled = true;
  ++counts_.cancelled;
  std::erase(waiting_, generation);
  std::erase(running_, generation);
  Wake(*generation);
  return true;
}

void EngineState::Admit(TimePoint now) {
  while (!waiting_.empty() && running_.size() < options_.max_batch_size) {
    const auto highest_priority =
        std::min_element(waiting_.begin(), waiting_.end(), [](const auto& a, const auto& b) {
          return a->request.priority != b->request.priority
                     ? a->request.priority > b->request.priority
                     : a->submission_index < b->submission_index;
        });
    const std::shared_ptr<Generation> generation = *highest_priority;
    waiting_.erase(highest_priority);
    const std::string text = generation->request.prompt + generation->request.known_text;
    const std::size_t cached = cache_.LookupAndInsert(PrefixHashes(text), now) * kPrefixBlockBytes;
    generation->admitted = true;
    generation->prompt_tokens = (text.size() + kPromptTokenBytes - 1) / kPromptTokenBytes;
    generation->cached_tokens = cached / kPromptTokenBytes;
    const std::size_t uncached = generation->prompt_tokens - generation->cached_tokens;
    counts_.prefilled_tokens += uncached;
    generation->first_token_at =
        now + options_.time_to_first_token +
        options_.prefill_time_per_token * static_cast<std::int64_t>(uncached);
    running_.push_back(generation);
  }
}

void EngineState::GenerateTokens(Generation& generation) {
  const std::int64_t end = std::min<std::int64_t>(
      generation.next_position + options_.tokens_per_step, generation.request.max_tokens);
  counts_.generated_tokens += static_cast<std::uint64_t>(end - generation.next_position);
  generation.next_position = end;
  Wake(generation);
}

void EngineState::Step(TimePoint now) {
  for (const auto& generation : running_) {
    if (generation->first_token_at <= now && !generation->complete()) {
      GenerateTokens(*generation);
    }
  }
  std::erase_if(running_, [](const auto& generation) { return generation->complete(); });
  for (auto it = generations_.begin(); it != generations_.end();) {
    Generation& generation = *it->second;
    if (generation.reader_count > 0 ||
        now - generation.readerless_since < options_.retention_period) {
      ++it;
      continue;
    }
    if (Cancel(it->first)) {
      ++counts_.expired;
    }
    it = generations_.erase(it);
  }
  Admit(now);
}

void EngineState::AddReader(Generation& generation,
                            const std::shared_ptr<GenerationReader>& reader) {
  ++generation.reader_count;
  std::erase_if(generation.readers, [](const auto& weak_reader) { return weak_reader.expired(); });
  generation.readers.push_back(reader);
}

void EngineState::RemoveReader(Generation& generation, TimePoint now) {
  --generation.reader_count;
  generation.readerless_since = now;
}

void EngineState::Wake(Generation& generation) {
  for (const auto& weak_reader : generation.readers) {
    if (const auto reader = weak_reader.lock()) {
      reader->Wake();
    }
  }
}

std::string EngineState::Export(const std::string& id) const {
  const std::shared_ptr<Generation> generation = Find(id);
  if (!generation || generation->cancelled) {
    return {};
  }
  const GenerationRequest& request = generation->request;
  return json::serialize(json::object{{"id", request.id},
                                      {"prompt", request.prompt},
                                      {"seed", request.seed},
                                      {"next", generation->next_position},
                                      {"max_tokens", request.max_tokens},
                                      {"priority", request.priority}});
}

bool EngineState::Import(std::string_view blob, TimePoint now) {
  json::error_code error;
  const json::value document = json::parse(json::string_view(blob.data(), blob.size()), error);
  const json::object* object = error ? nullptr : document.if_object();
  if (object == nullptr || GetString(*object, "id").empty()) {
    return false;
  }
  auto generation = std::make_shared<Generation>();
  generation->request = {.id = GetString(*object, "id"),
                         .prompt = GetString(*object, "prompt"),
                         .seed = GetString(*object, "seed"),
                         .start_position = 0,
                         .max_tokens = GetInteger(*object, "max_tokens"),
                         .priority = GetInteger(*object, "priority")};
  generation->token_seed = TokenSeed(generation->request.prompt, generation->request.seed);
  generation->next_position = GetInteger(*object, "next");
  generation->admitted = true;
  generation->first_token_at = now;
  generation->readerless_since = now;
  generation->submission_index = next_submission_index_++;
  Cancel(generation->request.id);
  generations_[generation->request.id] = generation;
  if (!generation->complete()) {
    running_.push_back(generation);
  }
  return true;
}

bool EngineState::ApplyOrder(const std::string& name, const std::string& value,
                             std::uint64_t fencing) {
  if (options_.checks_fencing && fencing < highest_fencing_) {
    return false;
  }
  highest_fencing_ = std::max(highest_fencing_, fencing);
  orders_[name] = value;
  return true;
}

void EngineState::Reset() {
  for (const auto& [id, generation] : generations_) {
    generation->cancelled = true;
    Wake(*generation);
  }
  generations_.clear();
  waiting_.clear();
  running_.clear();
  cache_.Clear();
}

}  // namespace savoryglade
