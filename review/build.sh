#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review, with the compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -g -Wall -Wextra -pthread)
g++ "${flags[@]}" -c review/standins/standins.cpp -o target/review/standins.o
for source in review/standins/*.cpp; do
  name=$(basename "$source" .cpp)
  [ "$name" = standins ] && continue
  g++ "${flags[@]}" "$source" target/review/standins.o -o "target/review/$name"
done
