#include "scheduling/cost_predictor.h"

#include <algorithm>
#include <bit>
#include <functional>

namespace savoryglade {
namespace {

// Estimates for a service without any history; the first answers replace them.
constexpr double kSecondsPerByte = 2e-6;
constexpr double kSecondsPerToken = 0.01;
constexpr double kSecondsPerRequest = 0.01;

// Requests of a wider class that weigh as much as one class's own history.
constexpr double kWiderWeight = 4;
// Share of a history that each new request replaces once 1/kForget requests are in it.
constexpr double kForget = 0.02;
// 5 accounts with a few services have some hundred classes. The bound holds for callers that vary
// their sizes on purpose.
constexpr std::size_t kMaxHistories = 16384;

std::uint64_t Mix(std::uint64_t seed, std::uint64_t value) {
  seed ^= value + 0x9e3779b97f4a7c15ULL + (seed << 6U) + (seed >> 2U);
  return seed;
}

std::uint64_t SizeClass(const CostQuery& query) {
  const auto bytes = static_cast<std::uint64_t>(std::bit_width(query.request_bytes));
  const auto tokens = static_cast<std::uint64_t>(
      std::bit_width(static_cast<unsigned>(std::max(0, query.max_tokens))));
  return bytes * 64 + tokens + 1;
}

struct Keys {
  explicit Keys(const CostQuery& query)
      : service(Mix(1, std::hash<ServiceId>()(query.service))),
        size(Mix(service, SizeClass(query))),
        account(Mix(size, std::hash<AccountId>()(query.account))) {}

  std::uint64_t service;
  std::uint64_t size;
  std::uint64_t account;
};

}  // namespace

double CostPredictor::Predict(const CostQuery& query) const {
  const Keys keys(query);
  const double wide = Blend(keys.service, 1);
  const double middle = Blend(keys.size, wide);
  return Prior(query) * Blend(keys.account, middle);
}

void CostPredictor::Learn(const CostQuery& query, double actual_cost) {
  const Keys keys(query);
  const double prior = Prior(query);
  Add(keys.service, prior, actual_cost);
  Add(keys.size, prior, actual_cost);
  Add(keys.account, prior, actual_cost);
}

double CostPredictor::Prior(const CostQuery& query) {
  if (query.prior > 0) {
    return query.prior;
  }
  return kSecondsPerRequest + kSecondsPerByte * static_cast<double>(query.request_bytes) +
         kSecondsPerToken * std::max(0, query.max_tokens);
}

double CostPredictor::Blend(std::uint64_t key, double wider) const {
  const auto found = histories_.find(key);
  if (found == histories_.end()) {
    return wider;
  }
  const History& history = found->second;
  const double ratio = history.actual / history.prior;
  return (ratio * history.weight + wider * kWiderWeight) / (history.weight + kWiderWeight);
}

void CostPredictor::Add(std::uint64_t key, double prior, double actual_cost) {
  if (histories_.size() >= kMaxHistories && !histories_.contains(key)) {
    return;
  }
  History& history = histories_[key];
  history.weight = history.weight * (1 - kForget) + 1;
  history.actual = history.actual * (1 - kForget) + actual_cost;
  history.prior = history.prior * (1 - kForget) + prior;
}

}  // namespace savoryglade
