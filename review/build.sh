#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Run it from anywhere; the programs land under target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O2 -g0 -Wall -Wextra -pthread -Ireview/rig)
objects=()
for source in review/rig/*.cc; do
  object="$out/$(basename "$source" .cc).o"
  g++ "${flags[@]}" -c "$source" -o "$object"
  objects+=("$object")
done
for scenario in review/[1-5]/scenario.cc; do
  number=$(basename "$(dirname "$scenario")")
  g++ "${flags[@]}" "$scenario" "${objects[@]}" -o "$out/case$number"
done
