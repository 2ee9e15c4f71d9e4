#!/bin/sh
# A region that the store left unanswered for 9 s keeps an old config for 26 s.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/rig ] && [ -x target/release/monsooncove-platform ] || exit 2
exec target/review/rig silent-store review/3
