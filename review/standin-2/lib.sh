# Starts a small deployment on loopback addresses: cores, gateways and stand-ins, each a process of
# its own. Sourced by the scripts of the cases; CASE is their folder.
#
# Functions end the script with 2 where the case cannot run.

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
STANDIN=$ROOT/target/review-2/standin
NAMES=$ROOT/review/standin-2/names.txt
TROUBLE=${TROUBLE:-1}
CORES=${CORES:-3}
GATEWAYS=${GATEWAYS:-2}
MEMORY_MB=${MEMORY_MB:-260}
HOST=review.example
SCRATCH=$(mktemp -d)
NET=$((RANDOM % 200 + 20)).$((RANDOM % 250))
declare -A PIDS

cannot_run() { echo "cannot run: $*" >&2; exit 2; }

finish() {
  local code=$? pid
  for pid in "${PIDS[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  sort -n -s -k1,1 "$SCRATCH"/record.* >"$CASE/record.txt" 2>/dev/null
  [ -n "${KEEP:-}" ] && echo "logs in $SCRATCH" || rm -rf "$SCRATCH"
  exit $code
}
trap finish EXIT
trap 'exit 2' INT TERM

for program in "$STANDIN" "$ROOT/target/platform/figrack-core" "$ROOT/target/platform/figrack-gateway"; do
  [ -x "$program" ] || cannot_run "$program is not built"
done
mapfile -t PORTS < <("$STANDIN" ports 6)
CONTROL=${PORTS[0]} DIRECTORY=${PORTS[1]} FRONT=${PORTS[2]} READY=${PORTS[3]} PEER=${PORTS[4]} SERVE=${PORTS[5]}

core_ip() { echo "127.$NET.$((11 + $1))"; }
gateway_ip() { echo "127.$NET.$((31 + $1))"; }
server_ip() { echo "127.$NET.$((61 + $1))"; }

now_ms() { date +%s%3N; }
note() { echo "$(now_ms) $*" >>"$SCRATCH/record.script"; }

# fill TEMPLATE NODE IP ZONE BOOTSTRAP: the template as the platform fills it in.
fill() {
  local seeds="" i
  for i in 0 1 2; do seeds+="${seeds:+,}s$i@$(core_ip $i):$CONTROL"; done
  sed -e '/{{#Bounds\./d' \
      -e 's/{{#Limits\.[A-Za-z]*}}//; s/{{\/Limits\.[A-Za-z]*}}//' \
      -e "s/^seeds = .*/seeds = $seeds/" \
      -e 's/^regions = .*/regions = z0:r,z1:r,z2:r/' \
      -e "s/{{Node}}/$2/; s/{{Zone}}/$4/; s/{{Bootstrap}}/$5/" \
      -e "s/{{Listen.Control}}/$3:$CONTROL/; s/{{Listen.Directory}}/$3:$DIRECTORY/" \
      -e "s/{{Listen.Front}}/$3:$FRONT/; s/{{Listen.Ready}}/$3:$READY/" \
      -e "s|{{DataDir}}|$SCRATCH/$2|; s/{{InternalPorts.0}}/$PEER/" \
      -e 's/{{Limits.MaxFds}}/4096/; s/{{Limits.CpuShare}}/0.25/' \
      -e "s/{{Limits.MemoryMb}}/$MEMORY_MB/" \
      -e 's/{{HeartbeatMs}}/1200/; s/{{Bounds.GraceS}}/8/; s/{{Bounds.LeaseMs}}/3000/' \
      -e 's/{{Bounds.CeilingWindowS}}/5/; s/{{Bounds.RetryBudgetRatio}}/0.2/' \
      -e 's/{{Bounds.RetryBudgetSlack}}/54/; s/{{Bounds.BudgetWindowS}}/10/' \
      "$ROOT/deploy/$1"
}

# start NAME COMMAND...: a process of the script's own, from the repository's root.
start() {
  local name=$1
  shift
  (cd "$ROOT" && exec "$@" >>"$SCRATCH/$name.log" 2>&1) &
  PIDS[$name]=$!
}

start_core() { # NUMBER BOOTSTRAP
  local name=core-$1
  mkdir -p "$SCRATCH/$name"
  fill core.ini "$name" "$(core_ip "$1")" "z$(($1 % 3))" "$2" >"$SCRATCH/$name.ini"
  start "$name" target/platform/figrack-core --config "$SCRATCH/$name.ini"
  note "started $name"
}

start_gateway() { # NUMBER
  local name=gateway-$1
  fill gateway.ini "$name" "$(gateway_ip "$1")" "z$(($1 % 3))" false >"$SCRATCH/$name.ini"
  start "$name" target/platform/figrack-gateway --config "$SCRATCH/$name.ini"
  note "started $name"
}

kill_processes() { # NAME...
  local name
  for name in "$@"; do kill -KILL "${PIDS[$name]}" 2>/dev/null; done
  for name in "$@"; do
    wait "${PIDS[$name]}" 2>/dev/null
    unset "PIDS[$name]"
    note "killed $name"
  done
}

start_server() { # NAME NUMBER SERVICE ZONE CONTROLS KEY=VALUE...
  local name=$1 number=$2 service=$3 zone=$4 controls=$5
  shift 5
  start "$name" "$STANDIN" server id="$name" service="$service" zone="$zone" slots=96 \
    version=v1 listen="$(server_ip "$number"):$SERVE" controls="$controls" record="$SCRATCH/record.$name" \
    names="$NAMES" "$@"
}

# controls_from NUMBER: the addresses of all cores, beginning with that one.
controls_from() {
  local list="" i
  for ((i = 0; i < CORES; i++)); do list+="${list:+,}$(core_ip $((($1 + i) % CORES))):$CONTROL"; done
  echo "$list"
}

gateways() {
  local list="" i
  for ((i = 0; i < GATEWAYS; i++)); do list+="${list:+,}$(gateway_ip $i):$FRONT"; done
  echo "$list"
}

# send_config FILE: to each core in turn, as an operator does. Prints the first status that is an
# answer of the leader.
send_config() {
  local i status
  for ((i = 0; i < CORES; i++)); do
    status=$("$STANDIN" call POST "$(core_ip $i):$CONTROL" /v1/config/replace "$1" | head -1)
    note "config ${1##*/} to core-$i status $status"
    case $status in 0 | 307 | 5??) ;; *) echo "$status"; return ;; esac
  done
  echo "$status"
}

# read_config: the configuration that the leader holds.
read_config() {
  local i answer
  for ((i = 0; i < CORES; i++)); do
    answer=$("$STANDIN" call GET "$(core_ip $i):$CONTROL" /v1/config/read)
    if [ "$(head -1 <<<"$answer")" = 200 ]; then tail -n +2 <<<"$answer"; return; fi
  done
}

# deploy FILE: starts cores and gateways and sends the first configuration.
deploy() {
  local i tries
  for ((i = 0; i < CORES; i++)); do start_core $i true; done
  for ((i = 0; i < GATEWAYS; i++)); do start_gateway $i; done
  for ((tries = 0; ; tries++)); do
    [ $tries -lt 50 ] || cannot_run "the first configuration is not acknowledged"
    [ "$(send_config "$1")" = 200 ] && break
    sleep 0.2
  done
  await_ready
}

await_ready() {
  local i tries
  for ((i = 0; i < GATEWAYS; i++)); do
    for ((tries = 0; ; tries++)); do
      [ $tries -lt 50 ] || cannot_run "gateway-$i is not ready"
      [ "$("$STANDIN" call GET "$(gateway_ip $i):$READY" /v1/readiness | head -1)" = 200 ] && break
      sleep 0.2
    done
  done
}

# start_clients NAME KEY=VALUE...
start_clients() {
  local name=$1
  shift
  start "$name" "$STANDIN" clients prefix="$name-" host=$HOST gateways="$(gateways)" \
    record="$SCRATCH/record.$name" names="$NAMES" "$@"
}

await_process() { wait "${PIDS[$1]}" 2>/dev/null; unset "PIDS[$1]"; }

# route NAME PREFIX KIND SERVICE TIMEOUT_MS [MAX_ATTEMPTS RESUMABLE]
route() {
  printf '{"Name":"%s","Host":"%s","PathPrefix":"%s","Kind":"%s","TimeoutMs":%s,' "$1" $HOST "$2" "$3" "$5"
  printf '"TargetLatencyMs":300,"Priority":1,"Service":"%s","MaxAttempts":%s,"Sticky":false,"Resumable":%s}' \
    "$4" "${6:-2}" "${7:-false}"
}

service() { # NAME
  printf '{"Name":"%s","HealthPath":"/health","MaxConnections":480,"Protocol":"h1","Tls":false}' "$1"
}

config() { # VERSION ROUTES SERVICES
  printf '{"Version":%s,"Routes":[%s],"Services":[%s],' "$1" "$2" "$3"
  printf '"Limits":{"HeaderBytes":16384,"BodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}'
}
