#!/usr/bin/env bash
# Convergence time and control overhead of a fleet of daemon processes (default:
# 150) that share one backend server: bytes, CPU time and memory per daemon,
# platform calls, and the time from the acceptance of a change until it is in force.
source "$(dirname "$0")/lib.sh"
seed=1 count=${FLEET:-150}
[ "${1:-}" = --seed ] && seed=$2
source scripts/fleet.sh
idle_s=30

start_platform platform
platform=$(cat "$FLEET_DIR/platform.addr")
start backend "$BUILD_DIR/backend_standin" --service catalogue --address-file "$FLEET_DIR/backend.addr"
wait_for 10 test -s "$FLEET_DIR/backend.addr"
"$BUILD_DIR/banyanloft" apply samples/arusha.json --platform "$platform" >/dev/null
for ((i = 1; i <= count; ++i)); do
  start "d-$i" "$BUILD_DIR/banyanloftd" --zone "zone-$((i % 7))" --secret "$SECRET" --backend "$(cat "$FLEET_DIR/backend.addr")" \
    --platform "$platform" --address-file "$FLEET_DIR/d-$i.addr" --expected-fleet "$count" --log-level warning
done
for ((i = 1; i <= count; ++i)); do wait_for 30 test -s "$FLEET_DIR/d-$i.addr"; done
admins=""
for ((i = 1; i <= count; ++i)); do admins="$admins,$(address_of d-$i admin)"; done
sleep 20
"$BUILD_DIR/fleet_probe" --platform "$platform" --daemons "${admins#,}" --quiet-s $idle_s --seed "$seed" --file samples/arusha.json
