#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/stand-ins/case*.rs; do
    name=$(basename "$source" .rs)
    rustc --edition 2024 -O -A warnings "$source" -o "target/review/$name"
done
