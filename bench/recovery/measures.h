#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace savoryglade {

// Result of one seed, for the baseline and for the implementation under test.
struct Sample {
  double baseline = 0;
  double ours = 0;
  std::uint64_t seed = 0;
};

// States whether smaller or larger values are better.
enum class Better { kSmaller, kLarger };

// Prints the median and the worst sample of one case as JSON lines. Samples are ordered by `ours`.
void PrintSamples(std::string_view measure, std::string_view name, std::string_view unit,
                  std::vector<Sample> samples, Better better = Better::kSmaller);

void MeasureAtMostOnce();
void MeasureClaimInterleavings();
void MeasureCrashIdentity();
void MeasureCrashingRequest();
void MeasureReclaim();
void MeasureStreamLookup();

}  // namespace savoryglade
