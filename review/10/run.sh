#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
program=build/review-2/case-$(basename "$here")
[ -x "$program" ] && [ -x build/copperpoint ] || exit 2
exec "$program" "$here/record.txt"
