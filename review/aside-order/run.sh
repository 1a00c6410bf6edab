#!/usr/bin/env bash
# A runner crashes while it writes streams that may be resumed; runners of two software versions serve side by
# side. Exits with 1 if more than two streams hold events of both versions, 0 if not, 2 if it could not run.
# TROUBLE=0: no runner crashes.
cd "$(dirname "$0")/../.."
. review/standin/fleet.sh
prepare review/aside-order

for number in 0 1 2; do start_core "$number" true; done
start_gateway
runner_settings=(service=redaction events=20 gap_ms=150 models=m1)
start_runner i-a 31 version=v1 "${runner_settings[@]}"
crashing=$runner_pid
for last in 32 33; do start_runner "i-$last" "$last" version=v1 "${runner_settings[@]}"; done
for last in 34 35 36 37; do start_runner "i-$last" "$last" version=v2 "${runner_settings[@]}"; done

cat >"$folder/config.json" <<JSON
{"Version":1,"Routes":[{"Name":"r-urgent","Host":"$host","PathPrefix":"/urgent/","Kind":"stream",
"TimeoutMs":13000,"TargetLatencyMs":2000,"Priority":1,"Service":"redaction","MaxAttempts":2,"Sticky":true,
"Resumable":true,"GapTargetMs":500}],
"Services":[{"Name":"redaction","HealthPath":"/health","MaxConnections":490,"Protocol":"h1","Tls":false,
"Engine":{"Slots":96,"KvCapacity":199365,"KvBytes":131072,"LinkMbps":550000.0,"Moves":true,"Backups":true,
"Stride":5,"MaxCount":12,"HostMb":60000.0,"DiskMb":230000.0,"PinMs":4000.0,"HoldMs":2000.0,"handle_s":5.0,
"Models":[{"Name":"m1","WeightsMb":16100.0,"LoadS":6.0,"Adapters":0,"AdapterMb":14.0,"WarmS":0.27,"DiskS":0.35}],
"WeightsMb":83000.0,"MaxAdapters":8,"LoadsPerS":3.1}}],
"Limits":{"HeaderBytes":16384,"BodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}
JSON
configure "$folder/config.json"
await_ready
sleep 4 # All runners have announced themselves.

"$standin" streams "wire=$wire" "log=$record" "to=$gateway_ip:$front_port" "host=$host" path=/urgent/ \
  deadline_ms=13000 count=70 model=m1 &
callers=$!
pids+=("$callers")
sleep 1.8
if [ "${TROUBLE:-1}" != 0 ]; then
  stamp "script kills runner i-a"
  kill -KILL "$crashing"
fi
wait "$callers"

grep ' caller stream-[0-9]* event ' "$record" |
  awk '{ versions[$3 " " $8]++ } END { for (key in versions) { split(key, part, " "); count[part[1]]++ }
    for (id in count) { all++; mixed += count[id] > 1 } print all + 0, mixed + 0 }' >"$folder/result"
read -r all mixed <"$folder/result"
complete=$(grep -c ' caller stream-[0-9]* complete' "$record")
resumed=$(grep -c 'runs request .* after event [1-9]' "$record")
stamp "result: $all streams with events, $complete complete, $resumed taken up at another runner, $mixed with" \
  "events of two versions"
tail -1 "$record"
[ "$all" -ge 60 ] || cannot_run "only $all streams began"
[ "$mixed" -le 2 ]
