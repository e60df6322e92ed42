#include <array>
#include <cstdio>
#include <string_view>

#include "bench/routing/measures.h"

namespace savoryglade {
namespace {

struct Measure {
  std::string_view name;
  void (*run)();
};

constexpr std::array kMeasures = {
    Measure{"stragglers", MeasureStragglers}, Measure{"recompute", MeasureRecompute},
    Measure{"selection", MeasureSelection}, Measure{"route-tables", MeasureRouteTables},
    Measure{"overload", MeasureFleetOverload}};

int Run(int argc, char** argv) {
  const std::string_view name = argc > 1 ? argv[1] : "";
  bool found = false;
  for (const Measure& measure : kMeasures) {
    if (name == "--list") {
      std::puts(measure.name.data());
      found = true;
    } else if (name.empty() || name == measure.name) {
      measure.run();
      found = true;
    }
  }
  if (!found) {
    std::fputs("usage: bench_routing [--list | NAME]\n", stderr);
    return 2;
  }
  return 0;
}

}  // namespace
}  // namespace savoryglade

int main(int argc, char** argv) { return savoryglade::Run(argc, argv); }
