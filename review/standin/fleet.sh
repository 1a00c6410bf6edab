# Functions for the scripts of the review: a small deployment of three cores and one gateway, started with
# the commands and from the templates of the deploy file. To be sourced from the repository's root.
#
# Bounds are those of arree-gravure (SYSTEM.md). Every address is a loopback address; all ports are free ones;
# everything is written to a temporary folder and to record.txt of the case.

standin=target/review/standin
wire=review/standin/wire.txt
host=review.example
core_ips=(127.0.0.11 127.0.0.12 127.0.0.13)
core_zones=(morlaix brasparts quimper)
gateway_ip=127.0.0.21
pids=()

# Says that the case could not run, and ends.
cannot_run() { echo "cannot run: $*" | tee -a "$record"; exit 2; }

# Prepares the folder, the ports and the record. $1: folder of the case
prepare() {
  record=$1/record.txt
  : >"$record"
  for program in target/platform/figrack-core target/platform/figrack-gateway "$standin"; do
    [ -x "$program" ] || cannot_run "$program is missing: build the deploy file and review/build.sh first"
  done
  folder=$(mktemp -d)
  trap finish EXIT
  mapfile -t ports < <("$standin" ports 12)
  control_port=${ports[0]} directory_port=${ports[1]} peer_port=${ports[2]}
  front_port=${ports[3]} ready_port=${ports[4]} runner_port=${ports[5]}
  seeds=$(printf '%s:%s\n' "${core_ips[0]}" "$control_port" "${core_ips[1]}" "$control_port" \
    "${core_ips[2]}" "$control_port")
  controls=$(echo "$seeds" | paste -sd, -)
  seed_list=$(echo "$seeds" | awk '{ printf "%ss%d@%s", (NR > 1 ? "," : ""), NR - 1, $0 }')
}

# Ends every process that was started and removes the folder.
finish() {
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$folder"
}

# Fills in a template of the deploy file. $1: template, $2: node, $3: zone, $4: ip, $5: bootstrap
fill_template() {
  sed -e '/{{#Bounds\.\(StrictRevoke\|RevokeMs\|Quota[A-Za-z]*\)}}/d' \
    -e "s|{{#Seeds}}.*{{/Seeds}}|$seed_list|" \
    -e 's|{{#Zones}}.*{{/Zones}}|morlaix:finistere,brasparts:finistere,quimper:finistere|' \
    -e 's|{{[#/]Limits\.[A-Za-z]*}}||g' \
    -e "s|{{Node}}|$2|;s|{{Zone}}|$3|;s|{{Bootstrap}}|$5|" \
    -e "s|{{Listen.Control}}|$4:$control_port|;s|{{Listen.Directory}}|$4:$directory_port|" \
    -e "s|{{Listen.Front}}|$4:$front_port|;s|{{Listen.Ready}}|$4:$ready_port|" \
    -e "s|{{DataDir}}|$folder/$2|;s|{{InternalPorts.0}}|$peer_port|" \
    -e 's|{{Limits.CpuShare}}|0.25|;s|{{Limits.MemoryMb}}|260|;s|{{Limits.MaxFds}}|4096|' \
    -e 's|{{HeartbeatMs}}|1200|;s|{{Bounds.GraceS}}|8|;s|{{Bounds.LeaseMs}}|3000|' \
    -e 's|{{Bounds.CeilingWindowS}}|5|;s|{{Bounds.RetryBudgetRatio}}|0.2|' \
    -e 's|{{Bounds.RetryBudgetSlack}}|54|;s|{{Bounds.BudgetWindowS}}|10|' "$1" >"$folder/$2.ini"
  ! grep -q '{{' "$folder/$2.ini" || cannot_run "a placeholder of $1 is not known here"
}

stamp() { echo "$(date +%s%3N) $*" >>"$record"; }

# Starts a core. $1: its number from 0 on, $2: bootstrap
start_core() {
  mkdir -p "$folder/core-$1"
  fill_template deploy/core.ini "core-$1" "${core_zones[$1]}" "${core_ips[$1]}" "$2"
  target/platform/figrack-core --config "$folder/core-$1.ini" >>"$folder/core-$1.log" 2>&1 &
  core_pids[$1]=$!
  pids+=($!)
  stamp "script starts core-$1 pid $!"
}

start_gateway() {
  fill_template deploy/gateway.ini gateway-0 morlaix "$gateway_ip" true
  target/platform/figrack-gateway --config "$folder/gateway-0.ini" >>"$folder/gateway-0.log" 2>&1 &
  gateway_pid=$!
  pids+=($!)
  stamp "script starts gateway-0 pid $!"
}

# Starts a stand-in endpoint; its pid is in runner_pid. $1: id, $2: address's last number, then KEY=VALUE...
start_runner() {
  local id=$1 last=$2
  shift 2
  "$standin" runner "wire=$wire" "log=$record" "id=$id" "addr=127.0.0.$last:$runner_port" zone=morlaix \
    "controls=$controls" beat_ms=1200 "$@" 2>>"$folder/$id.log" &
  runner_pid=$!
  pids+=($!)
  stamp "script starts runner $id pid $!"
}

# Sends a configuration until it is acknowledged. $1: file
configure() {
  for _ in $(seq 100); do
    for ip in "${core_ips[@]}"; do
      "$standin" call POST "$ip:$control_port" /v1/config/replace "$1" >/dev/null 2>&1 && return 0
    done
    sleep 0.2
  done
  cannot_run "the configuration was not acknowledged"
}

# Waits until the gateway says that it is ready.
await_ready() {
  for _ in $(seq 100); do
    "$standin" call GET "$gateway_ip:$ready_port" /v1/readiness >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  cannot_run "the gateway is not ready"
}
