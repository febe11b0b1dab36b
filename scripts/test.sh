#!/usr/bin/env bash
# Installs, builds, lints and tests everything. Tests listed in KNOWN-RED.txt
# are run and printed but do not decide the result.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build
cmake -S . -B build-sanitize -G Ninja -DVERBENAHOLD_SANITIZE=ON -DVERBENAHOLD_CORE_ONLY=ON >/dev/null
cmake --build build-sanitize
scripts/lint.sh

# The first field of an entry in KNOWN-RED.txt is "test: NAME".
known_red=$(sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | sed 's/[][().*+?^$|\\]/\\&/g' | paste -sd'|' -)
exclude=()
if [ -n "$known_red" ]; then
  echo "known red, not deciding the result:"
  ctest --test-dir build --output-on-failure -R "^($known_red)\$" || true
  exclude=(-E "^($known_red)\$")
fi
ctest --test-dir build-sanitize --output-on-failure -j "$(nproc)" "${exclude[@]}"
ctest --test-dir build --output-on-failure -j "$(nproc)" "${exclude[@]}"
