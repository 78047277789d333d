#!/usr/bin/env bash
# Builds the stand-ins of the cases with the standard library alone, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.rs; do
    name=$(basename "$(dirname "$source")")
    rustc --edition 2021 -O -o "target/review/case-$name" "$source"
done
