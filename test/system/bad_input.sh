#!/usr/bin/env bash
# Truncated, oversized, random and replayed bytes on every port are counted and
# dropped: no process ends or grows, and the service goes on.
set -euo pipefail
cd "$(dirname "$0")/../.."
BASE_PORT=${BASE_PORT:-24000}
source scripts/lib/cluster.sh

trap '' PIPE
udp_offsets="10 20 30 110 120 130 115 125 135 116 126 136 117 127 137 210 220 230 240"
tcp_offsets="10 20 30 11 21 31 111 121 131 211 221 231 241"
processes="control-1 control-2 control-3 balancer-1 balancer-2 balancer-3 agent-1 agent-2 agent-3 agent-4"

memory_of() { sed -n 's/^VmRSS:[^0-9]*\([0-9]*\).*/\1/p' "/proc/${pids[$1]}/status"; }

# The same bytes on every run: a stream of the seed's hash.
bytes() { # COUNT SEED
  openssl enc -aes-128-ctr -nosalt -K "$(printf '%032x' "$2")" -iv 0 -in /dev/zero 2>/dev/null | head -c "$1" || true
}

start_cluster
start_callers
declare -A before=()
for name in $processes; do before[$name]=$(memory_of "$name"); done
for seed in $(seq 30); do
  for offset in $udp_offsets; do
    bytes $((seed * 47)) "$seed" >"/dev/udp/127.0.0.1/$(port "$offset")" 2>/dev/null || true
    bytes 60000 "$seed" >"/dev/udp/127.0.0.1/$(port "$offset")" 2>/dev/null || true
  done
done
for offset in $tcp_offsets; do
  for seed in 1 2 3; do
    bytes 5000 $seed >"/dev/tcp/127.0.0.1/$(port "$offset")" 2>/dev/null || true
  done
  printf '{"jsonrpc":"2.0","method":"state","params":[[[[[[[[[[[[1]]]]]]]]]]]],"id":{}}\n[]\n{}\n' \
    >"/dev/tcp/127.0.0.1/$(port "$offset")" 2>/dev/null || true
  for levels in 16 17 1000 100000; do
    nested=$(printf "%${levels}s" '' | tr ' ' '[')
    closed=$(printf "%${levels}s" '' | tr ' ' ']')
    printf '{"jsonrpc":"2.0","method":"state","params":%s%s,"id":1}\n%s\n[1]\n' "$nested" "$closed" "$nested" \
      >"/dev/tcp/127.0.0.1/$(port "$offset")" 2>/dev/null || true
  done
done
sleep 2
for name in $processes; do
  kill -0 "${pids[$name]}" || fail "$name ended"
  grown=$(($(memory_of "$name") - ${before[$name]}))
  [ "$grown" -le 32768 ] || fail "$name grew by $grown KiB"
done
refused() { # INDEX OFFSET: datagrams that a process counted as refused
  exec 8<>"/dev/tcp/127.0.0.1/$(port "$1")"
  printf 'GET /metrics HTTP/1.0\r\n\r\n' >&8
  awk '/^cornelshore_datagrams_received_total/ && !/opened/ {sum += $2} END {print sum + 0}' <&8
  exec 8>&-
}
for offset in 12 112 212; do
  count=$(refused $offset)
  echo "refused_at_offset_$offset=$count"
  [ "$count" -ge 30 ] || fail "bad datagrams were not counted at offset $offset"
done
lines=$(grep -c event=datagrams_refused "$work/balancer-1.log" || true)
echo "log_lines_of_refusals=$lines"
[ "$lines" -ge 1 ] || fail "refused datagrams were not logged"
code=0
end_callers || code=$?
[ $code -eq 0 ] || fail "callers saw broken flows or wrong answers"
collect_runs 1 2 3 4
print_runs
[ "$(most_runs)" -eq 1 ] || fail "an id ran more or less than once"
echo "event=passed"
