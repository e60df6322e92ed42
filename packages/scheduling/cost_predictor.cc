#include "scheduling/cost_predictor.h"

#include <algorithm>
#include <bit>
#include <functional>

namespace savoryglade {
namespace {

// Estimates for a service without history; the first completed requests correct them.
constexpr double kSecondsPerByte = 2e-6;
constexpr double kSecondsPerToken = 0.01;
constexpr double kSecondsPerRequest = 0.01;

// Weight of a wider class, in requests of the class's own history.
constexpr double kWiderClassWeight = 4;
// Fraction of a history that each new request replaces once 1/kDecayPerRequest requests are in it.
constexpr double kDecayPerRequest = 0.02;
// 5 accounts with a few services have some hundred classes. The limit bounds memory when callers
// vary their sizes on purpose.
constexpr std::size_t kMaxHistories = 16384;

std::uint64_t CombineHash(std::uint64_t seed, std::uint64_t value) {
  seed ^= value + 0x9e3779b97f4a7c15ULL + (seed << 6U) + (seed >> 2U);
  return seed;
}

std::uint64_t SizeClass(const CostQuery& query) {
  const auto bytes = static_cast<std::uint64_t>(std::bit_width(query.request_bytes));
  const auto tokens = static_cast<std::uint64_t>(
      std::bit_width(static_cast<unsigned>(std::max(0, query.max_tokens))));
  return bytes * 64 + tokens + 1;
}

struct HistoryKeys {
  explicit HistoryKeys(const CostQuery& query)
      : service(CombineHash(1, std::hash<ServiceId>()(query.service))),
        size(CombineHash(service, SizeClass(query))),
        account(CombineHash(size, std::hash<AccountId>()(query.account))) {}

  std::uint64_t service;
  std::uint64_t size;
  std::uint64_t account;
};

}  // namespace

double CostPredictor::Predict(const CostQuery& query) const {
  const HistoryKeys keys(query);
  const double service_ratio = Blend(keys.service, 1);
  const double size_ratio = Blend(keys.size, service_ratio);
  return Prior(query) * Blend(keys.account, size_ratio);
}

void CostPredictor::RecordActualCost(const CostQuery& query, double actual_cost) {
  const HistoryKeys keys(query);
  const double prior = Prior(query);
  AddToHistory(keys.service, prior, actual_cost);
  AddToHistory(keys.size, prior, actual_cost);
  AddToHistory(keys.account, prior, actual_cost);
}

double CostPredictor::Prior(const CostQuery& query) {
  if (query.prior > 0) {
    return query.prior;
  }
  return kSecondsPerRequest + kSecondsPerByte * static_cast<double>(query.request_bytes) +
         kSecondsPerToken * std::max(0, query.max_tokens);
}

double CostPredictor::Blend(std::uint64_t key, double wider_ratio) const {
  const auto found = histories_.find(key);
  if (found == histories_.end()) {
    return wider_ratio;
  }
  const History& history = found->second;
  const double ratio = history.actual / history.prior;
  return (ratio * history.weight + wider_ratio * kWiderClassWeight) /
         (history.weight + kWiderClassWeight);
}

void CostPredictor::AddToHistory(std::uint64_t key, double prior, double actual_cost) {
  if (histories_.size() >= kMaxHistories && !histories_.contains(key)) {
    return;
  }
  History& history = histories_[key];
  history.weight = history.weight * (1 - kDecayPerRequest) + 1;
  history.actual = history.actual * (1 - kDecayPerRequest) + actual_cost;
  history.prior = history.prior * (1 - kDecayPerRequest) + prior;
}

}  // namespace savoryglade
