#!/bin/sh
# Builds the stand-ins of the second review; needs the Rust compiler and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc -O --edition 2024 -o target/review-2/cases review/stand-in-2/main.rs
