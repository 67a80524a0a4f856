#!/usr/bin/env bash
# Starts three entries with a list of N instances at which no worker listens. Prints the time until
# all instances are in the ledger, and the processor time and memory of each entry over 20 idle
# seconds.
#
#   scripts/fleet-size.sh 14000
set -u
. "$(dirname "$0")/lib.sh"
COUNT=${1:?usage: scripts/fleet-size.sh N}
IDLE_S=20
HZ=$(getconf CLK_TCK)

# Prints the rows of instances $1 (included) to $2 (excluded) as one JSON array.
rows() {
    awk -v from="$1" -v to="$2" 'BEGIN {
        split("maps transit guidance gauges spare", pool, " ")
        printf "["
        for (i = from; i < to; i++) {
            if (i > from) printf ","
            printf "{\"name\":\"worker-%05d\",\"incarnation\":\"worker-%05d.1\",", i, i
            printf "\"address\":\"127.9.%d.%d:7200\",\"pool\":\"%s\",", i / 250, i % 250 + 1, pool[i % 5 + 1]
            printf "\"zone\":\"zone-%d\",\"rack\":\"zone-%d-rack-%d\",\"leaving\":false,", i % 9, i % 9, i / 36
            printf "\"capacity\":{\"cores_milli\":32000,\"memory_mb\":128000,\"accelerators_count\":2},"
            printf "\"slots_count\":8}"
        }
        printf "]"
    }'
}

"$PROGRAM" stand-in log >"$DIR/log.out" 2>"$DIR/log.err" &
PIDS+=($!)
"$PROGRAM" stand-in instances >"$DIR/instances.out" 2>"$DIR/instances.err" &
PIDS+=($!)
LOG=$(address_in "$DIR/log.out")
INSTANCES=$(address_in "$DIR/instances.out")
for from in $(seq 0 1000 $((COUNT - 1))); do
    to=$((from + 1000 < COUNT ? from + 1000 : COUNT))
    rows "$from" "$to" | curl -s -o /dev/null --data-binary @- "http://$INSTANCES/instances"
done
ENTRY_PIDS=()
for index in 0 1 2; do
    cat >"$DIR/entry-$index.jsonc" <<END
{ "zone": "zone-0", "region": "region", "callers_address": "127.0.0.1:0", "peers_address": "127.0.0.1:0",
  "operators_address": "127.0.0.1:0", "log_addresses": ["$LOG"], "instance_list_address": "$INSTANCES",
  "log_level": "warn" }
END
    "$PROGRAM" entry --settings "$DIR/entry-$index.jsonc" --name "entry-$index" \
        >"$DIR/entry-$index.out" 2>"$DIR/entry-$index.err" &
    PIDS+=($!)
    ENTRY_PIDS+=($!)
done
address_in "$DIR/entry-0.out" >/dev/null
OPERATORS=$(grep role=operators "$DIR/entry-0.out" | grep -o 'address=[0-9.:]*' | cut -d= -f2)
START=$(date +%s)
"$PROGRAM" lists publish "$EXAMPLE/plans.jsonc" "$EXAMPLE/entitlements.jsonc" --from 0 --log "$LOG" >/dev/null
for _ in $(seq 600); do
    SEEN=$(curl -s "http://$OPERATORS/v1/status" | grep -o '"instances":{[^}]*}' | grep -o '[0-9]\+' |
        awk '{ sum += $1 } END { print sum + 0 }')
    [ "$SEEN" -ge "$COUNT" ] && break
    sleep 0.2
done
echo "instances=$SEEN registered_after_s=$(($(date +%s) - START))"
sleep 3
ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
BEFORE=()
for pid in "${ENTRY_PIDS[@]}"; do BEFORE+=("$(ticks "$pid")"); done
sleep "$IDLE_S"
for index in 0 1 2; do
    pid=${ENTRY_PIDS[$index]}
    used=$(($(ticks "$pid") - BEFORE[index]))
    echo "entry=$index cpu_permille=$((used * 1000 / (IDLE_S * HZ))) rss_kb=$(awk '/VmRSS/ { print $2 }' "/proc/$pid/status")"
done
