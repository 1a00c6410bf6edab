#!/usr/bin/env bash
# Three runners are taken away, each acknowledged as gone; right after the last acknowledgement all processes of
# the system are killed and started again. Exits with 1 if a request reaches a runner that is gone later than
# DrainMs after its acknowledgement, from machines in touch, 0 if none does, 2 if it could not run.
# TROUBLE=0: nothing is killed.
cd "$(dirname "$0")/../.."
. review/standin/fleet.sh
prepare review/aside-drain
drain_ms=2000
# A final fault that took most of the core: machines are in touch again after twice ContactMs.
in_touch_ms=6000

for number in 0 1 2; do start_core "$number" true; done
start_gateway
runner_settings=(service=redaction version=v1 events=1 gap_ms=1)
leaving=()
for number in 1 2 3; do
  start_runner "i-leaves-$number" "3$number" "models=busy,rare-$number" "${runner_settings[@]}"
  leaving+=("$runner_pid")
done
# Three of twenty leave.
for last in $(seq 41 57); do start_runner "i-$last" "$last" models=busy "${runner_settings[@]}"; done

models=
for model in busy rare-1 rare-2 rare-3; do
  models+="${models:+,}{\"Name\":\"$model\",\"WeightsMb\":16100.0,\"LoadS\":6.0,\"Adapters\":0,\"AdapterMb\":14.0,"
  models+="\"WarmS\":0.27,\"DiskS\":0.35}"
done
cat >"$folder/config.json" <<JSON
{"Version":1,"Routes":[{"Name":"r-status","Host":"$host","PathPrefix":"/status/","Kind":"idempotent",
"TimeoutMs":1500,"TargetLatencyMs":300,"Priority":2,"Service":"redaction","MaxAttempts":2,"Sticky":true,
"Resumable":false}],
"Services":[{"Name":"redaction","HealthPath":"/health","MaxConnections":490,"Protocol":"h1","Tls":false,
"Engine":{"Slots":96,"KvCapacity":199365,"KvBytes":131072,"LinkMbps":550000.0,"Moves":true,"Backups":true,
"Stride":5,"MaxCount":12,"HostMb":60000.0,"DiskMb":230000.0,"PinMs":4000.0,"HoldMs":2000.0,"handle_s":5.0,
"Models":[$models],"WeightsMb":83000.0,"MaxAdapters":8,"LoadsPerS":3.1}}],
"Limits":{"HeaderBytes":16384,"BodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}
JSON
configure "$folder/config.json"
await_ready
sleep 5 # All runners have announced themselves.

# Three runners leave, 0.25 s apart: each deregisters, serves on, and ends some 12 s later.
for number in 0 1 2; do
  stamp "script tells runner i-leaves-$((number + 1)) to leave"
  kill -USR1 "${leaving[$number]}"
  sleep 0.25
done
if [ "${TROUBLE:-1}" != 0 ]; then
  stamp "script kills all processes of the system"
  kill -KILL "${core_pids[@]}" "$gateway_pid"
  sleep 0.7
  for number in 0 1 2; do start_core "$number" false; done
  start_gateway
fi
back=$(date +%s%3N)
await_ready
for number in 1 2 3; do
  "$standin" probe "wire=$wire" "log=$record" "to=$gateway_ip:$front_port" "host=$host" path=/status/ \
    deadline_ms=1500 "model=rare-$number" for_ms=11000 every_ms=250 "name=rare-$number" &
  probes[$number]=$!
  pids+=($!)
done
sleep 10.5
for pid in "${leaving[@]}"; do kill -KILL "$pid"; done
stamp "script ends the runners that left"
wait "${probes[@]}"

# What reached a runner that is gone: later than DrainMs after the acknowledgement, by machines in touch.
awk -v drain="$drain_ms" -v from=$((back + in_touch_ms)) '
  $2 == "runner" && $4 == "deregistration" && $6 ~ /^2/ && !($3 in acked) { acked[$3] = $1 }
  $2 == "runner" && $6 == "runs" && ($3 in acked) && $1 > acked[$3] + drain && $1 > from { late[$3]++; all++ }
  END { for (id in late) printf "%s: %d; ", id, late[id]; print "all: " all + 0 }' "$record" >"$folder/late"
grep -c ' deregistration answered 2' "$record" >"$folder/acked"
stamp "result: $(cat "$folder/acked") runners acknowledged as gone; requests that reached one of them later than" \
  "DrainMs, from machines in touch: $(cat "$folder/late")"
tail -1 "$record"
[ "$(cat "$folder/acked")" = 3 ] || cannot_run "not every runner was acknowledged"
grep -q 'all: 0' "$folder/late"
