#pragma once

#include "core/time.h"

namespace savoryglade {

// Bounds the extra work of hedges to a fraction of the work that was dispatched. Costs are in
// seconds of one slot.
class HedgeBudget {
 public:
  // Adds the allowance that a dispatched cost earns.
  void Earn(double cost);

  // Returns true if a hedge of this cost is allowed now.
  bool Allows(double cost) const { return credit_ >= cost; }

  // Sets the full cost of a hedge aside.
  void Reserve(double cost) { credit_ -= cost; }

  // Returns what a hedge did not use, once the wasted part of the losing attempt is known.
  void Settle(double reserved, double wasted);

  // Returns the work that hedges wasted so far, in seconds of one slot.
  double wasted() const { return wasted_; }

 private:
  double credit_ = 0;
  double typical_cost_ = 0;
  double wasted_ = 0;
};

}  // namespace savoryglade
