#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start, into build/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/standin-2/*_case.cc; do
  name=$(basename "$source" .cc)
  g++ -std=c++17 -O2 -Wall -Wextra -pthread -I. -o "build/review-2/$name" \
    "$source" review/standin-2/net.cc review/standin-2/platform.cc
done
