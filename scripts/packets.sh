#!/usr/bin/env bash
# Packets a second through one balancer process on loopback, with its processor
# time in user and kernel mode, for docs/measurements.md.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked -p control -p balancer -p load -p jacinthsill
bin=$PWD/${CARGO_TARGET_DIR:-target}/release
seconds=${1:-5}

folder=$(mktemp -d)
pids=()
cleanup() { kill "${pids[@]}" 2>/dev/null || true; wait 2>/dev/null || true; rm -rf "$folder"; }
trap cleanup EXIT
control=127.0.0.1:29881
packets=127.0.0.1:29882
od -An -N32 -tx1 /dev/urandom | tr -d ' \n' >"$folder/key.hex"
cat >"$folder/control.jsonc" <<JSON
{ "id": 1, "host": "control-1", "centre": "dc-1", "listen": "$control", "folder": "$folder/data",
  "key_file": "$folder/key.hex", "peers": [{ "id": 1, "address": "$control" }] }
JSON
cat >"$folder/balancer.jsonc" <<JSON
{ "host": "balancer-1", "centre": "dc-1", "packets": "$packets", "control": ["$control"],
  "key_file": "$folder/key.hex", "linger_ms": 0 }
JSON
mkdir "$folder/declarations"
cat >"$folder/declarations/echo.jsonc" <<JSON
{ "profiles": [{ "name": "echo" }],
  "services": [{ "name": "echo", "tenant": "bench", "profile": "echo", "address": "10.9.0.1:80" }] }
JSON
"$bin/control" --settings "$folder/control.jsonc" >"$folder/control.log" 2>&1 & pids+=($!)
for try in $(seq 100); do grep -q '"msg":"ready"' "$folder/control.log" && break; sleep 0.05; done
"$bin/jacinthsill" --control "$control" --author bench apply "$folder/declarations" >/dev/null
"$bin/balancer" --settings "$folder/balancer.jsonc" >"$folder/balancer.log" 2>&1 & balancer=$!
pids+=("$balancer")
ticks() { awk '{ print $14, $15 }' "/proc/$balancer/stat"; }
hertz=$(getconf CLK_TCK)
for flows in 1000 10000 100000 500000; do
    read -r user system < <(ticks)
    line=$("$bin/load" packets --control "$control" --balancer "$packets" --key "$folder/key.hex" \
        --service echo --address 10.9.0.1:80 --flows "$flows" --seconds "$seconds" ${RATE:+--rate "$RATE"})
    read -r user2 system2 < <(ticks)
    echo "$line user_ms $(((user2 - user) * 1000 / hertz)) kernel_ms $(((system2 - system) * 1000 / hertz))"
done
