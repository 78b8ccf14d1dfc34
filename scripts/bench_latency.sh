#!/usr/bin/env bash
# Latency added by one and by two daemons compared with calling the backend server
# directly, at several rates. All processes run side by side on this machine.
source "$(dirname "$0")/lib.sh"
seed=1
[ "${1:-}" = --seed ] && seed=$2
source scripts/fleet.sh

start_platform platform
start_instance near zone-a catalogue platform --run-ms 0 --slots 200 --connections 1000
start_instance far zone-a pledges platform --run-ms 0 --slots 200 --connections 1000
for name in near far; do wait_for 10 test -s "$FLEET_DIR/$name.addr"; done
"$BUILD_DIR/banyanloft" apply samples/arusha.json --platform "$(cat "$FLEET_DIR/platform.addr")" >/dev/null
ready() { curl -sf "http://$(address_of "$1" admin)/status" | grep -c '"state": "ready"' | grep -q 2; }
wait_for 20 ready near
wait_for 20 ready far

cpu_of() { curl -s "http://$(address_of "$1" admin)/metrics" | awk '$1 == "banyanloft_process_cpu_seconds" { print $2 }'; }
# load ADDRESS PREFIX NAME RATE: sends calls for 4 s; prints "p50 p99 p999 served sent".
load() {
  "$BUILD_DIR/caller_standin" --daemons "$1" --prefix "$2" --mix "$3:$4" --seconds 4 --seed "$seed" --output json |
    sed 's/.*"p50_ms":\([0-9.e-]*\).*"p999_ms":\([0-9.e-]*\).*"p99_ms":\([0-9.e-]*\).*"sent":\([0-9]*\),"served":\([0-9]*\).*/\1 \3 \2 \5 \4/'
}
median() { sort -g | awk '{ v[NR] = $1 } END { print v[int((NR + 1) / 2)] }'; }

printf '%-8s %-14s %9s %9s %9s %8s\n' rate path 'p50 ms' 'p99 ms' 'p99.9 ms' served
highest1=0 highest2=0
for rate in 370 1000 2000 4000; do
  rm -f "$FLEET_DIR"/lat.*
  rounds=3
  cpu0=$(cpu_of near)
  calls=0
  for ((round = 0; round < rounds; ++round)); do
    load "$(cat "$FLEET_DIR/near-backend.addr")" /run/ catalogue-read $rate >>"$FLEET_DIR/lat.direct"
    load "$(address_of near caller)" /call/ orodha/soma $rate >>"$FLEET_DIR/lat.one"
    load "$(address_of far caller)" /call/ orodha/soma $rate >>"$FLEET_DIR/lat.two"
  done
  for path in direct one two; do
    {
      for column in 1 2 3; do awk -v c=$column '{ print $c }' "$FLEET_DIR/lat.$path" | median; done | tr '\n' ' '
      echo
    } | while read -r p50 p99 p999; do
      printf '%-8s %-14s %9.2f %9.2f %9.2f %8s\n' $rate "$path" "$p50" "$p99" "$p999" \
        "$(awk '{ s += $4; t += $5 } END { printf "%.4f", s / t }' "$FLEET_DIR/lat.$path")"
    done
  done
  added() {  # added PATH: median over the rounds of the latency added at p99
    paste -d' ' "$FLEET_DIR/lat.direct" "$FLEET_DIR/lat.$1" | awk '{ print $7 - $2 }' | median
  }
  one=$(added one) two=$(added two)
  printf '%-8s added at p99: one daemon %.2f ms, two daemons %.2f ms\n' $rate "$one" "$two"
  awk -v a="$one" 'BEGIN { exit !(a <= 1) }' && highest1=$rate
  awk -v a="$two" 'BEGIN { exit !(a <= 1) }' && highest2=$rate
  if [ $rate = 370 ]; then added1=$one added2=$two; fi
  if [ $rate = 4000 ]; then
    calls=$(awk '{ s += $4 } END { print s }' "$FLEET_DIR/lat.one" "$FLEET_DIR/lat.two")
    per_core=$(awk -v c="$calls" -v a="$cpu0" -v b="$(cpu_of near)" 'BEGIN { printf "%.0f", c / (b - a) }')
  fi
done
echo "calls per second and CPU core at the target's daemon, at 4000 calls/s: $per_core"
echo "{\"bench\":\"latency\",\"added_p99_ms_1\":$added1,\"added_p99_ms_2\":$added2,\"calls_per_core_s\":$per_core,\"highest_rate_1\":$highest1,\"highest_rate_2\":$highest2,\"rounds\":$rounds,\"seed\":$seed}"
