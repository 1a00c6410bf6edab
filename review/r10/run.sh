#!/usr/bin/env bash
# Three servers that leave deregister, 0.25 s apart, and serve on for some seconds; right after the
# last acknowledgement all processes of the system are killed and are back within a second. With TROUBLE=0 they go on.
CASE=$(cd "$(dirname "$0")" && pwd)
GATEWAYS=3 CORES=5
source "$CASE/../standin-2/lib.sh"

DRAIN_MS=2000 CONTACT_MS=3000
config 1 "$(route r /orders/ idempotent desk 3000)" "$(service desk)" >"$SCRATCH/config.json"
deploy "$SCRATCH/config.json"
for i in 0 1 2; do start_server "i-$i" $i desk "z$i" "$(controls_from 0)" work=20 beats=6; done
for i in 3 4; do start_server "i-$i" $i desk "z$((i % 3))" "$(controls_from $i)" work=20; done
sleep 3
start_clients c count=12 path=/orders/ pause=100 seconds=14 deadline=2500 patience=3000
sleep 4

leave() { # SERVER
  local tries core status
  for ((tries = 0; ; tries++)); do
    [ $tries -lt 20 ] || cannot_run "the leaving is not acknowledged"
    core=$((tries % CORES))
    status=$("$STANDIN" call POST "$(core_ip $core):$CONTROL" "/v1/instances/$1/deregister" | head -1)
    note "deregister $1 at core-$core status $status"
    [ "$status" = 200 ] && return
  done
}
leave i-0
sleep 0.25
leave i-1
sleep 0.25
leave i-2
left=$(now_ms)
back=$left
if [ "$TROUBLE" != 0 ]; then
  sleep 0.25
  kill_processes core-{0..4} gateway-{0..2}
  sleep 0.8
  for ((i = 0; i < CORES; i++)); do start_core $i false; done
  for ((i = 0; i < GATEWAYS; i++)); do start_gateway $i; done
  back=$(now_ms)
  note "all are back"
fi
await_process c

# DRAIN: a request reaches a server later than DrainMs after its leaving was acknowledged, sent on
# by machines in touch.
from=$((left + DRAIN_MS))
[ $from -ge $((back + CONTACT_MS)) ] || from=$((back + CONTACT_MS))
late=$(awk -v from=$from '$2 == "run" && $1 > from { n++ } END { print n + 0 }' <(cat "$SCRATCH"/record.i-[012]))
others=$(cat "$SCRATCH"/record.i-[34] | awk -v from=$from '$2 == "run" && $1 > from { n++ } END { print n + 0 }')
note "result run_at_the_three_after_their_leaving $late at_the_others $others"
tail -1 "$SCRATCH/record.script"
[ "$others" -ge 20 ] || cannot_run "too few requests"
[ "$late" -gt 0 ] && exit 1
exit 0
