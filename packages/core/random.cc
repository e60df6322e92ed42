#include "core/random.h"

#include <cmath>

namespace savoryglade {

double Random::Exponential(double mean) { return -mean * std::log1p(-UniformReal()); }

}  // namespace savoryglade
