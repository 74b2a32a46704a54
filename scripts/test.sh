#!/usr/bin/env bash
# Formatter, linter and all tests; the same verdict on every run.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo fmt --all -- --check
cargo clippy --workspace --all-targets --locked -- -D warnings
cargo build --workspace --bins --locked
# Tests that always fail for a known fault; KNOWN-RED.txt says why.
skip=()
for name in $(sed -n 's/^passed over: \([a-z0-9_:]*\);.*/\1/p' KNOWN-RED.txt); do
  echo "known red, passed over: $name"
  skip+=(--skip "$name")
done
cargo test --workspace --locked -- "${skip[@]}"
