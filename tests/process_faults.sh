#!/usr/bin/env bash
# Injects faults into a fleet of processes: drain, kill, freeze, restart, platform
# outages, lost responses and invalid calls. Prints a line per check.
source "$(dirname "$0")/../scripts/lib.sh"
source scripts/fleet.sh
failures=0
size=0

check() {  # check NAME COMMAND...
  local name=$1
  shift
  if "$@"; then echo "ok   $name"; else echo "FAIL $name"; failures=$((failures + 1)); fi
}

pid_of() { cat "$FLEET_DIR/$1.pid"; }
caller() { address_of "arusha-$1" caller; }
admin() { address_of "arusha-$1" admin; }
platform() { cat "$FLEET_DIR/arusha-platform.addr"; }
fault() { curl -sf "http://$(platform)/faults?mode=$1" >/dev/null; }
operator() { "$BUILD_DIR/banyanloft" "$@" --platform "$(platform)"; }
version_of() { curl -s "http://$(admin "$1")/metrics" | awk '$1 == "banyanloft_version_in_force" { print $2 }'; }
header() { tr -d '\r' | awk -v name="$1:" 'tolower($1) == tolower(name) { print $2; exit }'; }
take_key() { curl -s -X POST "http://$(caller "$1")/keys/pledge-register" | head -1; }
send_key() { curl -s -i -m 10 -H "Banyanloft-Key: $2" -d "$3" "http://$(caller "$1")/call/pledge-register"; }
runs_of() { cat "$FLEET_DIR"/ledger 2>/dev/null | grep -c " $1 " || true; }
all_at() { local i; for ((i = 1; i <= size; ++i)); do [ "$(version_of $i)" = "$1" ] || return 1; done; }

start_platform arusha-platform
while read -r zone service; do
  case $zone in '#'* | '') continue ;; esac
  size=$((size + 1))
  start_instance "arusha-$size" "$zone" "$service" arusha-platform --seed $size --ledger "$FLEET_DIR/ledger" --run-ms 20
done <samples/arusha.fleet
for ((i = 1; i <= size; ++i)); do wait_for 10 test -s "$FLEET_DIR/arusha-$i.addr"; done
operator apply samples/arusha.json >/dev/null
wait_for 20 daemons_ready arusha $size
wait_for 20 targets_ready arusha $size

# -- The caller interface.
status() { curl -s -o /dev/null -m 10 -w '%{http_code}' "$@"; }
check "malformed path is refused with 400" test "$(status -d x "http://$(caller 1)/nothing")" = 400
check "unknown name is refused with 404" test "$(status -d x "http://$(caller 1)/call/no.such")" = 404
check "bad timeout is refused with 400" test "$(status -d x -H 'Banyanloft-Timeout-Ms: soon' "http://$(caller 1)/call/orodha/soma")" = 400
head -c 2000000 /dev/zero >"$FLEET_DIR/big"
check "oversized body is refused with 413" test "$(status --data-binary "@$FLEET_DIR/big" "http://$(caller 1)/call/orodha/soma")" = 413
check "missing key is refused with 428" test "$(status -d x "http://$(caller 1)/call/pledge-register")" = 428
check "a large response arrives complete" test "$(head -c 900000 /dev/zero | tr '\0' z | curl -s --data-binary @- "http://$(caller 1)/call/orodha/soma" | wc -c)" -gt 900000

# -- A keyed call whose home daemon is killed and restarted.
key=$(take_key 1)
check "a keyed call runs" test "$(send_key 2 "$key" pledge-1 | header Banyanloft-Run)" = ran
check "a repeated call through another daemon gets the same outcome" test "$(send_key 5 "$key" pledge-1 | header Banyanloft-Run)" = ran
check "the key ran once" test "$(runs_of "$key")" = 1
home=$(echo "$key" | cut -d. -f2)
victim=0
for ((i = 1; i <= size; ++i)); do
  curl -s "http://$(admin $i)/status" | grep -m1 '"id"' | grep -q "$home" && victim=$i
done
for ((i = 1; i <= size; ++i)); do
  id=$(curl -s "http://$(admin $i)/status" | sed -n 's/^  "id": "\(.*\)",/\1/p')
  [ "$id" = "$home" ] && victim=$i
done
zone=$(curl -s "http://$(admin $victim)/status" | sed -n 's/^  "zone": "\(.*\)"$/\1/p')
other=$((victim % size + 1))
kill -KILL "$(pid_of arusha-$victim)"
check "with its home daemon killed the outcome is unknown" test "$(send_key $other "$key" pledge-1 | header Banyanloft-Run)" = unknown
start_daemon "arusha-$victim" "$zone" arusha-platform
wait_for 10 test -s "$FLEET_DIR/arusha-$victim.addr"
wait_for 20 daemons_ready arusha $size
check "after the restart of the home daemon the outcome is unknown" test "$(send_key $other "$key" pledge-1 | header Banyanloft-Run)" = unknown
check "the key did not run again" test "$(runs_of "$key")" = 1
wait_for 20 targets_ready arusha $size

# -- A frozen home daemon: the outcome is reported as unknown, and the key runs at most once.
key=$(take_key 3)
home=$(echo "$key" | cut -d. -f2)
for ((i = 1; i <= size; ++i)); do
  id=$(curl -s "http://$(admin $i)/status" | sed -n 's/^  "id": "\(.*\)",/\1/p')
  [ "$id" = "$home" ] && victim=$i
done
other=$((victim % size + 1))
kill -STOP "$(pid_of arusha-$victim)"
check "with its home daemon frozen the outcome is unknown" test "$(send_key $other "$key" pledge-2 | header Banyanloft-Run)" = unknown
served=0
for ((i = 0; i < 40; ++i)); do
  [ "$(status -d x "http://$(caller $other)/call/donor.pledges/lookup")" = 200 ] && served=$((served + 1))
done
check "idempotent lookups are served while a daemon is frozen ($served of 40)" test "$served" -ge 39
kill -CONT "$(pid_of arusha-$victim)"
sleep 1
answer=$(send_key $other "$key" pledge-2 | header Banyanloft-Run)
check "after the thaw the key ran at most once ($answer)" test "$(runs_of "$key")" -le 1
[ "$answer" = not_run ] && check "an outcome reported as not run is true" test "$(runs_of "$key")" = 0

# -- A planned stop loses no request.
"$BUILD_DIR/caller_standin" --daemons "$(caller 1),$(caller 2),$(caller 4)" --seconds 6 --output json \
  --mix 'orodha/soma:150,ahadi/andika:40:key' >"$FLEET_DIR/drain.json" &
load=$!
sleep 1.5
kill -TERM "$(pid_of arusha-7)"
sleep 1.5
kill -TERM "$(pid_of arusha-8-backend)"
wait $load && complete=yes || complete=no
check "every response during a planned stop is complete" test "$complete" = yes
check "a planned stop loses no request ($(grep -o '"refused":{[^}]*}' "$FLEET_DIR/drain.json" | tr '\n' ' '))" \
  grep -q '"refused":{}.*"refused":{}' "$FLEET_DIR/drain.json"
check "the stopped daemon has exited" wait_for 10 bash -c "! kill -0 $(pid_of arusha-7) 2>/dev/null"

# -- Configuration changes with outages, lost responses and races.
size=6
wait_for 10 all_at 1
sed 's/"timeout_ms": 4000/"timeout_ms": 4100/' samples/arusha.json >"$FLEET_DIR/two.json"
fault lose
operator apply "$FLEET_DIR/two.json" >"$FLEET_DIR/lost.log" 2>&1 &
applying=$!
sleep 4
fault ok
wait $applying && accepted=yes || accepted=no
check "a write whose response was lost is recognised as accepted" test "$accepted" = yes
check "the write created one version" wait_for 5 all_at 2
fault out
check "calls are served while the platform is unavailable" test "$(status -d x "http://$(caller 1)/call/orodha/soma")" = 200
check "the operator command reports that the platform is unavailable" test "$(operator status >/dev/null 2>&1; echo $?)" = 6
fault ok
for n in 1 2 3; do
  sed "s/\"timeout_ms\": 4000/\"timeout_ms\": 42$n/" samples/arusha.json >"$FLEET_DIR/race$n.json"
  (operator apply "$FLEET_DIR/race$n.json" >/dev/null 2>"$FLEET_DIR/race$n.log" && echo 0 >"$FLEET_DIR/race$n.rc" ||
    echo $? >"$FLEET_DIR/race$n.rc") &
done
wait_for 10 test -s "$FLEET_DIR/race1.rc" -a -s "$FLEET_DIR/race2.rc" -a -s "$FLEET_DIR/race3.rc"
accepted=$(cat "$FLEET_DIR"/race?.rc | grep -c '^0$')
newest=$((2 + accepted))
check "concurrent changes are each accepted or rejected with a conflict ($accepted accepted)" \
  test "$(cat "$FLEET_DIR"/race?.rc | grep -cE '^(0|4)$')" = 3
check "the newest version is in force everywhere" wait_for 8 all_at $newest
operator rollback 1 >/dev/null
check "a rollback creates a new version" wait_for 8 all_at $((newest + 1))
check "an invalid configuration is rejected with exit status 3" test "$(sed 's/"service": "pledges"/"service": "pledge"/' samples/arusha.json >"$FLEET_DIR/bad.json"; operator apply "$FLEET_DIR/bad.json" >/dev/null 2>&1; echo $?)" = 3

echo "$failures failed"
[ "$failures" = 0 ]
