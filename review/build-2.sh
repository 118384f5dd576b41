#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into build-review-2/. The daemon is
# built by the line `build` of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-review-2 -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build-review-2 -j "$(nproc)" --target standin-platform
mkdir -p build-review-2/review
for source in review/{6,7,8,9,10}/*.cc; do
  [ -f "$source" ] || continue
  g++ -std=c++17 -O2 -Wall -Wextra -pthread "$source" \
    -o "build-review-2/review/$(basename "$source" .cc)"
done
