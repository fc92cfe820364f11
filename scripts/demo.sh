#!/usr/bin/env bash
# Starts a small deployment on loopback, runs a program through it while a store and
# an engine are killed, and stops the processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/deployment.sh

wait_for_file() {
    for _ in $(seq 600); do
        [ -e "$1" ] && return 0
        kill -0 "$2" 2>/dev/null || return 1
        sleep 0.1
    done
    return 1
}

start_deployment
publish_examples

"$PYTHON" scripts/demo_client.py "$WORK" &
CLIENT=$!
if wait_for_file "$WORK/kill-store" "$CLIENT"; then
    echo "demo: kill -9 of store-2"
    kill -9 "$(cat "$WORK/store-2.pid")"
fi
if wait_for_file "$WORK/kill-engine" "$CLIENT"; then
    engine=$(cat "$WORK/kill-engine")
    echo "demo: kill -9 of engine-$engine in the middle of its response"
    kill -9 "$(cat "$WORK/engine-$engine.pid")"
fi
if wait "$CLIENT"; then
    echo "demo: ok"
else
    tail -n 5 "$WORK"/*.log >&2
    echo "demo: failed" >&2
    exit 1
fi
