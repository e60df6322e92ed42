#pragma once

#include "core/time.h"

namespace savoryglade {

// Limits the extra work of hedges to a fraction of the dispatched work. Costs are in seconds of one
// slot.
class HedgeBudget {
 public:
  // Adds the credit that a dispatched cost earns.
  void AccrueCredit(double cost);

  // Returns true if the credit covers a hedge of this cost.
  bool Allows(double cost) const { return credit_ >= cost; }

  // Reserves the full cost of a hedge.
  void Reserve(double cost) { credit_ -= cost; }

  // Releases the unused part of a reservation once the work wasted by the losing attempt is known.
  void Settle(double reserved_cost, double wasted);

  // Returns the total work wasted by hedges, in seconds of one slot.
  double wasted() const { return wasted_; }

 private:
  double credit_ = 0;
  double typical_cost_ = 0;
  double wasted_ = 0;
};

}  // namespace savoryglade
