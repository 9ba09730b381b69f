# Functions that write settings and start a fleet on loopback. Sourced by the other scripts, which
# set root (the repository), run (a folder for settings, logs and data) and may set the variables below.

cluster_key=${cluster_key:-demo-cluster-key-0123456789}
operator_key=${operator_key:-demo-operator-key}
workspace_key=${workspace_key:-demo-workspace-key}
port_base=${port_base:-17000}
region=${region:-norte}
centres=(${centres:-vitoria bilbao pamplona})
controls=${controls:-5}
entries=${entries:-6}
engines=${engines:-8}
services=${services:-3}
engine_memory=${engine_memory:-400000}
engine_speed=${engine_speed:-10}
drain_time=${drain_time:-1s}

pids=()

hash_of() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }
centre() { echo "${centres[$(($1 % ${#centres[@]}))]}"; }

control_peer() { echo "127.0.0.1:$((port_base + 100 + $1))"; }
control_operator() { echo "127.0.0.1:$((port_base + 120 + $1))"; }
control_metrics() { echo "127.0.0.1:$((port_base + 140 + $1))"; }
entry_caller() { echo "127.0.0.1:$((port_base + 200 + $1))"; }
entry_platform() { echo "127.0.0.1:$((port_base + 300 + $1))"; }
entry_peer() { echo "127.0.0.1:$((port_base + 400 + $1))"; }
entry_metrics() { echo "127.0.0.1:$((port_base + 500 + $1))"; }
engine_address() { echo "127.0.0.1:$((port_base + 600 + $1))"; }
service_address() { echo "127.0.0.1:$((port_base + 700 + $1))"; }

# list FUNCTION COUNT prints the addresses of COUNT processes, separated by commas.
list() {
  local i out=
  for ((i = 0; i < $2; i++)); do out+=${out:+,}$($1 "$i"); done
  echo "$out"
}

# start NAME COMMAND... starts a process in the background with its log in the run folder.
start() {
  local name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  pids+=("$!:$name")
}

write_controls() {
  local i j
  for ((i = 0; i < controls; i++)); do
    {
      echo "instance: control-$i"
      echo "data-centre: $(centre "$i")"
      echo "data-directory: $run/control-$i"
      echo "peer-listen: $(control_peer "$i")"
      echo "operator-listen: $(control_operator "$i")"
      echo "metrics-listen: $(control_metrics "$i")"
      echo "cluster-key: $cluster_key"
      echo "operators:"
      echo "  - name: demo"
      echo "    key-hash: $(hash_of "$operator_key")"
      echo "bootstrap:"
      for ((j = 0; j < controls; j++)); do
        echo "  - instance: control-$j"
        echo "    address: $(control_peer "$j")"
        echo "    operator: $(control_operator "$j")"
      done
    } >"$run/control-$i.yaml"
  done
}

write_entries() {
  local i j
  for ((i = 0; i < entries; i++)); do
    {
      echo "instance: entry-$i"
      echo "data-centre: $(centre "$i")"
      echo "region: $region"
      echo "caller-listen: $(entry_caller "$i")"
      echo "platform-listen: $(entry_platform "$i")"
      echo "peer-listen: $(entry_peer "$i")"
      echo "metrics-listen: $(entry_metrics "$i")"
      echo "cluster-key: $cluster_key"
      echo "drain-time: $drain_time"
      echo "control:"
      for ((j = 0; j < controls; j++)); do echo "  - $(control_peer "$j")"; done
      printf '%s' "${entry_extra:-}"
    } >"$run/entry-$i.yaml"
  done
}

announce_to() {
  echo "announce-to:"
  local i
  for ((i = 0; i < entries && i < 4; i++)); do echo "  - $(entry_platform "$(((i + $1) % entries))")"; done
}

write_engines() {
  local i
  for ((i = 0; i < engines; i++)); do
    {
      echo "name: engine-$i"
      echo "data-centre: $(centre "$i")"
      echo "region: $region"
      echo "listen: $(engine_address "$i")"
      echo "models: [saw-diagnosis]"
      echo "version: v1"
      echo "memory: $engine_memory"
      echo "speed: $engine_speed"
      echo "checks-fencing: $([ $((i % 2)) = 0 ] && echo true || echo false)"
      printf '%s' "${engine_extra:-}"
      announce_to "$i"
    } >"$run/engine-$i.yaml"
  done
}

write_services() {
  local i
  for ((i = 0; i < services; i++)); do
    {
      echo "name: service-$i"
      echo "data-centre: $(centre "$i")"
      echo "region: $region"
      echo "listen: $(service_address "$i")"
      echo "services: [bookings]"
      announce_to "$i"
    } >"$run/service-$i.yaml"
  done
}

start_fleet() {
  write_controls
  write_entries
  write_engines
  write_services
  local i
  for ((i = 0; i < controls; i++)); do start "control-$i" "$root/bin/controld" run --settings "$run/control-$i.yaml"; done
  for ((i = 0; i < entries; i++)); do start "entry-$i" "$root/bin/entryd" run --settings "$run/entry-$i.yaml"; done
  for ((i = 0; i < engines; i++)); do start "engine-$i" "$root/bin/standin" engine --settings "$run/engine-$i.yaml"; done
  for ((i = 0; i < services; i++)); do start "service-$i" "$root/bin/standin" service --settings "$run/service-$i.yaml"; done
}

# stop_group PREFIX stops the processes of that name gracefully and returns 1 if any fails.
stop_group() {
  local entry pid name status=0 rest=()
  for entry in "${pids[@]}"; do
    [[ ${entry#*:} == "$1"* ]] && kill -TERM "${entry%%:*}" 2>/dev/null
  done
  for entry in "${pids[@]}"; do
    pid=${entry%%:*} name=${entry#*:}
    if [[ $name != "$1"* ]]; then
      rest+=("$entry")
      continue
    fi
    if ! wait "$pid"; then
      echo "$name did not stop cleanly; see $run/$name.log" >&2
      status=1
    fi
  done
  pids=("${rest[@]}")
  return $status
}

stop_fleet() {
  local status=0 group
  for group in service engine entry control; do stop_group "$group" || status=1; done
  return $status
}

kill_fleet() {
  local entry
  for entry in "${pids[@]}"; do kill -KILL "${entry%%:*}" 2>/dev/null; done
}
