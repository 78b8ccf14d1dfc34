#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into review/build. Needs
# only packages that the deploy file names. The daemon itself comes from the
# build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/build
flags="-std=c++17 -O2 -Wall -Wextra -pthread -I."
for source in net platform client load; do
  g++ $flags -c "review/standin/$source.cc" -o "review/build/$source.o" &
done
wait
for source in review/*/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ $flags "$source" review/build/net.o review/build/platform.o review/build/client.o review/build/load.o -o "review/build/case$number" &
done
wait
for source in review/*/case.cc; do
  [ -x "review/build/case$(basename "$(dirname "$source")")" ]
done
