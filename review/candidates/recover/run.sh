#!/usr/bin/env bash
# One core machine is lost for 12 s and comes back with its disk. Later all processes of the system
# are killed and are back within a second, and the servers come back as new instances. With
# TROUBLE=0 no core machine is lost before.
CASE=$(cd "$(dirname "$0")" && pwd)
GATEWAYS=3 CORES=5
source "$CASE/../../standin-2/lib.sh"

LOST=3 # Not one of the seeds.
config 1 "$(route r /orders/ idempotent desk 3000)" "$(service desk)" >"$SCRATCH/config.json"
deploy "$SCRATCH/config.json"
start_servers() { # GENERATION
  local i
  for i in 0 1 2; do start_server "i-$1-$i" $i desk z0 "$(controls_from $LOST)" work=20; done
}
start_servers a
sleep 3
start_clients c count=6 path=/orders/ pause=300 seconds=62 deadline=2500 patience=3000

sleep 4
if [ "$TROUBLE" != 0 ]; then
  kill_processes core-$LOST
  sleep 12
  start_core $LOST false
else
  sleep 12
fi
sleep 9 # The machine counts as lost for CatchUpS (4 s) after it is back.

final=$(now_ms)
note "final fault"
kill_processes core-{0..4} gateway-{0..2} i-a-{0..2}
sleep 0.8
for ((i = 0; i < CORES; i++)); do start_core $i false; done
for ((i = 0; i < GATEWAYS; i++)); do start_gateway $i; done
start_servers b
back=$(now_ms)
note "all are back"
await_process c

# RECOVER: of the requests sent later than RecoveryS (12 s) after the machines are back, less than
# a quarter is served, though a quarter or more was before the final fault.
count() { awk -v from="$1" -v to="$2" -v served="$3" \
  '$2 == "ended" && $5 >= from && $5 < to && (!served || $7 == 200) { n++ } END { print n + 0 }' "$SCRATCH/record.c"; }
before=$(count 0 "$final" 0) before_served=$(count 0 "$final" 1)
after=$(count $((back + 12000)) 9999999999999 0) after_served=$(count $((back + 12000)) 9999999999999 1)
note "result before $before served $before_served after $after served $after_served"
for ((i = 0; i < CORES; i++)); do
  note "heartbeats of new instances acknowledged by core-$i:" \
    "$(cat "$SCRATCH"/record.i-b-* | grep -c " to $(core_ip $i):.* status 200")"
done
grep ' result \| acknowledged by ' "$SCRATCH/record.script"
[ "$before" -ge 100 ] && [ "$after" -ge 50 ] || cannot_run "too few requests"
[ $((before_served * 4)) -ge "$before" ] || cannot_run "too few were served before the final fault"
[ $((after_served * 4)) -lt "$after" ] && exit 1
exit 0
