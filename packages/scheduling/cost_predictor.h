#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "core/strong_id.h"

namespace savoryglade {

// Attributes of a request that are known before it runs.
struct CostQuery {
  AccountId account;
  ServiceId service;
  // Size of the request's body in bytes; 0 if unknown.
  std::size_t request_bytes = 0;
  // Caller's limit on generated tokens; 0 for plain services.
  int max_tokens = 0;
  // Estimate from engine rates in seconds of one slot; 0 if there is none.
  double prior = 0;
};

// Predicts the cost of requests, in seconds of one slot, from the actual costs of earlier ones.
// Keeps a history for each class of similar size (powers of two) of an account. A class with little
// history is blended with wider classes: all accounts of the service, then the whole service. Not
// thread-safe.
class CostPredictor {
 public:
  double Predict(const CostQuery& query) const;

  // Records the actual cost of a completed request.
  void RecordActualCost(const CostQuery& query, double actual_cost);

  // Returns the number of histories, at most 16384.
  std::size_t size() const { return histories_.size(); }

 private:
  // Sums of actual costs and of estimates, decayed with each request.
  struct History {
    double weight = 0;
    double actual = 0;
    double prior = 0;
  };

  static double Prior(const CostQuery& query);
  double Blend(std::uint64_t key, double wider_ratio) const;
  void AddToHistory(std::uint64_t key, double prior, double actual_cost);

  std::unordered_map<std::uint64_t, History> histories_;
};

}  // namespace savoryglade
