#!/usr/bin/env bash
# Makes the committed code in src/generated from proto/ with Debian's protoc.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -I proto --cpp_out=src/generated proto/verbenahold.proto proto/serving.proto
