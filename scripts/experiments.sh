#!/usr/bin/env bash
# Runs the experiments of a declaration file (or one of them) and writes their
# results as JSON and SVG: scripts/experiments.sh FILE OUT [NAME]
set -euo pipefail
cd "$(dirname "$0")/.."
file=$1
out=$2
only=${3:-}

build=${EXPERIMENTS_BUILD:-release}
if [ "$build" = release ]; then cargo build --workspace --bins --locked --release
else cargo build --workspace --bins --locked; fi
bin=$PWD/${CARGO_TARGET_DIR:-target}/$build
mkdir -p "$out"

folder=
pids=()
stop_all() {
    local pid try
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for try in $(seq 60); do
        local left=0
        for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && left=1; done
        [ $left = 0 ] && break
        sleep 0.05
    done
    for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    pids=()
    [ -z "$folder" ] || rm -rf "$folder"
}
trap stop_all EXIT

start() { # programs of one kind
    local program name
    while read -r program name; do
        [ "$program" = "$1" ] || continue
        "$bin/$program" --settings "$folder/$name.jsonc" >"$folder/$name.log" 2>&1 </dev/null &
        pids+=($!)
    done <"$folder/processes"
}

"$bin/load" settings "$file" | while read -r name declarations; do
    [ -z "$only" ] || [ "$only" = "$name" ] || continue
    echo "$name $declarations"
done >"$out/.list"
while read -r name declarations <&8; do
    folder=$(mktemp -d)
    "$bin/load" settings "$file" --only "$name" --out "$folder"
    start control
    sleep 1
    "$bin/jacinthsill" --control "$(cat "$folder/control")" --author experiments \
        apply "$(dirname "$file")/$declarations" >/dev/null
    start balancer
    start agent
    sleep 1
    "$bin/load" run "$file" --only "$name" --out "$out"
    stop_all
done 8<"$out/.list"
rm -f "$out/.list"
