#!/bin/sh
# Builds the stand-ins of the cases 4 to 8, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
rustc --edition 2024 -O review/stand-ins-2/rig.rs -o target/review-2-rig
