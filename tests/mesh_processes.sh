#!/usr/bin/env bash
# Runs forwarding daemons as processes on loopback against a simulated platform:
# lost responses, a drain, a configuration change, a daemon killed and restarted,
# a planned stop. Ends only processes that it started.
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
# Sends a request for an unknown route. Other requests fail in the burst and by lost responses.
curl -s -o /dev/null -m 3 -H "Host: mesh.example" -H "X-Attempt-Id: probe-route" -H "X-Deadline-Ms: 2000" \
  "http://127.0.0.1:$((base_port + 11))/nowhere/1" || true
# Changes the settings file of one daemon, which must reload it without a signal. Later the file is
# made invalid and a reload requested by SIGHUP, which must be rejected.
sed -i 's/retry_budget_slack=[0-9]*/retry_budget_slack=41/' "$dir/sidecar-5.toml"
grep -q retry_budget_slack=41 "$dir/sidecar-5.toml" || { echo "FAIL the settings file contains no retry_budget_slack"; exit 1; }
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
grep -q drain_began "$dir/sidecar-4.log" || { echo "FAIL the planned stop is not logged"; exit 1; }
grep -q version_adopted "$dir/sidecar-0.log" || { echo "FAIL the adopted version is not logged"; exit 1; }
grep -q "settings_reloaded cause=changed .*retry_budget_slack [0-9]* to 41" "$dir/sidecar-5.log" ||
  { echo "FAIL changed settings are not in force:"; grep settings_ "$dir/sidecar-5.log"; exit 1; }
grep -q "settings_rejected cause=signal" "$dir/sidecar-5.log" || { echo "FAIL invalid settings are not rejected"; exit 1; }
echo "ok   changed settings are in force without a restart; invalid ones are rejected"
# The explain command must find the cause of each failure from the logs alone.
explains() {  # explains ID TEXT
  "$BUILD_DIR/banyanloft" explain "$1" "$dir"/sidecar-*.log >"$dir/explanation" || { echo "FAIL no explanation of $1"; exit 1; }
  grep -q "^cause: $2" "$dir/explanation" || { echo "FAIL the cause of $1 is not $2:"; tail -n 3 "$dir/explanation"; exit 1; }
  echo "ok   the logs explain $1: $2"
}
failed() {  # failed FIELDS: id of the first failed request whose log line has FIELDS
  grep -hm 1 "request_failed.*$1" "$dir"/sidecar-*.log | head -n 1 | sed 's/.* request=\([^ ]*\).*/\1/'
}
explains "$(failed 'error=overloaded')" overloaded
explains "$(failed 'error=backend_broken run_state=unknown')" backend_broken
explains probe-route unknown_route
echo "mesh processes: every promise held, seed $seed"
