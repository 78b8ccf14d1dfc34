#!/usr/bin/env bash
# Forwarding daemons as real processes on loopback, around the stand-in of the
# users' platform: lost answers, a drain, a change of the configuration, a daemon
# killed and started again, a planned stop. Ends only what it started.
source "$(dirname "$0")/../scripts/lib.sh"
seed=${SEED:-1}
daemons=${DAEMONS:-8}
seconds=${SECONDS_OF_LOAD:-12}
base_port=${BASE_PORT:-21000}
dir=$(mktemp -d)
finish() {
  for pid in $(jobs -p); do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$dir"
}
trap finish EXIT

start_daemon() {
  "$BUILD_DIR/banyanloft_sidecar" "$dir/sidecar-$1.toml" >>"$dir/sidecar-$1.log" 2>&1 &
  daemon_pids[$1]=$!
}

"$BUILD_DIR/mesh_standin" --dir "$dir" --daemons "$daemons" --seconds "$seconds" --seed "$seed" \
  --base-port "$base_port" &
standin=$!
for _ in $(seq 100); do [ -s "$dir/ready" ] && break; sleep 0.1; done
declare -A daemon_pids
for ((i = 0; i < daemons; ++i)); do start_daemon $i; done

sleep 6
kill -KILL "${daemon_pids[2]}"
sleep 0.5
start_daemon 2
sleep 2
kill -TERM "${daemon_pids[4]}"
verdict=0
wait "$standin" || verdict=1
if [ "$verdict" != 0 ]; then
  echo "seed $seed failed; the last lines of the daemons:"
  tail -n 5 "$dir"/sidecar-*.log
  exit 1
fi
grep -q drain_began "$dir/sidecar-4.log" || { echo "FAIL the planned stop is logged"; exit 1; }
grep -q version_adopted "$dir/sidecar-0.log" || { echo "FAIL the adopted version is logged"; exit 1; }
echo "mesh processes: every promise held, seed $seed"
