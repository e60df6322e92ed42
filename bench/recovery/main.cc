#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "bench/recovery/measures.h"

namespace savoryglade {

void PrintSamples(std::string_view measure, std::string_view name, std::string_view unit,
                  std::vector<Sample> samples, Better better) {
  std::sort(samples.begin(), samples.end(), [better](const Sample& a, const Sample& b) {
    return better == Better::kSmaller ? a.ours < b.ours : b.ours < a.ours;
  });
  for (const auto& [label, sample] :
       {std::pair("median", samples[samples.size() / 2]), std::pair("worst", samples.back())}) {
    fmt::print(
        R"({{"measure":"{}","case":"{}, {}","baseline":{:.6g},"ours":{:.6g},"unit":"{}","seed":{}}})"
        "\n",
        measure, name, label, sample.baseline, sample.ours, unit, sample.seed);
  }
}

}  // namespace savoryglade

int main(int argc, char** argv) {
  constexpr std::array<std::pair<std::string_view, void (*)()>, 6> kMeasures = {
      {{"at-most-once", savoryglade::MeasureAtMostOnce},
       {"claim-interleavings", savoryglade::MeasureClaimInterleavings},
       {"crash-identity", savoryglade::MeasureCrashIdentity},
       {"crashing-request", savoryglade::MeasureCrashingRequest},
       {"reclaim", savoryglade::MeasureReclaim},
       {"stream-lookup", savoryglade::MeasureStreamLookup}}};
  const std::string_view wanted = argc > 1 ? argv[1] : "";
  bool found = false;
  for (const auto& [name, run] : kMeasures) {
    if (wanted == "--list") {
      fmt::print("{}\n", name);
      found = true;
    } else if (wanted.empty() || wanted == name) {
      run();
      found = true;
    }
  }
  if (!found) {
    fmt::print(stderr, "bench_recovery has no measure \"{}\".\n", wanted);
    return 2;
  }
  return 0;
}
