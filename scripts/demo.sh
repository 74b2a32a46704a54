#!/usr/bin/env bash
# Runs both services of Masa Viva in small, with callers in action while a
# profile changes, a backend server drains and a balancer is killed. Prints what
# was kept and broken; the last line is "demo: ok" if nothing was.
set -euo pipefail
cd "$(dirname "$0")/.."

build=${DEMO_BUILD:-debug}
if [ "$build" = release ]; then cargo build --workspace --bins --locked --release
else cargo build --workspace --bins --locked; fi
bin=$PWD/${CARGO_TARGET_DIR:-target}/$build

folder=$(mktemp -d)
declare -A pid=()

stop_all() {
    local name
    for name in "${!pid[@]}"; do kill -9 "${pid[$name]}" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$folder"
}
trap stop_all EXIT
[ -z "${DEMO_KEEP:-}" ] || trap "cp -r \"\$folder\" \"$DEMO_KEEP\"; stop_all" EXIT

fail() {
    echo "demo: $1"
    grep -hE '"level":"(WARN|ERRO|CRIT)' "$folder"/*.log | tail -n 20 | cut -c 1-300 || true
    echo "demo: failed"
    exit 1
}

# The first of some ranges of 40 ports in which nobody listens.
base=0
for try in $(seq 21000 200 29000); do
    used=0
    for port in $(seq "$try" $((try + 39))); do
        if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then used=1; break; fi
    done
    if [ $used = 0 ]; then base=$try; break; fi
done
[ "$base" != 0 ] || fail "no free ports"
at() { echo "127.0.0.1:$((base + $1))"; }

start() { # name, program and its options
    local name=$1
    shift
    "$@" >"$folder/$name.log" 2>&1 </dev/null &
    pid[$name]=$!
}

ready() {
    local name try
    for name in "$@"; do
        for try in $(seq 200); do
            grep -q '"msg":"ready"' "$folder/$name.log" && continue 2
            sleep 0.05
        done
        fail "$name is not ready"
    done
}

od -An -N32 -tx1 /dev/urandom | tr -d ' \n' >"$folder/key.hex"
replicas=(1 2 3)
control="\"$(at 1)\", \"$(at 2)\", \"$(at 3)\""
addresses="$(at 1),$(at 2),$(at 3)"
peers="{ \"id\": 1, \"address\": \"$(at 1)\" }, { \"id\": 2, \"address\": \"$(at 2)\" },
    { \"id\": 3, \"address\": \"$(at 3)\" }"
if [ "${DEMO_REPLICAS:-3}" = 1 ]; then # for trials
    replicas=(1); control="\"$(at 1)\""; addresses=$(at 1)
    peers="{ \"id\": 1, \"address\": \"$(at 1)\" }"
fi
operator() { "$bin/jacinthsill" --control "$addresses" --author demo "$@"; }

for n in "${replicas[@]}"; do
    cat >"$folder/control-$n.jsonc" <<JSON
{
  "id": $n, "host": "control-$n", "centre": "dc-$n", "region": 0,
  "listen": "$(at $n)", "folder": "$folder/data-$n", "key_file": "$folder/key.hex",
  "peers": [$peers],
  "join": false
}
JSON
    start "control-$n" "$bin/control" --settings "$folder/control-$n.jsonc"
done
ready "${replicas[@]/#/control-}"

balancers=()
for n in 1 2 3; do
    cat >"$folder/balancer-$n.jsonc" <<JSON
{
  "host": "balancer-$n", "centre": "dc-$n", "region": 0, "packets": "$(at $((3 + n)))",
  "control": [$control], "key_file": "$folder/key.hex"
}
JSON
    start "balancer-$n" "$bin/balancer" --settings "$folder/balancer-$n.jsonc"
    balancers+=("$(at $((3 + n)))")
done

hosts=(storefront-1 storefront-2 storefront-3 photos-1 photos-2)
records=()
for n in "${!hosts[@]}"; do
    host=${hosts[$n]}
    service=${host%-*}
    backend=$(at $((10 + n)))
    echo=()
    if [ "$service" = photos ]; then echo=(--echo); else records+=(--record "$backend"); fi
    start "backend-$host" "$bin/load" backend --listen "$backend" --host "$host" --slots 2 \
        --seconds 120 "${echo[@]}"
    cat >"$folder/$host.jsonc" <<JSON
{
  "host": "$host", "centre": "dc-$((n % 3 + 1))", "region": 0, "service": "$service",
  "packets": "$(at $((20 + n)))", "http": "$(at $((25 + n)))", "fabric": "$(at 30)",
  "backend": "$backend", "slots": 2, "weight": 100,
  "control": [$control], "key_file": "$folder/key.hex"
}
JSON
    start "$host" "$bin/agent" --settings "$folder/$host.jsonc"
done
ready balancer-1 balancer-2 balancer-3 "${hosts[@]}"

cp -r examples/masa-viva "$folder/declarations"
operator apply "$folder/declarations" --wait 10 || fail "the declarations are not accepted"
for try in $(seq 100); do
    members=$(operator audit --output json | grep -c '"serving"' || true)
    [ "$members" -ge 5 ] && break
    sleep 0.1
done

mkfifo "$folder/orders"
exec 9<>"$folder/orders"
callers=("$bin/load" demo --fabric "$(at 30)" --http 10.80.0.1:80 --tcp 10.80.0.2:80 --seconds 40)
for address in "${balancers[@]}"; do callers+=(--balancer "$address"); done
"${callers[@]}" "${records[@]}" <"$folder/orders" >"$folder/callers.out" 2>"$folder/callers.log" &
pid[callers]=$!
for try in $(seq 400); do
    grep -q "callers: ready" "$folder/callers.out" && break
    kill -0 "${pid[callers]}" 2>/dev/null || { cat "$folder/callers.out"; fail "callers ended"; }
    sleep 0.05
done
grep -q "callers: ready" "$folder/callers.out" || fail "callers are not ready"
sleep 1

echo "change: profile storefront gets a queue of 32"
sed -i 's/"queue": 64/"queue": 32/' "$folder/declarations/storefront.jsonc"
begin=$(date +%s%3N)
operator apply "$folder/declarations" --wait 5 || fail "the change is not in force within 5 s"
echo "change: in force everywhere after $(($(date +%s%3N) - begin)) ms"

echo "change: backend server storefront-2 drains"
operator announce backend-server storefront-2 --start now --end +10m || fail "not announced"
echo "drain storefront-2 $(at 11)" >&9
sleep 5

echo "change: balancer-3 is killed"
kill -9 "${pid[balancer-3]}"
wait "${pid[balancer-3]}" 2>/dev/null || true
unset 'pid[balancer-3]'
sleep 1
echo "balancers ${balancers[0]} ${balancers[1]}" >&9
sleep 2

echo "change: balancer-2 stops as planned"
echo "balancers ${balancers[0]}" >&9
kill -TERM "${pid[balancer-2]}"
sleep 2
echo end >&9

code=0
wait "${pid[callers]}" || code=$?
unset 'pid[callers]'
cat "$folder/callers.out"
[ $code = 0 ] || fail "the callers saw a broken guarantee"

operator status || fail "no status"
operator report >"$folder/report.out" || fail "no report"

echo "stop: every process"
names=("${!pid[@]}")
for name in "${names[@]}"; do
    case $name in control-*) ;; *) kill -TERM "${pid[$name]}" 2>/dev/null || true ;; esac
done
stopped=0
finish() {
    local name=$1 try code=0
    for try in $(seq 200); do
        kill -0 "${pid[$name]}" 2>/dev/null || break
        sleep 0.05
    done
    kill -0 "${pid[$name]}" 2>/dev/null && fail "$name does not stop"
    wait "${pid[$name]}" || code=$?
    [ $code = 0 ] || fail "$name ended with exit code $code"
    unset "pid[$name]"
    stopped=$((stopped + 1))
}
for name in "${names[@]}"; do
    case $name in control-*) ;; *) finish "$name" ;; esac
done
for n in "${replicas[@]}"; do
    kill -TERM "${pid[control-$n]}"
    finish "control-$n"
done
echo "stop: $stopped processes ended with exit code 0"
echo "demo: ok"
