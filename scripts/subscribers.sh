#!/usr/bin/env bash
# Processor time, memory and bytes of one control replica per subscriber, for
# docs/CAPACITY.md. Prints one line per number of nodes.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked -p control -p load
bin=$PWD/${CARGO_TARGET_DIR:-target}/release
seconds=${1:-10}

folder=$(mktemp -d)
pid=
cleanup() { [ -z "$pid" ] || kill "$pid" 2>/dev/null || true; wait 2>/dev/null || true; rm -rf "$folder"; }
trap cleanup EXIT
address=127.0.0.1:29871
od -An -N32 -tx1 /dev/urandom | tr -d ' \n' >"$folder/key.hex"
cat >"$folder/control.jsonc" <<JSON
{ "id": 1, "host": "control-1", "centre": "dc-1", "listen": "$address", "folder": "$folder/data",
  "key_file": "$folder/key.hex", "peers": [{ "id": 1, "address": "$address" }] }
JSON
ulimit -n "$(ulimit -Hn)"
ticks() { awk '{ print $14 + $15 }' "/proc/$pid/stat"; }
memory() { awk '/VmRSS/ { print $2 }' "/proc/$pid/status"; }
hertz=$(getconf CLK_TCK)
for nodes in 10 100 1000 3000; do
    "$bin/control" --settings "$folder/control.jsonc" >"$folder/log" 2>&1 &
    pid=$!
    for try in $(seq 100); do grep -q '"msg":"ready"' "$folder/log" && break; sleep 0.05; done
    before=$(ticks)
    "$bin/load" subscribers --control "$address" --key "$folder/key.hex" --nodes "$nodes" \
        --seconds "$seconds" >"$folder/out" &
    load=$!
    sleep "$((seconds / 2))"
    resident=$(memory)
    wait "$load"
    spent=$(( $(ticks) - before ))
    echo "$(cat "$folder/out") control_cpu_ms $((spent * 1000 / hertz)) control_rss_kb $resident"
    kill "$pid"; wait "$pid" || true; pid=
    rm -rf "$folder/data"
done
