#!/bin/sh
# Plays this case. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
# TROUBLE=0 plays it without the disruption. Build first: the deploy file's command, then
# review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
for program in target/review-2/rig target/release/monsooncove-platform; do
    if [ ! -x "$program" ]; then
        echo "$program is missing; build first" >&2
        exit 2
    fi
done
timeout -k 2 115 target/review-2/rig departure "$here/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
