#!/usr/bin/env bash
# Plays the soak for several seeds, one after the other: real daemons under faults from
# outside. Ends with 1 if any run broke a rule. Settings, logs and cases of failing runs stay
# in the folder.
#
#   scripts/soak.sh [--seeds FIRST-LAST] [--hosts N] [--faults a,b,c|mix|all|none] [--folder PATH]
#                   [--daemon PATH] [--build FOLDER] [further options of the program soak]
set -euo pipefail
cd "$(dirname "$0")/.."
seeds=1-50 hosts=9 faults=mix build=build folder='' daemon=''
rest=()
while [ $# -gt 0 ]; do
  case $1 in
    --seeds) seeds=$2 ;;
    --hosts) hosts=$2 ;;
    --faults) faults=$2 ;;
    --folder) folder=$2 ;;
    --daemon) daemon=$2 ;;
    --build) build=$2 ;;
    --help)
      sed -n '2,7s/^# \{0,1\}//p' "$0"
      "$build/bin/soak" --help || true
      exit 0
      ;;
    *) rest+=("$1" "$2") ;;
  esac
  shift 2
done
folder=${folder:-$build/soak}
daemon=${daemon:-$build/bin/verbenahold-serve}
failed=()
for seed in $(seq "${seeds%-*}" "${seeds#*-}"); do
  run=$folder/$hosts-$faults-$seed
  rm -rf "$run"
  mkdir -p "$run"
  if timeout -s KILL 900 "$build/bin/soak" --daemon "$daemon" --folder "$run" --seed "$seed" --hosts "$hosts" \
    --faults "$faults" "${rest[@]}" >"$run/out.txt" 2>&1; then
    result=held
    rm -rf "$run"/*.log
  else
    result="BROKEN: $(grep -E '^(BROKEN|soak:|nothing)' "$run/out.txt" | tr '\n' ' ')"
    failed+=("$seed")
  fi
  echo "seed $seed, $hosts hosts, $faults: $result"
done
[ ${#failed[@]} -eq 0 ] || { echo "failed seeds: ${failed[*]}; see $folder" && exit 1; }
