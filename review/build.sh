#!/bin/sh
# Builds the stand-ins of the review's scripts; needs no package.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand-in review/stand-in/main.rs
