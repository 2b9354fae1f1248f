#!/usr/bin/env bash
# Runs all measurements on loopback on this machine: load balancing policies, the
# request hop between two nodes, the latency that nodes add, and the Go benchmarks.
# The results replace bench/results only if every part succeeded.
#
# "bench.sh path [OPTION...]" measures only the latency that nodes add, passes
# the options to "millbench path" and leaves the results in run/bench/results.
#
# Environment variables:
#   BENCH_SEED  random seed of the measurements, 0 by default
#   BENCH_NOTE  note to store with the results, for example that the machine was busy
#   BENCH_BIN   folder of the commands, so that two builds can be measured alternately
set -euo pipefail
cd "$(dirname "$0")/.."

part=${1:-all}
case $part in
all) ;;
path) shift ;;
*) echo "unknown part $part, expected none or path" >&2; exit 2 ;;
esac
path_options=("$@")
if [[ $part == all ]]; then path_options=(); fi

run=$PWD/run/bench
source scripts/common.sh
bin=${BENCH_BIN:-$bin}
seed=${BENCH_SEED:-0}
note=${BENCH_NOTE:-}
rm -rf "$run"
mkdir -p "$run"/{keys,settings,logs,data,results}

bench() { "$bin/millbench" "$@" --results "$run/results" --seed "$seed" --note "$note"; }

controls=(control-1 control-2 control-3)
nodes=("${controls[@]}" entry server)
mapfile -t ports < <("$bin/millload" free-ports 24)
address() { printf '%s:%s' "$host" "${ports[$1]}"; }
"$bin/bramleymillctl" keys fleet --folder "$run/keys" operator-1:operator hop-client hop-server \
  control-1:control control-2:control control-3:control entry server >/dev/null

if [[ $part == all ]]; then
echo "policies on recorded traces"
bench policies replay/testdata

echo "request hop"
# These options apply to both sides of the hop. key_flags is not quoted, because it
# prints several flags.
hop=(--http1 "$(address 20)" --http2 "$(address 21)" --quic "$(address 22)")
"$bin/millbench" hop-server "${hop[@]}" $(key_flags hop-server) >"$run/logs/hop-server.log" 2>&1 &
pid[hop-server]=$!
# Wait for the listeners: run one short round until it succeeds, and discard its result.
eventually "$bin/millbench" hop "${hop[@]}" $(key_flags hop-client) --results "$run/warm-up" --rounds 1 --round 10ms
bench hop "${hop[@]}" $(key_flags hop-client)
stop hop-server
fi

echo "latency added by the nodes"
# With a fixed service time of 2 ms, a slot executes 500 requests a second. Two of
# the ten slots are reserved for urgent internal checks, so the measured class can
# use 8 slots, which gives a capacity of 4,000 requests a second.
slots=10 service_time=2ms capacity=4000
backend=$(address 23)
seeds="\"$(address 1)\", \"$(address 5)\", \"$(address 9)\""
"$bin/millstandin" --address "$backend" --service katalog --slots "$slots" --connections 2000 --service-time "$service_time" \
  --spread 0 --swing-factor 1 --swing-period 0s --cold-start 0s --open-delay 0s --answer-bytes 512 --seed "$seed" >"$run/logs/backend.log" 2>&1 &
pid[backend]=$!
i=0
for id in "${nodes[@]}"; do
  extra=""
  if [[ $id == control-* ]]; then extra="\"control\": {\"data_folder\": \"$run/data/$id\"},"; fi
  if [[ $id == server ]]; then
    extra="\"backend\": {\"service\": \"katalog\", \"address\": \"$backend\", \"slots\": $slots, \"connections\": 250},"
  fi
  cat >"$run/settings/$id.json" <<JSON
{"node": "$id", "region": "sk-zapad", "zone": "nitra-a", "caller_address": "$(address $((i * 4)))", "peer_address": "$(address $((i * 4 + 1)))",
 "admin_address": "$(address $((i * 4 + 2)))", "metrics_address": "$(address $((i * 4 + 3)))", $extra "seeds": [$seeds],
 "keys": {"authority": "$run/keys/authority.pem", "certificate": "$run/keys/$id.pem", "private_key": "$run/keys/$id.key"}}
JSON
  "$bin/bramleymill" node --settings "$run/settings/$id.json" >"$run/logs/$id.log" 2>&1 &
  pid[$id]=$!
  i=$((i + 1))
done

admin_addresses=("$(address 2)")
start_logs
eventually ctl apply bench/classes.json --wait --reason "benchmark"
eventually bench path --results "$run/warm-up" --nodes-url "http://$(address 12)/katalog/x" --direct-url "http://$backend/katalog/x" \
  --capacity 200 --light 100 --light-rounds 1 --half-rounds 1
bench path --nodes-url "http://$(address 12)/katalog/x" --direct-url "http://$backend/katalog/x" --capacity "$capacity" "${path_options[@]}"
for id in entry server "${controls[@]}" backend; do stop "$id"; done

if [[ $part == path ]]; then
  cat "$run/results/path.json"
  exit
fi

echo "Go benchmarks"
# Packages run one at a time so that they do not disturb each other. The benchmarks
# of replica and wal sync to the disk of this machine.
go_bench() { "${GO:-go}" test -run '^$' -p 1 -benchmem -timeout 90s "$@" | tee -a "$run/go.txt"; }
go_bench -bench '^(BenchmarkPick|BenchmarkPickParallel|BenchmarkStartedFinished)$' -benchtime 0.5s ./pick
go_bench -bench '^(BenchmarkGate|BenchmarkBudget)$' -benchtime 0.5s ./admit ./retry
go_bench -bench '^BenchmarkBeginFinish$' -benchtime 0.5s ./claim
go_bench -bench '^BenchmarkPropose$' -benchtime 1s ./replica
go_bench -bench '^BenchmarkAppend$' -benchtime 1s ./wal
go_bench -bench '^BenchmarkCall$' -benchtime 1s ./proxy ./transport
go_bench -bench '^(BenchmarkServers|BenchmarkHeartbeatAtParent)$' -benchtime 0.5s ./member
bench go "$run/go.txt"

bench page
rm -rf bench/results
mkdir -p bench
cp -r "$run/results" bench/results
echo "results are in bench/results"
