#!/usr/bin/env bash
# Starts a deployment on loopback and measures its latency, throughput and resource
# usage.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/deployment.sh

export OLEANDERHITCH_TRACE_RATIO=0
start_deployment
# Fast engines, so that the latency is that of the system itself.
for number in 1 2; do
    kill -9 "$(cat "$WORK/engine-$number.pid")"
    start_engine "$number" --token-ms 1 --slots 64 --prefill-tokens-per-s 1000000
done
# More entry hosts; the benchmark starts them.
for number in 3 4 5 6 7 8 9; do
    LAUNCH=no start_entry "$number" split-a
done
publish_examples
"$PYTHON" -m bench.process.commands.processes "$WORK" "$@" &
BENCH=$!
supervise "$BENCH"
wait "$BENCH"
