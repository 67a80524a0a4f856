# Functions that start and stop a deployment of separate processes on loopback: a stand-in log, a
# stand-in instance list, the workers of a fleet and some entries. Sourced by the other scripts.

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
PROGRAM=${PROGRAM:-$ROOT/target/release/hawthornladder}
FLEET=${FLEET:-lahore}
ENTRIES_COUNT=${ENTRIES_COUNT:-8}
PORT_BASE=${PORT_BASE:-17100}
LOG_LEVEL=${LOG_LEVEL:-info}
EXAMPLE=$ROOT/examples/$FLEET
DIR=$(mktemp -d "${TMPDIR:-/tmp}/hawthornladder.XXXXXX")
PIDS=()

# Ends every process that these scripts started, by its id.
stop_all() {
    local pid file
    for file in "$DIR"/entry-*.pid; do
        [ -e "$file" ] && PIDS+=("$(cat "$file")")
    done
    for pid in "${PIDS[@]}"; do
        kill -KILL "$pid" 2>/dev/null
    done
    wait 2>/dev/null
    [ -n "${KEEP:-}" ] || rm -rf "$DIR"
}
trap stop_all EXIT

# Waits up to 10 s for `event=ready` in the log file $1, then prints the first address in the file.
address_in() {
    local tries
    for tries in $(seq 100); do
        grep -q 'event=ready' "$1" 2>/dev/null && break
        sleep 0.1
    done
    grep -o 'address=[0-9.:]*' "$1" | head -1 | cut -d= -f2
}

start_stand_ins() {
    "$PROGRAM" stand-in log >"$DIR/log.out" 2>"$DIR/log.err" &
    PIDS+=($!)
    "$PROGRAM" stand-in instances >"$DIR/instances.out" 2>"$DIR/instances.err" &
    PIDS+=($!)
    LOG=$(address_in "$DIR/log.out")
    INSTANCES=$(address_in "$DIR/instances.out")
    "$PROGRAM" stand-in workers --fleet "$EXAMPLE/fleet.jsonc" --instances "$INSTANCES" \
        >"$DIR/workers.out" 2>"$DIR/workers.err" &
    PIDS+=($!)
    address_in "$DIR/workers.out" >/dev/null
}

# Starts entry number $1; its process id goes to entry-$1.pid.
start_entry() {
    local rows row zone region port
    # Entries are spread over the availability zones.
    mapfile -t rows < <(grep -o '"name": "[^"]*", "region": "[^"]*"' "$EXAMPLE/fleet.jsonc")
    row=${rows[$(($1 % ${#rows[@]}))]}
    zone=$(cut -d'"' -f4 <<<"$row")
    region=$(cut -d'"' -f8 <<<"$row")
    port=$((PORT_BASE + $1 * 3))
    cat >"$DIR/entry-$1.jsonc" <<SETTINGS
{
  "zone": "$zone", "region": "$region",
  "callers_address": "127.0.0.1:$port",
  "peers_address": "127.0.0.1:$((port + 1))",
  "operators_address": "127.0.0.1:$((port + 2))",
  "log_addresses": ["$LOG"], "instance_list_address": "$INSTANCES",
  "log_level": "$LOG_LEVEL",
}
SETTINGS
    "$PROGRAM" entry --settings "$DIR/entry-$1.jsonc" --name "entry-$1" \
        >>"$DIR/entry-$1.out" 2>>"$DIR/entry-$1.err" &
    echo $! >"$DIR/entry-$1.pid"
}

# Waits until entry number $1 is ready.
await_entry() {
    local tries
    for tries in $(seq 300); do
        curl -sf -o /dev/null "http://127.0.0.1:$((PORT_BASE + $1 * 3))/ready" && return
        sleep 0.1
    done
    echo "event=entry_not_ready entry=$1" >&2
    return 1
}

start_entries() {
    local index
    for index in $(seq 0 $((ENTRIES_COUNT - 1))); do start_entry "$index"; done
    for index in $(seq 0 $((ENTRIES_COUNT - 1))); do await_entry "$index"; done
}

publish_lists() {
    "$PROGRAM" lists publish "$EXAMPLE/plans.jsonc" "$EXAMPLE/entitlements.jsonc" \
        --from "$1" --log "$LOG" >"$DIR/publish.out" 2>&1 || { cat "$DIR/publish.out"; return 1; }
}

# Grants $1 keys to each team of the example and writes them to keys.json.
grant_keys() {
    local team index separator=
    {
        echo "{"
        for team in $(grep -o '{ "name": "[^"]*", "plan"' "$EXAMPLE/plans.jsonc" | cut -d'"' -f4); do
            printf '%s  "%s": [' "$separator" "$team"
            separator=$',\n'
            for index in $(seq "$1"); do
                [ "$index" = 1 ] || printf ', '
                "$PROGRAM" keys grant "$team" --log "$LOG" --output json |
                    grep -o '"key":"[^"]*"' | cut -d: -f2 | tr -d '\n'
            done
            printf ']'
        done
        printf '\n}\n'
    } >"$DIR/keys.json"
}

# Prints the arguments of `load` that name this deployment.
load_args() {
    local index port
    echo "--log $LOG --instances $INSTANCES --keys $DIR/keys.json --fleet $EXAMPLE/fleet.jsonc"
    for index in $(seq 0 $((ENTRIES_COUNT - 1))); do
        port=$((PORT_BASE + index * 3))
        echo "--entry 127.0.0.1:$port --operators 127.0.0.1:$((port + 2))"
        echo "--entry-pid-file $DIR/entry-$index.pid"
    done
}
