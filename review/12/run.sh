#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
if [ ! -x target/release/monsooncove-platform ] || [ ! -x target/review-3/stand-in ]; then
    echo "build first: the command of deploy/system.toml, then review/build-3.sh" >&2
    exit 2
fi
timeout 118 target/review-3/stand-in empty-store review/12
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
