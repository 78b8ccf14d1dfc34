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
  --base-port "$base_port" --burst 1500 &
standin=$!
for _ in $(seq 100); do [ -s "$dir/ready" ] && break; sleep 0.1; done
declare -A daemon_pids
for ((i = 0; i < daemons; ++i)); do start_daemon $i; done

sleep 6
# Beside what fails in the burst and by lost answers: a request for a route that is not there.
curl -s -o /dev/null -m 3 -H "Host: mesh.example" -H "X-Attempt-Id: probe-route" -H "X-Deadline-Ms: 2000" \
  "http://127.0.0.1:$((base_port + 11))/nowhere/1" || true
# The settings file of one daemon is replaced: noticed without a signal. Then rubbish, by SIGHUP.
sed -i 's/retry_budget_slack=[0-9]*/retry_budget_slack=41/' "$dir/sidecar-5.toml"
grep -q retry_budget_slack=41 "$dir/sidecar-5.toml" || { echo "FAIL the settings name no budget"; exit 1; }
kill -KILL "${daemon_pids[2]}"
sleep 0.5
start_daemon 2
sleep 2
echo "[[[" >"$dir/sidecar-5.toml"
kill -HUP "${daemon_pids[5]}"
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
grep -q "settings_reloaded cause=changed .*retry_budget_slack [0-9]* to 41" "$dir/sidecar-5.log" ||
  { echo "FAIL changed settings come in force:"; grep settings_ "$dir/sidecar-5.log"; exit 1; }
grep -q "settings_rejected cause=signal" "$dir/sidecar-5.log" || { echo "FAIL bad settings are rejected"; exit 1; }
echo "ok   settings come in force without a restart; bad ones are rejected"
# The command finds each cause by the logs alone.
explains() {  # explains ID TEXT
  "$BUILD_DIR/banyanloft" explain "$1" "$dir"/sidecar-*.log >"$dir/story" || { echo "FAIL no story of $1"; exit 1; }
  grep -q "^cause: $2" "$dir/story" || { echo "FAIL the cause of $1 is not $2:"; tail -n 3 "$dir/story"; exit 1; }
  echo "ok   the logs explain $1: $2"
}
failed() {  # failed FIELDS: the first request that failed so
  grep -hm 1 "request_failed.*$1" "$dir"/sidecar-*.log | head -n 1 | sed 's/.* request=\([^ ]*\).*/\1/'
}
explains "$(failed 'error=overloaded')" overloaded
explains "$(failed 'error=backend_broken run_state=unknown')" backend_broken
explains probe-route unknown_route
echo "mesh processes: every promise held, seed $seed"
