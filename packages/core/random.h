#pragma once

#include <cstdint>
#include <random>

namespace savoryglade {

// Seeded source of randomness. The distributions are our own because those of the standard library
// differ between implementations, and equal seeds must give equal runs everywhere.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  // Returns 64 random bits.
  std::uint64_t Next() { return engine_(); }

  // Returns an integer in [0, bound). The bound must be positive. The bias of the modulo is below
  // 2^-32 for the bounds in use.
  std::uint64_t UniformInt(std::uint64_t bound) { return engine_() % bound; }

  // Returns a number in [0, 1).
  double UniformReal() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }

  // Returns true with the given probability in [0, 1].
  bool Bernoulli(double probability) { return UniformReal() < probability; }

  // Returns an exponentially distributed number with the given mean.
  double Exponential(double mean);

 private:
  std::mt19937_64 engine_;
};

}  // namespace savoryglade
