#!/bin/sh
# Builds the stand-ins and scripts of the review. Needs only the Rust toolchain.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/rig/main.rs -o target/review/rig
