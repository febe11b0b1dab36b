#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang-format clang-tidy curl
  qt6-base-dev qt6-httpserver-dev qt6-websockets-dev libzmq3-dev cppzmq-dev
  libprotobuf-dev protobuf-compiler libboost-dev libboost-program-options-dev
  liblog4cxx-dev catch2 libxxhash-dev openssl jq)
missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
  apt-get update -qq
  apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
