#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into build-review-3/: the project's
# own, by its build, and the programs of review/standin-3. Run it after the build
# of the deploy file. Installs nothing.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build-review-3
log=$(mktemp)
trap 'rm -f "$log"' EXIT
if ! { cmake -S . -B "$out" -G Ninja && cmake --build "$out" --target banyanloft_mesh_standins; } >"$log" 2>&1; then
  cat "$log"
  exit 1
fi
for name in heartbeat bodies trailers head; do
  g++ -std=c++17 -O2 -Wall -Wextra -I. -DBOOST_ALL_NO_LIB -D_WEBSOCKETPP_CPP11_STL_ \
    "review/standin-3/$name.cc" review/standin-3/fleet.cc review/standin-3/ledger.cc -o "$out/$name" \
    "$out/libbanyanloft_mesh_standins.a" "$out/libbanyanloft_platform.a" "$out/libbanyanloft.a" \
    -lfmt -lz -lsodium -lxxhash -lprometheus-cpp-core -lboost_program_options -pthread
done
