#!/bin/sh
# Builds the stand-ins of the second review, with the toolchain alone.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2
exec rustc --edition 2024 -O -o target/review-2/rig review/rig-2/main.rs
