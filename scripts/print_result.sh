#!/usr/bin/env bash
# Prints a result of verbenahold-load as a short table.
set -euo pipefail
jq -r '
  def ms: . * 1000 | round | tostring + " ms";
  "prompt length   requests   first token p50   p95",
  (.time_to_first_token_s | to_entries[] | select(.value.count > 0) |
    "\(.key)\t\t\(.value.count)\t   \(.value.p50 | ms)\t     \(.value.p95 | ms)"),
  "between tokens p95: \(.time_between_tokens_s.p95 | ms)",
  "requests: \(.requests | to_entries | map("\(.key) \(.value)") | join(", "))",
  "errors by code: \(.errors_by_code | if length == 0 then "none" else (to_entries | map("\(.key) \(.value)") | join(", ")) end)",
  "orders doubled: \(.orders.doubled), false \"not run\": \(.orders.wrong_ran_no), answered but not run: \(.orders.answered_but_not_run)"
' "$1"
