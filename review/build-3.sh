#!/bin/sh
# Builds the stand-in that the scripts of review/11 and later start. Run it from the repository's root after
# the build of the deploy file; it needs the Rust compiler of the build and nothing else.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/cases review/stand-in-3/main.rs
