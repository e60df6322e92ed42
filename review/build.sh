#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Run it from anywhere; the programs land under target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O2 -g0 -Wall -Wextra -pthread -Ireview/rig)
g++ "${flags[@]}" -c review/rig/rig.cc -o "$out/rig.o"
for scenario in review/[1-5]/scenario.cc; do
  number=$(basename "$(dirname "$scenario")")
  g++ "${flags[@]}" "$scenario" "$out/rig.o" -o "$out/case$number"
done
