#include <docopt/docopt.h>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <string>

#include "soak/play.h"

namespace {

using savoryglade::FromSeconds;
using savoryglade::soak::Play;
using savoryglade::soak::Violation;

constexpr char kUsage[] =
    R"(savoryglade_soak: plays daemons, callers, upstreams and faults that are drawn from seeds.

Usage:
  savoryglade_soak [--seeds=N] [--seed=S] [--seconds=T] [--logs=DIRECTORY]
                   [--daemon=PROGRAM]
  savoryglade_soak --help

Options:
  --seeds=N         Number of plays [default: 50].
  --seed=S          Seed of the first play [default: 1].
  --seconds=T       Seconds of calls in each play [default: 20].
  --logs=DIRECTORY  Settings and logs of the daemons; those of plays without a broken promise are
                    removed [default: soak-logs].
  --daemon=PROGRAM  The daemon [default: )" SAVORYGLADE_DAEMON_PROGRAM R"(].
)";

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc});
  const auto first_seed = static_cast<std::uint64_t>(arguments.at("--seed").asLong());
  const auto seeds = static_cast<std::uint64_t>(arguments.at("--seeds").asLong());
  const double seconds = std::stod(arguments.at("--seconds").asString());
  int broken_plays = 0;
  for (std::uint64_t seed = first_seed; seed < first_seed + seeds; ++seed) {
    const std::string directory =
        fmt::format("{}/seed-{}", arguments.at("--logs").asString(), seed);
    std::filesystem::remove_all(directory);
    Play play({.daemon_program = arguments.at("--daemon").asString(),
               .directory = directory,
               .seed = seed,
               .length = FromSeconds(seconds)});
    const std::vector<Violation> violations = play.Run();
    fmt::print("seed {}: {}; {}\n", seed, play.Summary(),
               violations.empty() ? "ok" : fmt::format("{} broken", violations.size()));
    for (const Violation& violation : violations) {
      fmt::print("  {} (seed {}, daemon {}, request {}): {}\n{}", violation.rule, seed,
                 violation.daemon ? std::to_string(*violation.daemon) : std::string("-"),
                 violation.attempt == nullptr ? std::string("-") : violation.attempt->id,
                 violation.text, play.history().Timeline(violation));
    }
    if (violations.empty()) {
      std::filesystem::remove_all(directory);
    } else {
      ++broken_plays;
      fmt::print("  logs: {}\n", directory);
    }
    std::fflush(stdout);
  }
  return broken_plays == 0 ? 0 : 1;
}
