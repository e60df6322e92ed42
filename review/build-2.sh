#!/bin/sh
# Builds the scripts' programs, with their stand-ins, to target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -c -o target/review-2/json.o review/rig-2/json.cc
for source in review/*/case.cc; do
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -I review/rig-2 -o "target/review-2/case-$name" "$source" \
    target/review-2/json.o -pthread
done
