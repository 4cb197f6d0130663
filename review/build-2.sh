#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. Needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/stand-ins-2/main.rs
