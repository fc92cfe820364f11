#!/usr/bin/env bash
# Starts a deployment on loopback and runs tests/processes against it.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/deployment.sh

start_deployment
# Replacements of failed stores; the tests start them.
LAUNCH=no start_store 4 split-a
LAUNCH=no start_store 5 zadar-b
publish_examples
export OLEANDERHITCH_DEPLOYMENT=$WORK
"$PYTHON" -m pytest tests/processes "$@" &
TESTS=$!
supervise "$TESTS"
wait "$TESTS"
