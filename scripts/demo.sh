#!/usr/bin/env bash
# Demonstrates a deployment on loopback, with every node and stand-in backend server
# in its own process. It creates the keys, starts the processes, applies the classes
# and sends load. Meanwhile it changes a latency target and kills and restarts one
# backend server and one node. At the end it stops all processes gracefully. Exits
# with 0 only if no request was lost or executed twice and every process stopped
# cleanly.
#
# Usage: demo.sh [nitra|kandyan]
set -euo pipefail
cd "$(dirname "$0")/.."

deployment=${1:-nitra}
run=$PWD/run/$deployment
source scripts/common.sh

case $deployment in
nitra)
  region=sk-zapad zones=(nitra-a nitra-b trnava-c)
  services=(katalog:5:8ms objednavky:3:12ms zasielky:3:4ms)
  slots=10 report_delay=0s
  caller_service=objednavky checked_service=zasielky check_path=/stock/item
  victim_backend=katalog-3 victim_node=katalog-4
  change='s/"latency_target": "60ms"/"latency_target": "50ms"/'
  ;;
kandyan)
  region=lk-west zones=(colombo-a colombo-b negombo)
  services=(pricebook:5:6ms surveys:3:20ms quotes:3:8ms)
  slots=6 report_delay=6ms
  caller_service=quotes checked_service=surveys check_path=/fitters/free
  victim_backend=pricebook-3 victim_node=pricebook-4
  change='s/"latency_target": "50ms"/"latency_target": "45ms"/'
  ;;
*)
  echo "unknown deployment '$deployment': use nitra or kandyan" >&2
  exit 1
  ;;
esac

rm -rf "$run"
mkdir -p "$run"/{keys,settings,logs,records,data}

names=()
declare -A service_of zone_of time_of backend caller service peer admin metrics
i=0
for s in "${services[@]}"; do
  IFS=: read -r name count time <<<"$s"
  for ((n = 1; n <= count; n++)); do
    id=$name-$n
    names+=("$id")
    service_of[$id]=$name zone_of[$id]=${zones[$((i % 3))]} time_of[$id]=$time
    i=$((i + 1))
  done
done

mapfile -t ports < <("$bin/millload" free-ports $((${#names[@]} * 6)))
i=0
for id in "${names[@]}"; do
  for kind in backend caller service peer admin metrics; do
    declare "$kind[$id]=$host:${ports[$i]}"
    i=$((i + 1))
  done
done

# The first instance of each service has the control role.
controls=()
for s in "${services[@]}"; do controls+=("${s%%:*}-1"); done
is_control() { [[ " ${controls[*]} " == *" $1 "* ]]; }
seeds=$(printf '"%s",' "${peer[${controls[0]}]}" "${peer[${controls[1]}]}" "${peer[${controls[2]}]}")
seeds=${seeds%,}

fleet=(operator-1:operator)
for id in "${names[@]}"; do
  if is_control "$id"; then fleet+=("$id:control"); else fleet+=("$id"); fi
done
"$bin/bramleymillctl" keys fleet --folder "$run/keys" "${fleet[@]}" >/dev/null

write_settings() {
  local id=$1 control=""
  if is_control "$id"; then control="\"control\": {\"data_folder\": \"$run/data/$id\"},"; fi
  cat >"$run/settings/$id.json" <<EOF
{
  "node": "$id", "region": "$region", "zone": "${zone_of[$id]}",
  "caller_address": "${caller[$id]}", "service_address": "${service[$id]}",
  "peer_address": "${peer[$id]}", "admin_address": "${admin[$id]}", "metrics_address": "${metrics[$id]}",
  "backend": {"service": "${service_of[$id]}", "address": "${backend[$id]}", "slots": $slots, "connections": 250},
  $control
  "seeds": [$seeds],
  "keys": {"authority": "$run/keys/authority.pem", "certificate": "$run/keys/$id.pem", "private_key": "$run/keys/$id.key"}
}
EOF
}

start_backend() {
  local id=$1
  local extra=()
  if [[ ${service_of[$id]} == "$caller_service" ]]; then
    extra=(--call-url "http://${service[$id]}$check_path" --direct-call-url "http://${backend[$checked_service-1]}$check_path")
  fi
  "$bin/millstandin" --address "${backend[$id]}" --service "${service_of[$id]}" --slots "$slots" \
    --service-time "${time_of[$id]}" --swing-factor 2 --swing-period 300ms --report-lag 500ms \
    --report-delay "$report_delay" --seed "$RANDOM" --record-file "$run/records/$id.records" \
    "${extra[@]}" >>"$run/logs/backend-$id.log" 2>&1 &
  pid[backend-$id]=$!
}

start_node() {
  local id=$1
  "$bin/bramleymill" node --settings "$run/settings/$id.json" >>"$run/logs/node-$id.log" 2>&1 &
  pid[node-$id]=$!
}

admin_addresses=()
for id in "${controls[@]}"; do admin_addresses+=("${admin[$id]}"); done

for id in "${names[@]}"; do
  write_settings "$id"
  "$bin/bramleymill" check-settings "$run/settings/$id.json" >/dev/null
  start_backend "$id"
done
for id in "${names[@]}"; do start_node "$id"; done

start_logs
eventually ctl apply "examples/$deployment/classes.json" --wait --reason "first classes"

all_callers=$(for id in "${names[@]}"; do printf '"%s",' "${caller[$id]}"; done)
direct_of() { for id in "${names[@]}"; do if [[ ${service_of[$id]} == "$1" ]]; then printf '"%s",' "${backend[$id]}"; fi; done; }
list() { printf '[%s]' "${1%,}"; }

case $deployment in
nitra)
  streams=$(cat <<EOF
    {"class": "browse", "method": "GET", "path": "/katalog/gloves", "rate": 300, "idempotent": true, "resends": 2, "direct": $(list "$(direct_of katalog)")},
    {"class": "order", "method": "POST", "path": "/orders", "rate": 40, "body_bytes": 600, "key": true, "resends": 4, "direct": $(list "$(direct_of objednavky)")},
    {"class": "donation", "method": "POST", "path": "/donations", "rate": 15, "body_bytes": 300, "key": true, "resends": 4, "direct": $(list "$(direct_of objednavky)")}
EOF
  ) ;;
kandyan)
  streams=$(cat <<EOF
    {"class": "price", "method": "GET", "path": "/prices/liner", "rate": 300, "idempotent": true, "resends": 2, "direct": $(list "$(direct_of pricebook)")},
    {"class": "survey", "method": "POST", "path": "/surveys", "rate": 15, "body_bytes": 2000, "direct": $(list "$(direct_of surveys)")},
    {"class": "quote", "method": "POST", "path": "/quotes", "rate": 40, "body_bytes": 400, "key": true, "resends": 4, "direct": $(list "$(direct_of quotes)")}
EOF
  ) ;;
esac
cat >"$run/plan.json" <<EOF
{"seed": 1, "duration": "10s", "direct_duration": "3s", "nodes": $(list "$all_callers"), "streams": [
$streams
]}
EOF

"$bin/millload" run "$run/plan.json" --records "$run/records" --outcomes "$run/outcomes.jsonl" >"$run/table.txt" 2>"$run/logs/load.log" &
pid[load]=$!

sleep 5
sed "$change" "examples/$deployment/classes.json" >"$run/changed.json"
ctl apply "$run/changed.json" --wait --reason "tighter target"
sleep 1
echo "kill backend server $victim_backend"
kill -9 "${pid[backend-$victim_backend]}"
sleep 1.5
echo "kill node $victim_node"
kill -9 "${pid[node-$victim_node]}"
sleep 1
echo "restart backend server $victim_backend and node $victim_node"
start_backend "$victim_backend"
start_node "$victim_node"

load_status=0
wait "${pid[load]}" || load_status=$?
unset 'pid[load]'
ctl status || true

# Stop the nodes without the control role first, then the control instances one by
# one, then the backend servers.
stop_status=0
plain=() backends=()
for id in "${names[@]}"; do
  backends+=("backend-$id")
  if ! is_control "$id"; then plain+=("node-$id"); fi
done
stop "${plain[@]}" || stop_status=1
for id in "${controls[@]}"; do stop "node-$id" || stop_status=1; done
stop "${backends[@]}" || stop_status=1

if [[ $load_status -ne 0 ]]; then tail -n 20 "$run/logs/load.log" >&2; fi
cat "$run/table.txt"
if [[ $load_status -ne 0 || $stop_status -ne 0 ]]; then exit 1; fi
