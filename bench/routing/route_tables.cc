#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "bench/routing/measure_report.h"
#include "bench/routing/measures.h"
#include "config/route_changes.h"
#include "config/route_table.h"
#include "core/random.h"

namespace savoryglade {
namespace {

constexpr std::array kRouteCounts = {500, 1450, 2850, 5000, 20'000};
constexpr std::uint64_t kSeeds = 3;
constexpr int kLookups = 200;

// Routes of one host, the longest prefix first, each of which is compared with the path.
class LinearRouteTable {
 public:
  explicit LinearRouteTable(const RouteTable& table) {
    for (const Route& route : table.document().routes) {
      routes_.push_back(&route);
    }
    std::ranges::stable_sort(routes_, [](const Route* a, const Route* b) {
      return a->prefix.size() > b->prefix.size();
    });
  }

  const Route* Match(std::string_view path) const {
    const auto found = std::ranges::find_if(
        routes_, [path](const Route* route) { return path.starts_with(route->prefix); });
    return found == routes_.end() ? nullptr : *found;
  }

 private:
  std::vector<const Route*> routes_;
};

RouteTable MakeTable(int routes, std::uint64_t seed, const char* service_of_first) {
  Random random(seed);
  RouteDocument document;
  for (int i = 0; i < routes; ++i) {
    document.routes.push_back(
        {.name = fmt::format("r-{}", i),
         .host = "h.example",
         .prefix = fmt::format("/{:x}/{}/", random.UniformInt(1'000'000), i),
         .kind = CallKind::kStream,
         .resumable = true,
         .services = {{.service = ServiceId(i == 0 ? service_of_first : "a")}}});
  }
  return RouteTable(std::move(document));
}

// Returns how long a function takes, in microseconds.
template <typename Function>
double Microseconds(Function function) {
  const auto begun_at = std::chrono::steady_clock::now();
  function();
  return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begun_at)
      .count();
}

// Compares two versions as a loop over all routes for each route.
int CompareLinearly(const RouteTable& before, const RouteTable& after) {
  const LinearRouteTable old_routes(before);
  const LinearRouteTable new_routes(after);
  int replaced = 0;
  for (const RouteTable* table : {&after, &before}) {
    for (const Route& route : table->document().routes) {
      const Route* const from = old_routes.Match(route.prefix);
      const Route* const to = new_routes.Match(route.prefix);
      replaced += from != nullptr && to != nullptr && from->services != to->services ? 1 : 0;
    }
  }
  return replaced;
}

}  // namespace

void MeasureRouteTables() {
  for (const int routes : kRouteCounts) {
    std::vector<SeedResult> lookups;
    std::vector<SeedResult> comparisons;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const RouteTable before = MakeTable(routes, seed, "a");
      const RouteTable after = MakeTable(routes, seed, "b");
      const LinearRouteTable linear(before);
      std::vector<std::string> paths;
      Random random(seed);
      for (int i = 0; i < kLookups; ++i) {
        const std::size_t route = random.UniformInt(before.document().routes.size());
        paths.push_back(before.document().routes[route].prefix + "orders/7");
      }
      std::size_t found = 0;
      const double linear_time = Microseconds([&] {
        for (const std::string& path : paths) {
          found += linear.Match(path)->prefix.size();
        }
      });
      const double indexed_time = Microseconds([&] {
        for (const std::string& path : paths) {
          found -= before.Match("h.example", path)->prefix.size();
        }
      });
      if (found != 0) {
        fmt::print(stderr, "The tables differ.\n");
        return;
      }
      lookups.push_back(
          {.seed = seed, .baseline = linear_time / kLookups, .ours = indexed_time / kLookups});
      std::size_t replaced = 0;
      const double linear_comparison =
          Microseconds([&] { replaced += CompareLinearly(before, after) > 0 ? 1 : 0; });
      const double comparison =
          Microseconds([&] { replaced += FindServiceReplacements(before, after).size(); });
      if (replaced != 2) {
        fmt::print(stderr, "The comparisons differ.\n");
        return;
      }
      comparisons.push_back(
          {.seed = seed, .baseline = linear_comparison / 1000, .ours = comparison / 1000});
    }
    PrintCase("route-tables", fmt::format("lookup, {} routes", routes), "us", lookups);
    PrintCase("route-tables", fmt::format("comparison of versions, {} routes", routes), "ms",
              comparisons);
  }
}

}  // namespace savoryglade
