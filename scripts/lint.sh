#!/usr/bin/env bash
# Checks formatting and runs clang-tidy on the sources. With --changed, only on
# files changed against HEAD. clang-tidy can't read gcc's precompiled headers,
# so it works from a configuration of its own, build-lint, that is never built.
#
# Most of clang-tidy's time goes into the library headers of each file, so
# files with the same flags are checked several at once, as one translation
# unit. Files with a main() are units of their own; other files whose local names
# clash are checked one by one.
set -euo pipefail
cd "$(dirname "$0")/.."
files_per_unit=6
changed=false
[ "${1:-}" = --changed ] && changed=true
cmake -S . -B build-lint -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON >/dev/null

list_sources() {
  if $changed; then
    { git diff --name-only --diff-filter=d HEAD; git ls-files -o --exclude-standard; } | sort -u
  else
    git ls-files -co --exclude-standard
  fi | grep -E '^(src|include|test|apps|platform)/.*\.(cpp|hpp)$' | grep -v '^src/generated/'
}

# Writes one file per unit, and a compilation database, to build-lint/units.
write_units() {
  local units=$PWD/build-lint/units
  rm -rf "$units"
  mkdir -p "$units"
  { list_sources || true; } | { grep -E '^(src|apps|platform)/.*\.cpp$' || true; } |
    jq -R -s --arg top "$PWD/" 'split("\n") | map(select(. != "") | $top + .)' >"$units/files.json"
  jq --slurpfile files "$units/files.json" --arg units "$units" --argjson size "$files_per_unit" \
    --arg mains '/(apps|src/programs)/|/main.cpp$' '
    map(select(.file as $file | $files[0] | index($file)))
    | unique_by(.file)
    | map(. + {flags: (.command | split(" -o ")[0])})
    | group_by([.flags, if .file | test($mains) then .file else "" end])
    | map([range(0; length; $size) as $from | .[$from:$from + $size]]) | add // []
    | to_entries
    | map({directory: .value[0].directory, sources: (.value | map(.file)),
           file: "\($units)/unit\(.key).cpp",
           command: "\(.value[0].flags) -c \($units)/unit\(.key).cpp"})
  ' build-lint/compile_commands.json >"$units/compile_commands.json"
  jq -r '.[] | .file as $unit | .sources[] | "\($unit) \(.)"' "$units/compile_commands.json" |
    while read -r unit source; do
      echo "#include \"$source\"  // NOLINT(bugprone-suspicious-include)" >>"$unit"
    done
}

# Checks one unit, or its files one by one if the unit does not compile.
check_unit() {
  local unit=$1 output
  local filter='(include/verbenahold|src/(core|io|routing|serving|standins|programs)|apps|platform)/.*\.(hpp|cpp)$'
  if output=$(clang-tidy -p build-lint/units --header-filter="$filter" --quiet "$unit" 2>/dev/null); then
    return 0
  fi
  if ! grep -q 'clang-diagnostic-error' <<<"$output"; then
    printf '%s\n' "$output"
    return 1
  fi
  sed -n 's/^#include "\(.*\)"  .*/\1/p' "$unit" | xargs -n 1 clang-tidy -p build-lint --quiet 2>/dev/null
}
export -f check_unit

{ list_sources || true; } | xargs -r clang-format --dry-run --Werror
write_units
find build-lint/units -name '*.cpp' | sort | xargs -r -P "$(nproc)" -I{} bash -c 'check_unit {}'
echo "lint: clean"
