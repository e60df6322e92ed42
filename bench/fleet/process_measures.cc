#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <thread>
#include <vector>

#include "bench/fleet/fleet_processes.h"
#include "bench/fleet/measures.h"

namespace savoryglade::bench {
namespace {

struct FleetSize {
  int daemons;
  int domains;
};

// The numbers of daemons and of failure domains vary independently to separate their effects.
constexpr std::array<FleetSize, 6> kFleetSizes = {
    {{8, 4}, {16, 4}, {32, 4}, {32, 16}, {64, 4}, {64, 28}}};
constexpr int kChangesPerFleet = 10;
constexpr Duration kIdlePeriod = 10s;

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

std::string CaseName(const FleetSize& size, const std::string& description) {
  return fmt::format("{} daemons, {} failure domains: {}", size.daemons, size.domains, description);
}

// Waits until all daemons see each other as live. Returns false if this takes more than 30 s.
bool WaitForFullMembership(FleetProcesses& fleet) {
  const std::vector<double> seconds = fleet.WaitForVersion(0, fleet.size());
  for (std::size_t i = 0; i < seconds.size(); ++i) {
    if (seconds[i] < 0) {
      fmt::print(stderr, "Daemon {} does not see all other daemons: {}\n", i,
                 fleet.Status(static_cast<int>(i)));
    }
  }
  return std::find(seconds.begin(), seconds.end(), -1.0) == seconds.end();
}

struct ResourceCost {
  double cpu_percent = 0;
  double megabytes = 0;
  double bytes_per_second = 0;
  double messages_per_second = 0;
};

ResourceCost ComputeCost(const ProcessSample& before, const ProcessSample& after, double seconds) {
  return {.cpu_percent = 100 * (after.cpu_seconds - before.cpu_seconds) / seconds,
          .megabytes = after.resident_megabytes,
          .bytes_per_second = (after.peer_bytes_sent - before.peer_bytes_sent +
                               after.peer_bytes_received - before.peer_bytes_received) /
                              seconds,
          .messages_per_second = (after.peer_messages_sent - before.peer_messages_sent +
                                  after.peer_messages_received - before.peer_messages_received) /
                                 seconds};
}

// Measures what a configuration change costs a daemon with 2600 upstreams, the configuration size
// expected in two years.
int RunLargeConfiguration() {
  constexpr int kUpstreams = 2600;
  constexpr int kDaemons = 8;
  const double no_baseline = std::numeric_limits<double>::quiet_NaN();
  FleetProcesses fleet(kDaemons, 2);
  if (!WaitForFullMembership(fleet)) {
    return 1;
  }
  for (const bool whole : {true, false}) {
    const std::string description =
        whole ? "whole document of 2600 upstreams" : "1 of 2600 upstreams changed";
    const std::uint64_t expected = whole ? 0 : 1;
    // The last daemon is not a representative and does not receive the change from the operator.
    const ProcessSample before = fleet.SampleProcess(kDaemons - 1);
    std::vector<double> seconds;
    std::thread waiting([&] { seconds = fleet.WaitForVersion(expected + 1, 1); });
    const unsigned accepted = fleet.PutConfiguration(1, expected, kUpstreams);
    waiting.join();
    const ProcessSample after = fleet.SampleProcess(kDaemons - 1);
    if (accepted != 200 || std::find(seconds.begin(), seconds.end(), -1.0) != seconds.end()) {
      fmt::print(stderr, "{}: status {}\n", description, accepted);
      return 1;
    }
    Print({"config-spread",
           "8 daemons, 2 failure domains, " + description + ": until in force in all", no_baseline,
           *std::max_element(seconds.begin(), seconds.end()), "s", "none"});
    Print({"config-spread",
           "8 daemons, 2 failure domains, " + description +
               ": bytes received by a daemon, heartbeats included",
           no_baseline, after.peer_bytes_received - before.peer_bytes_received, "B", "none"});
    Print({"config-spread",
           "8 daemons, 2 failure domains, " + description + ": processor time of a daemon",
           no_baseline, after.cpu_seconds - before.cpu_seconds, "s", "none"});
  }
  return 0;
}

}  // namespace

int RunConfigPropagation() {
  int status = 0;
  double baseline = std::numeric_limits<double>::quiet_NaN();
  for (const FleetSize& size : kFleetSizes) {
    FleetProcesses fleet(size.daemons, size.domains);
    if (!WaitForFullMembership(fleet)) {
      fmt::print(stderr, "{}\n", CaseName(size, "not all daemons see each other after 30 s"));
      return 1;
    }
    std::vector<double> slowest;
    for (int change = 0; change < kChangesPerFleet; ++change) {
      // The varying pause keeps changes from always starting at the same phase of the heartbeats,
      // which propagated the previous change.
      std::this_thread::sleep_for(100ms * (change * 7 % 10));
      // The measured time starts before the change is sent, so it includes the write to the table.
      unsigned accepted = 0;
      std::vector<double> seconds;
      std::thread waiting(
          [&] { seconds = fleet.WaitForVersion(static_cast<std::uint64_t>(change) + 1, 1); });
      accepted =
          fleet.PutConfiguration(change % size.daemons, static_cast<std::uint64_t>(change), 40);
      waiting.join();
      const bool all = std::find(seconds.begin(), seconds.end(), -1.0) == seconds.end();
      if (accepted != 200 || !all) {
        fmt::print(stderr, "{}\n",
                   CaseName(size, fmt::format("change {} failed: status {}", change, accepted)));
        status = 1;
        break;
      }
      slowest.push_back(*std::max_element(seconds.begin(), seconds.end()));
    }
    if (slowest.empty()) {
      continue;
    }
    const double median = Median(slowest);
    const double worst = *std::max_element(slowest.begin(), slowest.end());
    Print({"config-spread", CaseName(size, "until in force in all, median of 10 changes"), baseline,
           median, "s", "none"});
    Print({"config-spread", CaseName(size, "until in force in all, worst of 10 changes"), baseline,
           worst, "s", "none"});
    if (std::isnan(baseline)) {
      baseline = median;
    }
  }
  return status | RunLargeConfiguration();
}

int RunControlCost() {
  const double no_baseline = std::numeric_limits<double>::quiet_NaN();
  std::array<double, 6> baseline;
  baseline.fill(no_baseline);
  for (const FleetSize& size : kFleetSizes) {
    FleetProcesses fleet(size.daemons, size.domains);
    if (!WaitForFullMembership(fleet) || fleet.PutConfiguration(0, 0, 40) != 200) {
      fmt::print(stderr, "{}\n", CaseName(size, "not all daemons see each other after 30 s"));
      return 1;
    }
    fleet.WaitForVersion(1, size.daemons);
    std::vector<ProcessSample> before;
    before.reserve(static_cast<std::size_t>(fleet.size()));
    for (int i = 0; i < fleet.size(); ++i) {
      before.push_back(fleet.SampleProcess(i));
    }
    const provider::TableOperationCounts counts_before = fleet.table_counts();
    const auto begin = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(kIdlePeriod);
    std::vector<ProcessSample> after;
    after.reserve(before.size());
    for (int i = 0; i < fleet.size(); ++i) {
      after.push_back(fleet.SampleProcess(i));
    }
    const double seconds = ToSeconds(std::chrono::steady_clock::now() - begin);
    const provider::TableOperationCounts counts = fleet.table_counts();
    std::vector<double> cpu;
    std::vector<double> memory;
    std::vector<double> bytes;
    std::vector<double> messages;
    for (std::size_t i = 0; i < after.size(); ++i) {
      const ResourceCost cost = ComputeCost(before[i], after[i], seconds);
      cpu.push_back(cost.cpu_percent);
      memory.push_back(cost.megabytes);
      bytes.push_back(cost.bytes_per_second);
      messages.push_back(cost.messages_per_second);
    }
    // The representative of a failure domain is its daemon with the lowest id.
    const auto representatives = static_cast<std::size_t>(size.domains);
    const auto role_median = [&](const std::vector<double>& values, bool representative) {
      return Median(representative
                        ? std::vector<double>(values.begin(), values.begin() + size.domains)
                        : std::vector<double>(values.begin() + size.domains, values.end()));
    };
    const bool has_others = after.size() > representatives;
    for (const bool representative : {true, false}) {
      if (!representative && !has_others) {
        continue;
      }
      const std::string role = representative ? "representative, " : "other daemon, ";
      Print({"control-cost", CaseName(size, role + "processor, median"), no_baseline,
             role_median(cpu, representative), "% of a core", "none"});
      Print({"control-cost", CaseName(size, role + "resident memory, median"), no_baseline,
             role_median(memory, representative), "MB", "none"});
      Print({"control-cost", CaseName(size, role + "bytes sent and received, median"), no_baseline,
             role_median(bytes, representative), "B/s", "none"});
      Print({"control-cost", CaseName(size, role + "messages sent and received, median"),
             no_baseline, role_median(messages, representative), "1/s", "none"});
    }
    const std::array<double, 6> worst = {
        *std::max_element(cpu.begin(), cpu.end()),
        *std::max_element(memory.begin(), memory.end()),
        *std::max_element(bytes.begin(), bytes.end()),
        *std::max_element(messages.begin(), messages.end()),
        static_cast<double>(counts.reads - counts_before.reads) / seconds,
        static_cast<double>(counts.writes - counts_before.writes) / seconds};
    constexpr std::array<const char*, 6> kNames = {"processor, worst daemon",
                                                   "resident memory, worst daemon",
                                                   "bytes, worst daemon",
                                                   "messages, worst daemon",
                                                   "table reads of the whole fleet",
                                                   "table writes of the whole fleet"};
    constexpr std::array<const char*, 6> kUnits = {"% of a core", "MB", "B/s", "1/s", "1/s", "1/s"};
    for (std::size_t i = 0; i < worst.size(); ++i) {
      Print({"control-cost", CaseName(size, kNames.at(i)), baseline.at(i), worst.at(i),
             kUnits.at(i), "none"});
    }
    if (std::isnan(baseline[0])) {
      baseline = worst;
    }
  }
  return 0;
}

}  // namespace savoryglade::bench
