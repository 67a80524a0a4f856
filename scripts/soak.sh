#!/usr/bin/env bash
# Runs a deployment under a mixed fault script with a fixed seed, restarts entries that have ended,
# and prints the violated guarantees and the part of the requests that were on time.
#
#   SECONDS_COUNT=300 SEED=1 scripts/soak.sh [arguments of load]
set -u
. "$(dirname "$0")/lib.sh"
SECONDS_COUNT=${SECONDS_COUNT:-300}
SEED=${SEED:-1}
SCALE_PERMILLE=${SCALE_PERMILLE:-300}
RESTART_AFTER_S=1

# Restarts each entry whose process has ended, until the script ends.
keep_entries_running() {
    local index
    while sleep "$RESTART_AFTER_S"; do
        for index in $(seq 0 $((ENTRIES_COUNT - 1))); do
            kill -0 "$(cat "$DIR/entry-$index.pid")" 2>/dev/null || start_entry "$index"
        done
    done
}

start_stand_ins
publish_lists 0
grant_keys 2
start_entries
keep_entries_running &
PIDS+=($!)
# shellcheck disable=SC2046
"$PROGRAM" load $(load_args) --seed "$SEED" --seconds "$SECONDS_COUNT" \
    --scale-permille "$SCALE_PERMILLE" --later-permille 50 --cancel-permille 20 \
    --twin-permille 50 --skewed --obey --fault-script mixed "$@"
exit_code=$?
# Prints the state of each entry after the load; no request should be left waiting or running.
for index in $(seq 0 $((ENTRIES_COUNT - 1))); do
    echo "status entry=$index $(curl -s -m 2 "http://127.0.0.1:$((PORT_BASE + index * 3 + 2))/v1/status" |
        grep -oE '"(requests_count|waiting_count|running_count|next_offset|lists_version)":[0-9]+|"instances":[^}]*}' |
        tr '\n' ' ')"
done
echo "exit_code=$exit_code dir=$DIR"
exit "$exit_code"
