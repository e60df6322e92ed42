#include "routing/hedge_budget.h"

#include <algorithm>

namespace savoryglade {
namespace {

// The target for extra work is 2% (benchmark "stragglers"); probes that end as hedges and wrong
// predictions take the rest.
constexpr double kEarnedFraction = 0.015;
constexpr double kTypicalWeight = 0.01;
// All requests that wait on one straggler become due together, so that many fit in at once.
constexpr double kLargestCredit = 16;

}  // namespace

void HedgeBudget::Earn(double cost) {
  typical_cost_ += (typical_cost_ <= 0 ? 1 : kTypicalWeight) * (cost - typical_cost_);
  credit_ = std::min(credit_ + kEarnedFraction * cost, kLargestCredit * typical_cost_);
}

void HedgeBudget::Settle(double reserved, double wasted) {
  credit_ += reserved - wasted;
  wasted_ += wasted;
}

}  // namespace savoryglade
