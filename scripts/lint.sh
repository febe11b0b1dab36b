#!/usr/bin/env bash
# Checks formatting and runs clang-tidy on the sources. With --changed, only on
# files changed against HEAD. clang-tidy can't read gcc's precompiled headers,
# so it works from a configuration of its own, build-lint, that is never built.
set -euo pipefail
cd "$(dirname "$0")/.."
changed=false
[ "${1:-}" = --changed ] && changed=true
cmake -S . -B build-lint -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON >/dev/null

list_sources() {
  if $changed; then
    { git diff --name-only --diff-filter=d HEAD; git ls-files -o --exclude-standard; } | sort -u
  else
    git ls-files -co --exclude-standard
  fi | grep -E '^(src|include|test|apps)/.*\.(cpp|hpp)$' | grep -v '^src/generated/'
}

{ list_sources || true; } | xargs -r clang-format --dry-run --Werror
# With --changed there may be no such source, which is no fault.
{ list_sources | grep -E '^(src|apps)/.*\.cpp$' || true; } | xargs -r -P "$(nproc)" -n 1 clang-tidy -p build-lint --quiet 2>/dev/null
echo "lint: clean"
