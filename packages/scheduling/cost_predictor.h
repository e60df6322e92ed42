#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "core/strong_id.h"

namespace savoryglade {

// What is known of a request's size before it runs.
struct CostQuery {
  AccountId account;
  ServiceId service;
  // Size of the request's body in bytes; 0 if unknown.
  std::size_t request_bytes = 0;
  // Limit on generated tokens that the caller set; 0 for plain services.
  int max_tokens = 0;
  // Estimate from engine rates in seconds of one slot; 0 if there is none.
  double prior = 0;
};

// Predicts the cost of requests in seconds of one slot from the actual costs of earlier ones. Costs
// are learned for classes of similar size (powers of two) of one account, and a class with little
// history leans on that of wider classes: all accounts of the service, then the whole service. Not
// safe to use from several threads.
class CostPredictor {
 public:
  double Predict(const CostQuery& query) const;

  // Takes the actual cost of a request that ran to its end.
  void Learn(const CostQuery& query, double actual_cost);

  // Returns the number of histories, at most 16384.
  std::size_t size() const { return histories_.size(); }

 private:
  // Sums of actual cost over estimate, in which older requests weigh less.
  struct History {
    double weight = 0;
    double actual = 0;
    double prior = 0;
  };

  static double Prior(const CostQuery& query);
  double Blend(std::uint64_t key, double wider) const;
  void Add(std::uint64_t key, double prior, double actual_cost);

  std::unordered_map<std::uint64_t, History> histories_;
};

}  // namespace savoryglade
