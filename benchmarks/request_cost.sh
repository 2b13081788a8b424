#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
#
# Measures the instructions that `serve` executes per request, for one or more programs, with callgrind. The result is
# the difference of the instructions of two rig runs at different rates, divided by the difference of their requests, so
# that the cost of starting and idling cancels out.
#
#   benchmarks/request_cost.sh RIG PROGRAM [PROGRAM...]
#
# RIG is the program that runs the rig. A PROGRAM may be built from an earlier commit of this repository.
set -euo pipefail
rig=$(realpath "$1")
shift
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Prints the instructions and the number of requests of one run at RATE requests per second.
count() {  # PROGRAM RATE
  cat >"$work/plan.toml" <<PLAN
members = 1
zones = 1
seeds = 1
length_s = 34
[service]
rate = $2
[[fault]]
kind = "replace"
at_s = 0
who = ["all"]
[[fault]]
kind = "leave"
at_s = 28
who = ["all"]
[[property]]
kind = "served_at_least"
bound = 0.5
PLAN
  cat >"$work/under" <<WRAP
#!/bin/sh
exec valgrind --tool=callgrind --callgrind-out-file=$work/out.%p "$1" "\$@"
WRAP
  chmod +x "$work/under"
  rm -f "$work"/out.*
  "$rig" rig run "$work/plan.toml" --alone --other "$work/under" --json "$work/run.json" >"$work/told" || true
  local instructions requests
  instructions=$(sed -n 's/^\(totals\|summary\): //p' "$work"/out.* | head -n 1)
  requests=$(sed -n 's/^ "requests": \([0-9]*\).*/\1/p' "$work/run.json")
  [[ -n $instructions && -n $requests ]] || { cat "$work/told" >&2; exit 1; }
  echo "$instructions $requests"
}

for program in "$@"; do
  program=$(realpath "$program")
  read -r few few_requests <<<"$(count "$program" 20)"
  read -r many many_requests <<<"$(count "$program" 120)"
  awk -v p="$program" -v i=$((many - few)) -v r=$((many_requests - few_requests)) \
    'BEGIN { printf "%s: %.0f instructions per request (%d requests)\n", p, i / r, r }'
done
