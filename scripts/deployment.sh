# Starts and stops the processes of a small deployment on loopback. Sourced by the
# scripts that need one; it signals only processes that it has started, by their id.
# If KEEP_LOGS is set, logs and traces are copied to that directory at the end.

PYTHON=${PYTHON:-python3}
WORK=$(mktemp -d)
mkdir -p "$WORK/commands" "$WORK/start"
PIDS=()

cleanup() {
    for pid in "${PIDS[@]}"; do
        kill -CONT "$pid" 2>/dev/null || true
        kill "$pid" 2>/dev/null || true
    done
    # A process that waits for requests in progress must not block the script: it is
    # killed after 5 s.
    for _ in $(seq 50); do
        local n_left=0
        for pid in "${PIDS[@]}"; do
            kill -0 "$pid" 2>/dev/null && n_left=$((n_left + 1))
        done
        [ "$n_left" -eq 0 ] && break
        sleep 0.1
    done
    for pid in "${PIDS[@]}"; do
        kill -9 "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    if [ -n "${KEEP_LOGS:-}" ]; then
        mkdir -p "$KEEP_LOGS"
        cp -r "$WORK"/*.log "$WORK/traces" "$KEEP_LOGS" 2>/dev/null || true
    fi
    rm -rf "$WORK"
}
trap cleanup EXIT

# launch NAME: starts the process whose command has been recorded under the name.
launch() {
    local command=()
    mapfile -d '' -t command <"$WORK/commands/$1"
    "${command[@]}" >>"$WORK/$1.log" 2>&1 &
    PIDS+=($!)
    # Without disown, the shell's message about a killed process clutters the output.
    disown "$!"
    echo $! >"$WORK/$1.pid.new"
    mv "$WORK/$1.pid.new" "$WORK/$1.pid"
}

# start NAME MODULE OPTION...: records the command of a process and, unless LAUNCH=no,
# starts it.
start() {
    local name=$1
    shift
    printf '%s\0' "$PYTHON" -m "$@" >"$WORK/commands/$name"
    if [ "${LAUNCH:-yes}" = yes ]; then
        launch "$name"
    fi
}

# supervise PID: starts each process whose name appears as a file in $WORK/start, until
# the given process ends.
supervise() {
    while kill -0 "$1" 2>/dev/null; do
        for request in "$WORK"/start/*; do
            [ -e "$request" ] || continue
            rm "$request"
            launch "$(basename "$request")"
        done
        sleep 0.05
    done
}

start_store() {
    start "store-$1" oleanderhitch.process.commands.store \
        --node "store-$1" --data-centre "$2" \
        --peer-listen "127.0.0.1:2720$1" --status-listen "127.0.0.1:2725$1" \
        --data-dir "$WORK/store-$1"
}

start_entry() {
    start "entry-$1" oleanderhitch.process.commands.entry \
        --node "entry-$1" --data-centre "$2" \
        --peer-listen "127.0.0.1:2710$1" --listen "127.0.0.1:2700$1"
}

start_engine() {
    start "engine-$1" standins.process.commands.engine \
        --endpoint-id "veslo-llm-$1" --model veslo-llm \
        --listen "127.0.0.1:2730$1" --token-ms 20 "${@:2}"
}

start_service() {
    start "service-$1" standins.process.commands.service \
        --service veslo-app --listen "127.0.0.1:2740$1" "${@:2}"
}

start_deployment() {
    head -c 32 /dev/urandom | base64 >"$WORK/key"
    export OLEANDERHITCH_KEY_FILE=$WORK/key
    export OLEANDERHITCH_STORES=store-1=127.0.0.1:27201@split-a,store-2=127.0.0.1:27202@zadar-b,store-3=127.0.0.1:27203@rijeka-c
    export OLEANDERHITCH_TRACES_DIR=$WORK/traces
    export OLEANDERHITCH_TRACE_RATIO=1.0
    start_store 1 split-a
    start_store 2 zadar-b
    start_store 3 rijeka-c
    start_entry 1 split-a
    start_entry 2 zadar-b
    start_engine 1
    start_engine 2
    start_service 1
}

# publish_examples [FOLDER]: applies a copy of the declarations, since apply writes the
# file base-version to their folder.
publish_examples() {
    cp -r "${1:-examples/demo}" "$WORK/declarations"
    operator apply "$WORK/declarations" --author demo
}

operator() {
    "$PYTHON" -m oleanderhitch.process.commands.operator "$@"
}
