#!/usr/bin/env bash
# Installs, builds, starts three zones of entries and small workers on
# loopback, runs a mixed load, takes a zone out and back, prints a short table
# and ends by itself. Ends every process that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build
bin=build/bin
seconds=${DEMO_SECONDS:-45}
entries=()
service_addresses=()
# shellcheck source=scripts/demo_fleet.sh
. scripts/demo_fleet.sh
trap stop_fleet EXIT

echo "starting a platform, three zones of one entry, three engines and one plain service each, and control"
start_platform
for zone in a b c; do
  for i in 1 2 3; do start_engine "engine-$zone$i" "zone-$zone" demo-llm; done
  start_service "shop-$zone" "zone-$zone" demo-shop
  start_entry "entry-$zone" "zone-$zone"
done
start_control control-a

cat >"$fleet_folder/records.json" <<RECORDS
[{"kind":"service","name":"demo-llm","schema_version":2,"spec":{"type":"model","model":"demo","model_version":"1",
  "cold_capacity":2,"warm_capacity":16,"kv_capacity_tokens":400000,"default_deadline_ms":60000}},
 {"kind":"service","name":"demo-shop","schema_version":2,"spec":{"type":"plain","cold_capacity":8,"warm_capacity":64}},
 {"kind":"client_account","name":"demo","schema_version":2,"spec":{"key_hashes":["$(sha256 demo-key)"],"tokens_per_second":2000000,"burst_tokens":20000000,"weight":1}}]
RECORDS
"$bin/verbenactl" apply "$fleet_folder/records.json"
wait_until_ready
"$bin/verbenactl" status

flags=()
for entry in "${entries[@]}"; do flags+=(--entry "$entry"); done
for address in "${service_addresses[@]}"; do flags+=(--service-address "$address"); done
third=$((seconds / 3))
echo "running a mixed load for $seconds s; zone-b goes out after $third s and returns after $((2 * third)) s"
# Requests answered so far, over all entries.
count_answered() {
  for entry in "${entries[@]}"; do curl -fsS "http://$entry/metrics"; done |
    awk '/^verbenahold_requests_answered_total/ { sum += $2 } END { print sum + 0 }'
}

"$bin/verbenahold-load" "${flags[@]}" --zone zone-a --account demo-key --model demo-llm --service demo-shop \
  --rate 3 --duration-s "$seconds" --seed 7 --length-cap 500000 --control "$control" --operator-key "$operator_key" \
  --zone-event "$third:zone-b:out" --zone-event "$((2 * third)):zone-b:in" \
  --json "$fleet_folder/result.json" --svg "${DEMO_PICTURE:-build/demo.svg}" &
load=$!
while kill -0 "$load" 2>/dev/null; do
  sleep 5
  echo "  answered so far: $(count_answered)"
done
wait "$load"
scripts/print_result.sh "$fleet_folder/result.json"
echo "picture: ${DEMO_PICTURE:-build/demo.svg}"
