#!/usr/bin/env bash
# Measures the cost of the control traffic between node processes on loopback.
# NODES processes run, 3 of them with the control role and none with a backend
# server. The script measures the cost at rest, the cost while the configuration
# changes CHANGES times, and the time from the acceptance of a change until it is in
# force on every node. REST is the duration of each of the two cost measurements, and
# MAX_CHILDREN the setting max_children of the control instances. Prints one JSON
# object.
set -euo pipefail
cd "$(dirname "$0")/.."

count=${1:?usage: scale.sh NODES [CHANGES] [REST] [MAX_CHILDREN]}
changes=${2:-20}
rest=${3:-20s}
children=${4:-8}
if ((count < 4 || count > 200)); then
  echo "NODES: use 4 to 200" >&2
  exit 1
fi
run=$PWD/run/scale-$count
source scripts/common.sh
rm -rf "$run"
mkdir -p "$run"/{keys,settings,logs,data}

mapfile -t ports < <("$bin/millload" free-ports $((count * 4)))
fleet=(operator-1:operator)
for ((i = 1; i <= count; i++)); do
  if ((i <= 3)); then fleet+=("n-$i:control"); else fleet+=("n-$i"); fi
done
"$bin/bramleymillctl" keys fleet --folder "$run/keys" "${fleet[@]}" >/dev/null
address() { printf '127.0.0.1:%s' "${ports[$((($1 - 1) * 4 + $2))]}"; }
seeds="\"$(address 1 1)\", \"$(address 2 1)\", \"$(address 3 1)\""

for ((i = 1; i <= count; i++)); do
  control="" role=node
  if ((i <= 3)); then
    control="\"control\": {\"data_folder\": \"$run/data/n-$i\", \"max_children\": $children}," role=control
  fi
  cat >"$run/settings/n-$i.json" <<EOF
{"node": "n-$i", "region": "r", "zone": "z$((i % 3))", "caller_address": "$(address $i 0)", "peer_address": "$(address $i 1)",
 "admin_address": "$(address $i 2)", "metrics_address": "$(address $i 3)", $control "seeds": [$seeds],
 "keys": {"authority": "$run/keys/authority.pem", "certificate": "$run/keys/n-$i.pem", "private_key": "$run/keys/n-$i.key"}}
EOF
  "$bin/bramleymill" node --settings "$run/settings/n-$i.json" >"$run/logs/n-$i.log" 2>&1 &
  pid[$i]=$!
  echo "n-$i $role ${pid[$i]} $(address $i 3) $run/logs/n-$i.log" >>"$run/manifest"
done

admin_addresses=("$(address 1 2)" "$(address 2 2)" "$(address 3 2)")
start_logs
eventually ctl apply examples/nitra/classes.json --wait
sleep 3
at_rest=$("$bin/millload" observe rest "$run/manifest" --for "$rest")
"$bin/millload" observe rest "$run/manifest" --for "$rest" >"$run/busy.json" &
observer=$!
for ((c = 1; c <= changes; c++)); do
  sed "s/\"60ms\"/\"$((60 + c))ms\"/" examples/nitra/classes.json >"$run/classes.json"
  ctl apply "$run/classes.json" >/dev/null
  sleep 0.5
done
wait "$observer"
sleep 2
spread=$("$bin/millload" observe spread "$run/manifest" --after 1)
printf '{"nodes": %d, "max_children": %d, "changes": %d, "rest": %s, "busy": %s, "spread": %s}\n' \
  "$count" "$children" "$changes" "$at_rest" "$(cat "$run/busy.json")" "$spread"
