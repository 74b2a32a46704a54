#!/usr/bin/env bash
# Formatter, linter and all tests; the same verdict on every run.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo fmt --all -- --check
cargo clippy --workspace --all-targets --locked -- -D warnings
cargo build --workspace --bins --locked
cargo test --workspace --locked
