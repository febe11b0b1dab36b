#!/usr/bin/env bash
# Writes docs/settings.md from the programs' --help. With --check, compares
# instead and fails if the page has drifted. Usage:
# scripts/settings_doc.sh [--check] [FOLDER OF PROGRAMS]
set -euo pipefail
cd "$(dirname "$0")/.."
check=false
[ "${1:-}" = --check ] && { check=true; shift; }
programs=${1:-build/bin}

print_page() {
  cat <<'TEXT'
# Settings

Made by `scripts/settings_doc.sh` from each program's `--help`; a test checks that it has not drifted. Those of the first three programs can also be given by environment variables; `--print-config` checks them, prints them without secrets and ends.
TEXT
  for program in verbenahold-entry verbenahold-control verbenactl verbenahold-load; do
    printf '\n## %s\n\n```text\n' "$program"
    "$programs/$program" --help
    printf '```\n'
  done
}

if $check; then
  print_page | diff -u docs/settings.md - || {
    echo "docs/settings.md has drifted; run scripts/settings_doc.sh" >&2
    exit 1
  }
else
  print_page >docs/settings.md
fi
