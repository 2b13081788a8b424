#!/bin/sh
# Runs one case: run_case.sh NUMBER. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out.
number=$1
root=$(cd "$(dirname "$0")/../.." && pwd) || exit 2
cd "$root" || exit 2
program=review/build/case_$number
[ -x "$program" ] && [ -x build/copperpoint ] || { echo "cannot run: build first (deploy build, review/build.sh)"; exit 2; }
RIG_RUN=$(sed -n 's/^run = "\(.*\)".*$/\1/p' deploy/balancer.toml)
RIG_TMP=$(mktemp -d "${TMPDIR:-/tmp}/review-$number.XXXXXX") || exit 2
mkdir "$RIG_TMP/private" || exit 2
export RIG_RUN RIG_TMP
"$program" "review/$number/record.txt"
code=$?
rm -rf "$RIG_TMP"
case $code in 0 | 1 | 2) exit $code ;; *) exit 2 ;; esac
