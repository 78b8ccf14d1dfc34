#!/usr/bin/env bash
# Case 6: connections of one machine are reset under load; a request that the daemon sends again
# must carry its body. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0: the same load without resets.
cd "$(dirname "$0")/../.." || exit 2
case_dir=$PWD/review/6
daemon=$PWD/target/banyanloft_sidecar
standin=$PWD/build/review-2/reset_case
[ -x "$daemon" ] && [ -x "$standin" ] || { echo "build the daemon and review/build-2.sh first" >&2; exit 2; }
dir=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$dir"
}
trap finish EXIT
for attempt in 1 2 3 4 5; do
  rm -f "$dir/ready"
  base=$((20000 + RANDOM % 10000))
  "$standin" "$dir" "$base" "${SECONDS_OF_LOAD:-66}" "${TROUBLE:-1}" "${SEED:-$RANDOM}" &
  run=$!
  pids+=("$run")
  for _ in $(seq 50); do
    [ -s "$dir/ready" ] && break
    kill -0 "$run" 2>/dev/null || break
    sleep 0.1
  done
  [ -s "$dir/ready" ] && break
  wait "$run"
done
[ -s "$dir/ready" ] || exit 2
for i in 0 1 2 3 4 5; do
  BANYANLOFT_SETTINGS="$dir/sidecar-$i.toml" "$daemon" >"$dir/daemon-$i.log" 2>&1 &
  pids+=($!)
done
wait "$run"
verdict=$?
[ "$verdict" -le 1 ] || verdict=2
cp "$dir/record.txt" "$case_dir/record.txt" || exit 2
tail -n 4 "$case_dir/record.txt"
exit "$verdict"
