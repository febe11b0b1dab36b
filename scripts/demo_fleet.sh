# Functions that start a deployment on loopback for the demo. Sourced, not run.
# Every process is ended by stop_fleet, by its own process id.

fleet_pids=()
fleet_folder=$(mktemp -d)
operator_key=demo-operator-key
export VERBENAHOLD_OPERATOR_KEY=$operator_key

sha256() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }

# Starts a program in the background and waits for its ready line, which it
# leaves in $ready_line: start NAME PROGRAM FLAGS...
start() {
  local name=$1 program=$2
  shift 2
  "$bin/$program" "$@" >"$fleet_folder/$name.out" 2>"$fleet_folder/$name.log" &
  fleet_pids+=($!)
  local pid=$!
  for _ in $(seq 200); do
    ready_line=$(head -n 1 "$fleet_folder/$name.out" 2>/dev/null || true)
    [ -n "$ready_line" ] && return 0
    kill -0 "$pid" 2>/dev/null || break
    sleep 0.05
  done
  echo "$program did not start:" >&2
  cat "$fleet_folder/$name.log" >&2
  return 1
}

# The value of a field of the ready line.
ready_field() { sed -n "s/.*\"$1\":\"\([^\"]*\)\".*/\1/p" <<<"$ready_line"; }

register_host() { curl -fsS -X PUT -H 'Content-Type: application/json' -d "$2" "http://$platform/v1/hosts/$1" >/dev/null; }

start_platform() {
  start platform fake-platform
  platform=$(ready_field listening)
}

# start_engine HOST ZONE SERVICE FLAGS...
start_engine() {
  local host=$1 zone=$2 service=$3
  shift 3
  start "$host" fake-engine "$@"
  register_host "$host" "{\"host\":\"$host\",\"zone\":\"$zone\",\"role\":\"backend\",\"state\":\"live\",\"service\":\"$service\",\"server_endpoint\":\"$(ready_field listening)\"}"
}

# start_service HOST ZONE SERVICE
start_service() {
  start "$1" fake-service
  register_host "$1" "{\"host\":\"$1\",\"zone\":\"$2\",\"role\":\"backend\",\"state\":\"live\",\"service\":\"$3\",\"server_endpoint\":\"$(ready_field listening)\"}"
  service_addresses+=("$(ready_field listening)")
}

# start_entry HOST ZONE
start_entry() {
  start "$1" verbenahold-entry --platform-url "http://$platform" --host "$1" --zone "$2"
  register_host "$1" "{\"host\":\"$1\",\"zone\":\"$2\",\"role\":\"entry\",\"state\":\"live\",\"peer_endpoint\":\"$(ready_field peer)\",\"caller_endpoint\":\"$(ready_field caller)\"}"
  entries+=("$(ready_field caller)")
}

start_control() {
  start "$1" verbenahold-control --platform-url "http://$platform" --host "$1" --zone zone-a --operator-key-sha256 "$(sha256 "$operator_key")"
  control=$(ready_field operator)
  [ -n "$control" ] || control=$(ready_field listening)
  export VERBENAHOLD_CONTROL="http://$control"
}

# Waits until every entry says that it takes work.
wait_until_ready() {
  for entry in "${entries[@]}"; do
    for _ in $(seq 300); do
      curl -fsS "http://$entry/readyz" >/dev/null 2>&1 && break
      sleep 0.1
    done
  done
}

stop_fleet() {
  [ -z "${KEEP_LOGS:-}" ] || cp "$fleet_folder"/*.log "$KEEP_LOGS"/
  for pid in "${fleet_pids[@]}"; do
    kill -9 "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$fleet_folder"
}
