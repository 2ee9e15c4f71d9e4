#!/bin/sh
# A planned stop ends requests before the grace allows.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/rig ] && [ -x target/release/monsooncove-platform ] || exit 2
exec target/review/rig stop review/5
