#!/usr/bin/env bash
# Guards against calls that a control process has accepted and cuts off without
# an answer when it is stopped in order under load: each call that was sent
# gets an answer, if only that it is not certain. Nor may a call of an operator
# hold up the stop.
set -euo pipefail
cd "$(dirname "$0")/../.."
BASE_PORT=${BASE_PORT:-26000}
source scripts/lib/cluster.sh

stops=${STOPS:-8}
callers=4
node_port=$(port 20) api_port=$(port 66)
seeds="\"127.0.1.1:$api_port\", \"127.0.1.2:$api_port\", \"127.0.1.3:$api_port\""

write_member() { # INDEX
  mkdir -p "$work/disk-$1"
  cat >"$work/control-$1.toml" <<SETTINGS
role = "control"
name = "127.0.1.$1:$api_port"
data_centre = "dc-1"
[node]
address = "127.0.1.$1:$node_port"
seeds = [$seeds]
seeds_share_own_port = true
authentication = "off"
control_bytes_per_second = 40000
control_burst_bytes = 1000000
[operator]
address = "127.0.1.$1:$(port 35)"
[control]
data_folder = "$work/disk-$1"
bootstrap = true
tolerated_losses = 2
api_address = "127.0.1.$1:$api_port"
synced_writes_last = true
SETTINGS
}

configuration() { # VERSION
  printf '{"version":%s,"routes":[{"name":"boards","hostname":"198.18.0.1","path-prefix":"/443/","type":"safe","timeout-ms":1000,"target-latency-ms":150,"priority":2,"service":"boards"}],"services":[{"name":"boards"}],"limits":{}}' "$1"
}

# Sends one call on a connection of its own; sets `status` to the first line of
# the answer, to nothing if there is none, to "refused" without a connection.
call() { # INDEX METHOD BODY
  status=refused
  exec 9<>"/dev/tcp/127.0.1.$1/$api_port" || return 0
  status=
  printf '%s /cornelshore/config HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: %s\r\n\r\n%s' "$2" "${#3}" "$3" >&9 || true
  IFS= read -r -t 12 status <&9 || true
  exec 9>&-
}

put_anywhere() { # VERSION
  local i
  for i in 1 2 3 4 5; do
    call "$i" PUT "$(configuration "$1")" 2>/dev/null
    [[ $status == "HTTP/1.1 200"* ]] && return 0
  done
  return 1
}

answers() { # INDEX
  call "$1" GET "" 2>/dev/null
  [[ $status == "HTTP/1.1 200"* ]]
}

# Calls one process until the file `done` appears; one line a call.
load() { # CALLER
  local version=$((100 + $1)) body
  while [ ! -e "$work/done" ]; do
    version=$((version + callers))
    body=$(configuration $version)
    call 2 PUT "$body" 2>/dev/null
    echo "put ${status:-cut}"
    call 2 GET "" 2>/dev/null
    echo "get ${status:-cut}"
  done
}

ask_as_operator() {
  while [ ! -e "$work/done" ]; do
    ctl show --to "127.0.1.2:$(port 35)" >/dev/null 2>&1 || true
  done
}

trap '' PIPE
for i in 1 2 3 4 5; do write_member $i; done
for i in 1 2 3 4 5; do start_process "control-$i"; done
wait_until 30 "a configuration is acknowledged" put_anywhere 5
wait_until 30 "the process to be stopped answers" answers 2
loads=()
for caller in $(seq $callers); do
  load "$caller" >"$work/calls-$caller.txt" &
  loads+=($!)
done
for _ in 1 2 3; do
  ask_as_operator &
  loads+=($!)
done
slowest=0
for _ in $(seq "$stops"); do
  sleep 1
  before=$(date +%s%N)
  end control-2 TERM || fail "control-2 did not stop in order"
  took=$((($(date +%s%N) - before) / 1000000))
  echo "stopped_within_ms=$took"
  [ "$took" -le "$slowest" ] || slowest=$took
  start_process control-2
  wait_until 30 "the restarted process answers" answers 2
done
touch "$work/done"
wait "${loads[@]}"
cat "$work"/calls-*.txt | tr -d '\r' | sort | uniq -c
answered=$(cat "$work"/calls-*.txt | grep -c 'HTTP/1.1 200' || true)
cut=$(cat "$work"/calls-*.txt | grep -c ' cut$' || true)
echo "calls_acknowledged=$answered"
echo "calls_cut=$cut"
[ "$answered" -ge 50 ] || fail "there was no load"
[ "$slowest" -le 4000 ] || fail "a stop took $slowest ms"
[ "$cut" -eq 0 ] || fail "$cut calls were cut off without an answer"
echo "event=passed"
