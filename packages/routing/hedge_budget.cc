#include "routing/hedge_budget.h"

#include <algorithm>

namespace savoryglade {
namespace {

// The target for extra work is at most 2% (benchmark "stragglers"); probes that end as hedges and
// wrong predictions account for the difference.
constexpr double kCreditFraction = 0.015;
constexpr double kTypicalWeight = 0.01;
// All requests that wait on one straggler become due together, so the credit covers this many at
// once.
constexpr double kMaxCreditRequests = 16;

}  // namespace

void HedgeBudget::AccrueCredit(double cost) {
  typical_cost_ += (typical_cost_ <= 0 ? 1 : kTypicalWeight) * (cost - typical_cost_);
  credit_ = std::min(credit_ + kCreditFraction * cost, kMaxCreditRequests * typical_cost_);
}

void HedgeBudget::Settle(double reserved_cost, double wasted) {
  credit_ += reserved_cost - wasted;
  wasted_ += wasted;
}

}  // namespace savoryglade
