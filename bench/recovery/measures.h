#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace savoryglade {

// One figure of one seed, for the baseline and for our decision objects.
struct Sample {
  double baseline = 0;
  double ours = 0;
  std::uint64_t seed = 0;
};

// Whether a smaller or a larger figure is the better one.
enum class Better { kSmaller, kLarger };

// Prints the median and the worst sample of one case, by the figure of ours, as JSON lines.
void PrintSamples(std::string_view measure, std::string_view name, std::string_view unit,
                  std::vector<Sample> samples, Better better = Better::kSmaller);

void MeasureAtMostOnce();
void MeasureClaimInterleavings();
void MeasureCrashingRequest();
void MeasureReclaim();
void MeasureStreamLookup();

}  // namespace savoryglade
