# Common functions of the scripts in this folder, which source it.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
BUILD_DIR=${BUILD_DIR:-build}

PACKAGES="g++ cmake ninja-build ccache clang clang-format clang-tidy libclang-rt-14-dev pkg-config \
libboost-dev libboost-program-options-dev libwebsocketpp-dev prometheus-cpp-dev libfmt-dev \
libcpputest-dev librapidcheck-dev libxxhash-dev nlohmann-json3-dev libtomlplusplus-dev libsodium-dev zlib1g-dev spin gcc curl ca-certificates"

# Installs the packages that the build and the tests need, unless all are installed.
install_packages() {
  local missing=0
  for package in $PACKAGES; do
    dpkg -s "$package" 2>/dev/null | grep -q '^Status: install ok' || missing=1
  done
  [ "$missing" = 0 ] && return 0
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends $PACKAGES >/dev/null
}

# Configures and builds all targets; prints the output only on failure.
build_all() {
  local log
  log=$(mktemp)
  if ! { cmake -S . -B "$BUILD_DIR" -G Ninja "$@" && ninja -C "$BUILD_DIR"; } >"$log" 2>&1; then
    cat "$log"
    rm -f "$log"
    return 1
  fi
  rm -f "$log"
}
