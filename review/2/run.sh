#!/bin/sh
# An upstream that left while its node was stopped is in use again.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/rig ] && [ -x target/release/monsooncove-platform ] || exit 2
exec target/review/rig left-server review/2
