# Functions that start and end a small fleet on the loopback address; sourced by tools/demo and tools/experiment.
# They need: root (the repository), build (the build folder), work (a scratch folder).

declare -a pids=() node_urls=() node_addresses=() backend_urls=() instance_pids=()

# Ends every process that was started here, by its id, and waits for it.
fleet_stop() {
    local pid
    for pid in "${pids[@]}"; do kill "$pid" 2> /dev/null || true; done
    local deadline=$((SECONDS + 8))
    for pid in "${pids[@]}"; do
        while kill -0 "$pid" 2> /dev/null && [ $SECONDS -lt $deadline ]; do sleep 0.1; done
        kill -KILL "$pid" 2> /dev/null || true
        wait "$pid" 2> /dev/null || true
    done
    pids=() node_urls=() node_addresses=() backend_urls=() instance_pids=()
}

start() {
    local log=$1
    shift
    "$@" > "$work/$log.log" 2>&1 &
    pids+=($!)
}

# Writes the records with every rate and burst divided, so that one machine carries the fleet.
scale_records() {
    mkdir -p "$work/records"
    local file
    for file in "$root/examples/$1/records"/*.json; do
        awk -v divisor="$rate_divisor" '{
            rest = $0; out = ""
            while (match(rest, /"(rate|rate_per_second|burst)": [0-9.]+/)) {
                field = substr(rest, RSTART, RLENGTH); split(field, part, ": ")
                out = out substr(rest, 1, RSTART - 1) part[1] ": " part[2] / divisor
                rest = substr(rest, RSTART + RLENGTH)
            }
            print out rest
        }' "$file" > "$work/records/$(basename "$file")"
    done
}

write_instance() {
    local service=$1 domain=$2 port=$3 modes=$4
    cat > "$work/node-$port.json" << END
{"address": "127.0.0.1:$port", "failure_domain": "$domain", "service": "$service", "store": "$store_url",
 "fleet_secret": "$fleet_secret", "modes": $modes,
 "ports": {"operators": $((port + 1)), "callers": $((port + 2)), "local": $((port + 3))}}
END
    cat > "$work/backend-$port.json" << END
{"port": $((port + 4)), "service": "$service", "node": "http://127.0.0.1:$((port + 3))", "slots": ${slots[$service]},
 "connections": ${connections[$service]}, "queue": ${slots[$service]}, "cold_start_ms": ${cold_start_ms:-0},
 "routes": ${routes[$service]}}
END
}

start_instance() {
    local service=$1 port=$2
    start "node-$port" "$build/src/jasminelatch-node" "$work/node-$port.json"
    local node=${pids[-1]}
    start "backend-$port" "$build/src/jasminelatch-backend" "$work/backend-$port.json"
    instance_pids+=("$service $port $node ${pids[-1]}")
}

start_instances() {
    local modes=$1 port=$((base_port + 10)) number=0 service count
    for service in "${services[@]}"; do
        for ((count = 0; count < instances[$service]; ++count)); do
            write_instance "$service" "domain-$((number % 3 + 1))" "$port" "$modes"
            start_instance "$service" "$port"
            node_urls+=("http://127.0.0.1:$((port + 2))")
            node_addresses+=("127.0.0.1:$port")
            backend_urls+=("$service=http://127.0.0.1:$((port + 4))")
            number=$((number + 1))
            port=$((port + 10))
        done
    done
}

control() {
    local args=() address
    for address in "${node_addresses[@]}"; do args+=(--node "$address"); done
    "$build/src/jasminelatchctl" --store "$store_url" --timeout 20 "${args[@]}" "$@"
}

issue_keys() {
    local account
    : > "$work/keys"
    chmod 600 "$work/keys"
    for account in $(sed -nE 's/.*"record": "account", "name": "([^"]+)".*/\1/p' "$work/records"/*.json); do
        printf '%s %s\n' "$account" "$(control keys issue "$account" | head -n 1)" >> "$work/keys"
    done
}

# fleet_start DEPLOYMENT MODES: store, nodes, backend servers, records, keys; returns when all is in force.
fleet_start() {
    # shellcheck source=/dev/null
    source "$root/tools/deployments/$1.sh"
    base_port=$((20000 + (BASHPID + RANDOM) % 60 * 200))
    store_url="http://127.0.0.1:$base_port"
    fleet_secret=$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')
    scale_records "$1"
    start store "$build/src/jasminelatch-store" --port "$base_port"
    start_instances "$2"
    sleep 1
    control apply "$work/records" --note "small fleet" > "$work/apply.log"
    issue_keys
    control wait "$(control --json status | sed -nE 's/.*"revision":([0-9]+).*/\1/p')" > "$work/wait.log"
}

join() { local IFS=,; echo "$*"; }

# play SCENARIO SEED OUT: runs the callers against the fleet.
play() {
    "$build/src/jasminelatch-load" "$1" --nodes "$(join "${node_urls[@]}")" --keys "$work/keys" \
        --records "$work/records" --backends "$(join "${backend_urls[@]}")" --store "$store_url" --seed "$2" --out "$3"
}
