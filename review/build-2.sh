#!/usr/bin/env bash
# Builds the stand-ins of the cases review/6 to review/10 into target/review-2/. The serving
# daemon is built before, as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-2/$(basename "$source" .cpp)"
done
