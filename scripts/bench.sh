#!/usr/bin/env bash
# Measures the performance of the release build on loopback: the added latency at a constant request
# rate, the processor time and memory of idle entries, and the time from the acceptance of published
# lists until they are in force on all entries.
#
# Further arguments go to the first load run, for example `--plot FILE`.
#
#   RATE=1000 SECONDS_COUNT=20 IDLE_SECONDS=20 scripts/bench.sh [arguments of load]
set -u
. "$(dirname "$0")/lib.sh"
RATE=${RATE:-1000}
SECONDS_COUNT=${SECONDS_COUNT:-20}
IDLE_SECONDS=${IDLE_SECONDS:-20}
PUBLISH_COUNT=${PUBLISH_COUNT:-5}

# Prints the processor time in ticks and the resident memory in kilobytes of each entry.
sample_entries() {
    local index pid
    for index in $(seq 0 $((ENTRIES_COUNT - 1))); do
        pid=$(cat "$DIR/entry-$index.pid")
        echo "$(sed 's/.*) //' "/proc/$pid/stat" | cut -d' ' -f12,13 | tr ' ' '+' | bc)" \
            "$(grep VmRSS "/proc/$pid/status" | grep -o '[0-9]*')"
    done
}

measure_idle() {
    sleep 3
    sample_entries >"$DIR/idle.before"
    local before after
    before=$(date +%s%N)
    sleep "$IDLE_SECONDS"
    after=$(date +%s%N)
    sample_entries >"$DIR/idle.after"
    paste -d' ' "$DIR/idle.before" "$DIR/idle.after" |
        awk -v ms=$(((after - before) / 1000000)) -v hz="$(getconf CLK_TCK)" \
            '{ printf "idle entry=%d cpu_percent=%.2f resident_mb=%.1f\n", NR - 1, ($3 - $1) * 100000 / hz / ms, $4 / 1024 }'
}

measure_publish() {
    local version round
    version=1
    for round in $(seq "$PUBLISH_COUNT"); do
        sed "s/\"on_time_target_permille\": 99[0-9]/\"on_time_target_permille\": $((990 + round))/" \
            "$EXAMPLE/plans.jsonc" >"$DIR/plans.jsonc"
        local begun accepted
        begun=$(date +%s%N)
        "$PROGRAM" lists publish "$DIR/plans.jsonc" "$EXAMPLE/entitlements.jsonc" \
            --from "$version" --log "$LOG" >"$DIR/publish.out" 2>&1 || { cat "$DIR/publish.out"; return 1; }
        accepted=$(date +%s%N)
        version=$((version + 1))
        await_version "$version"
        echo "publish round=$round command_ms=$(((accepted - begun) / 1000000))" \
            "in_force_after_accepted_ms=$((($(date +%s%N) - accepted) / 1000000))"
        sleep 1
    done
}

# Waits until every entry reports version $1 of the lists.
await_version() {
    local index
    for index in $(seq 0 $((ENTRIES_COUNT - 1))); do
        until curl -s "http://127.0.0.1:$((PORT_BASE + index * 3 + 2))/v1/status" |
            grep -q "\"lists_version\":$1[,}]"; do
            sleep 0.002
        done
    done
}

start_stand_ins
publish_lists 0
grant_keys 1
start_entries
echo "== idle, $ENTRIES_COUNT entries, fleet $FLEET, $(nproc) cores; load average $(cut -d' ' -f1-3 /proc/loadavg)"
measure_idle
echo "== publication"
measure_publish
echo "== load, $RATE requests/s for $SECONDS_COUNT s, all idempotent; load average $(cut -d' ' -f1-3 /proc/loadavg)"
# shellcheck disable=SC2046
"$PROGRAM" load $(load_args) --rate "$RATE" --seconds "$SECONDS_COUNT" --run-ms 5 --direct \
    --idempotent-permille 1000 "$@"
echo "== load, $RATE requests/s for $SECONDS_COUNT s, the example's mix; load average $(cut -d' ' -f1-3 /proc/loadavg)"
# shellcheck disable=SC2046
"$PROGRAM" load $(load_args) --rate "$RATE" --seconds "$SECONDS_COUNT" --run-ms 5 --direct
