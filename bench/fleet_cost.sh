#!/usr/bin/env bash
# Control cost of an idle fleet of real routers on loopback: bytes sent to
# peers, processor time and memory for each daemon.
#   bench/fleet_cost.sh [ROUTERS [SECONDS]]
set -euo pipefail
cd "$(dirname "$0")/.."
routers=${1:-8}
span=${2:-20}
export MIMOSA_PEER_SECRET=peer-secret-of-the-bench
export MIMOSA_OPERATOR_SECRET=operator-secret-of-the-bench
pids=()
cleanup() { kill -KILL "${pids[@]}" 2>/dev/null || true; wait 2>/dev/null || true; }
trap cleanup EXIT
build/standins/standin-platform --listen=127.0.0.1:21000 >/dev/null 2>&1 &
pids+=($!)
sleep 0.5
for ((i = 0; i < routers; ++i)); do
  build/tools/mimosa-router --name="r$i" --failure-domain="d$((i % 4))" \
    --listen=127.0.0.1:$((21100 + i)) --peer-listen=127.0.0.1:$((21300 + i)) \
    --operator-listen=127.0.0.1:$((21500 + i)) --platform=127.0.0.1:21000 \
    >/dev/null 2>&1 &
  pids+=($!)
done
metric() {
  curl -s -H "Authorization: Bearer $MIMOSA_OPERATOR_SECRET" \
    "http://127.0.0.1:$1/metrics" | awk '/^mimosa_peer_bytes_sent/ {print $2}'
}
total() {
  local sum=0 ticks=0 i
  for ((i = 0; i < routers; ++i)); do
    sum=$(awk -v a="$sum" -v b="$(metric $((21500 + i)))" 'BEGIN {printf "%d", a + b}')
    ticks=$((ticks + $(awk '{print $14 + $15}' "/proc/${pids[$((i + 1))]}/stat")))
  done
  echo "$sum $ticks"
}
sleep 12
read -r bytes0 ticks0 < <(total)
sleep "$span"
read -r bytes1 ticks1 < <(total)
rss=$(awk '/VmRSS/ {print $2}' "/proc/${pids[1]}/status")
awk -v n="$routers" -v s="$span" -v b=$((bytes1 - bytes0)) \
  -v t=$((ticks1 - ticks0)) -v hz="$(getconf CLK_TCK)" -v rss="$rss" 'BEGIN {
  printf "%d routers: %.0f B/s sent to peers, %.2f%% of a core, %d KB resident, each\n",
    n, b / n / s, 100 * t / hz / n / s, rss }'
