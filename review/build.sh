#!/bin/sh
# Builds the drivers of the cases, with their stand-ins, into target/review/. Needs only rustc.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/stand_ins/case_*.rs; do
    rustc --edition 2024 -O -o "target/review/$(basename "$source" .rs)" "$source"
done
