#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. Needs the Rust compiler only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/stand-in review/stand-in-3/main.rs
