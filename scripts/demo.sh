#!/usr/bin/env bash
# Starts a small deployment on loopback, runs one program through it while one
# store and one engine are killed, and ends the processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHON=${PYTHON:-python3}
WORK=$(mktemp -d)
PIDS=()

cleanup() {
    for pid in "${PIDS[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    for pid in "${PIDS[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    rm -rf "$WORK"
}
trap cleanup EXIT

start() {
    local name=$1
    shift
    "$PYTHON" -m "$@" >"$WORK/$name.log" 2>&1 &
    PIDS+=($!)
    echo $! >"$WORK/$name.pid"
}

wait_for_file() {
    for _ in $(seq 600); do
        [ -e "$1" ] && return 0
        kill -0 "$2" 2>/dev/null || return 1
        sleep 0.1
    done
    return 1
}

head -c 32 /dev/urandom | base64 >"$WORK/key"
export OLEANDERHITCH_KEY_FILE=$WORK/key
export OLEANDERHITCH_STORES=store-1=127.0.0.1:27201@split-a,store-2=127.0.0.1:27202@zadar-b,store-3=127.0.0.1:27203@rijeka-c
export OLEANDERHITCH_TRACES_DIR=$WORK/traces
export OLEANDERHITCH_TRACE_RATIO=1.0

number=1
for place in split-a zadar-b rijeka-c; do
    start "store-$number" oleanderhitch.process.commands.store \
        --node "store-$number" --data-centre "$place" \
        --peer-listen "127.0.0.1:2720$number" \
        --status-listen "127.0.0.1:2725$number" \
        --data-dir "$WORK/store-$number"
    number=$((number + 1))
done
number=1
for place in split-a zadar-b; do
    start "entry-$number" oleanderhitch.process.commands.entry \
        --node "entry-$number" --data-centre "$place" \
        --peer-listen "127.0.0.1:2710$number" --listen "127.0.0.1:2700$number"
    start "engine-$number" standins.process.commands.engine \
        --endpoint-id "veslo-llm-$number" --model veslo-llm \
        --listen "127.0.0.1:2730$number" --token-ms 20
    number=$((number + 1))
done
start service-1 standins.process.commands.service \
    --service veslo-app --listen 127.0.0.1:27401

"$PYTHON" -m oleanderhitch.process.commands.operator apply examples/demo --author demo

"$PYTHON" scripts/demo_client.py "$WORK" &
CLIENT=$!
PIDS+=("$CLIENT")
if wait_for_file "$WORK/kill-store" "$CLIENT"; then
    echo "demo: kill -9 of store-2"
    kill -9 "$(cat "$WORK/store-2.pid")"
fi
if wait_for_file "$WORK/kill-engine" "$CLIENT"; then
    engine=$(cat "$WORK/kill-engine")
    echo "demo: kill -9 of engine-$engine in the middle of its answer"
    kill -9 "$(cat "$WORK/engine-$engine.pid")"
fi
if wait "$CLIENT"; then
    echo "demo: ok"
else
    tail -n 5 "$WORK"/*.log >&2
    echo "demo: failed" >&2
    exit 1
fi
