# Starts and stops fleets of processes. Source it after lib.sh.
SECRET=${SECRET:-a-secret-of-the-fleet}
FLEET_DIR=$(mktemp -d)
FLEET_PIDS=()

# wait_for SECONDS COMMAND...: retries the command until it succeeds or the time is over.
wait_for() {
  local tries=$(($1 * 20))
  shift
  local i
  for ((i = 0; i < tries; ++i)); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.05
  done
  echo "timed out waiting for: $*" >&2
  return 1
}

# start NAME COMMAND...: starts a process; writes its output to NAME.log and its id to NAME.pid.
start() {
  local name=$1
  shift
  "$@" >"$FLEET_DIR/$name.log" 2>&1 &
  echo $! >"$FLEET_DIR/$name.pid"
  FLEET_PIDS+=($!)
}

start_platform() {  # start_platform NAME
  start "$1" "$BUILD_DIR/platform_standin" --address-file "$FLEET_DIR/$1.addr"
  wait_for 10 test -s "$FLEET_DIR/$1.addr"
}

# start_instance NAME ZONE SERVICE PLATFORM [BACKEND FLAGS]: starts a backend server and its daemon.
start_instance() {
  local name=$1 zone=$2 service=$3 platform=$4
  shift 4
  start "$name-backend" "$BUILD_DIR/backend_standin" --service "$service" \
    --address-file "$FLEET_DIR/$name-backend.addr" --daemon-file "$FLEET_DIR/$name.addr" "$@"
  wait_for 10 test -s "$FLEET_DIR/$name-backend.addr"
  start_daemon "$name" "$zone" "$platform"
}

start_daemon() {  # start_daemon NAME ZONE PLATFORM
  rm -f "$FLEET_DIR/$1.addr"
  start "$1" "$BUILD_DIR/banyanloftd" --zone "$2" --secret "$SECRET" \
    --backend "$(cat "$FLEET_DIR/$1-backend.addr")" --platform "$(cat "$FLEET_DIR/$3.addr")" \
    --address-file "$FLEET_DIR/$1.addr"
}

# address_of NAME KIND: prints the caller, admin, link or gossip address of a daemon.
address_of() { awk -v kind="$2" '$1 == kind { print $2 }' "$FLEET_DIR/$1.addr"; }

# start_fleet DEPLOYMENT: starts the platform and all instances of samples/DEPLOYMENT.fleet.
start_fleet() {
  local deployment=$1 index=0 zone service
  start_platform "$deployment-platform"
  while read -r zone service; do
    case $zone in '#'* | '') continue ;; esac
    index=$((index + 1))
    start_instance "$deployment-$index" "$zone" "$service" "$deployment-platform" --seed "$index"
  done <"samples/$deployment.fleet"
  FLEET_SIZE=$index
  local i
  for ((i = 1; i <= index; ++i)); do wait_for 10 test -s "$FLEET_DIR/$deployment-$i.addr"; done
}

daemons_ready() {  # daemons_ready DEPLOYMENT COUNT
  local i
  for ((i = 1; i <= $2; ++i)); do
    curl -sf "http://$(address_of "$1-$i" admin)/readyz" >/dev/null || return 1
  done
}

# targets_ready DEPLOYMENT COUNT: succeeds if every daemon sees at least COUNT ready targets.
targets_ready() {
  local i
  for ((i = 1; i <= $2; ++i)); do
    local ready
    ready=$(curl -sf "http://$(address_of "$1-$i" admin)/status" | grep -c '"state": "ready"') || return 1
    [ "$ready" -ge "$2" ] || return 1
  done
}

callers_of() {  # callers_of DEPLOYMENT COUNT: caller addresses, separated by commas
  local list=""
  local i
  for ((i = 1; i <= $2; ++i)); do list="$list,$(address_of "$1-$i" caller)"; done
  echo "${list#,}"
}

metric_sum() {  # metric_sum DEPLOYMENT COUNT PATTERN: "label value" lines summed over the daemons
  local i
  for ((i = 1; i <= $2; ++i)); do
    curl -sf "http://$(address_of "$1-$i" admin)/metrics" || true
  done | grep -E "^banyanloft_($3)" | awk '{ sum[$1] += $2 } END { for (k in sum) print k, sum[k] }' | sort
}

stop_fleet() {
  for pid in "${FLEET_PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  local i
  for ((i = 0; i < 100; ++i)); do
    local alive=0
    for pid in "${FLEET_PIDS[@]}"; do kill -0 "$pid" 2>/dev/null && alive=1; done
    [ "$alive" = 0 ] && break
    sleep 0.05
  done
  for pid in "${FLEET_PIDS[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$FLEET_DIR"
}
trap stop_fleet EXIT
