#!/usr/bin/env bash
# Flows of segments through the three roles: they outlive a balancer's planned
# stop, its kill and an agent's restart; the control group forms itself from
# its seeds, replaces a wiped member and keeps each acknowledged configuration;
# bad input changes nothing.
set -euo pipefail
cd "$(dirname "$0")/../.."
BASE_PORT=${BASE_PORT:-22000}
source scripts/lib/cluster.sh
source scripts/lib/relay.sh

settings_of() { # ROLE NAME IP
  head_of_relay "$1" "$2" "$3" dc-1 3 40000 1000000
  operator_section "$3"
}

write_member() { # INDEX BOOTSTRAP
  mkdir -p "$work/disk-$1"
  {
    settings_of control "127.0.1.$1:$api_port" "127.0.1.$1"
    control_section "127.0.1.$1" "$work/disk-$1" "$2"
  } >"$work/control-$1.toml"
}

write_entry() { # INDEX
  {
    settings_of balancer "entry-$1" "127.0.2.$1"
    balancer_section "127.0.2.$1"
  } >"$work/entry-$1.toml"
}

write_side() { # INDEX SERVICE
  {
    settings_of agent "side-$1" "127.0.3.$1"
    agent_section "127.0.3.$1" 200 "$2"
  } >"$work/side-$1.toml"
}

start_host() { # INDEX SERVICE
  start "host-$1" "$build/standin_segments" host --name "host-$1" --service "$2" \
    --listen "127.0.3.$1:$upstream_port" --outbound "127.0.3.$1:$outbound_port" --reports "127.0.3.$1:$api_port"
}

configuration() { # VERSION
  printf '{"version":%s,"routes":[{"name":"boards","hostname":"198.18.0.1","path-prefix":"/443/","type":"safe","timeout-ms":1000,"target-latency-ms":150,"priority":2,"service":"boards"}],"services":[{"name":"boards"},{"name":"sheets"}],"limits":{"idle-timeout-ms":15000}}' "$1"
}

put_at() { # INDEX VERSION
  call "127.0.1.$1" "$api_port" PUT /cornelshore/config "$(configuration "$2")" 2>/dev/null | grep -q '^HTTP/1.1 200'
}

put_anywhere() { # VERSION
  local i
  for i in 1 2 3 4 5; do put_at "$i" "$1" && return 0; done
  return 1
}

reads_at() { # INDEX VERSION
  call "127.0.1.$1" "$api_port" GET /cornelshore/config "" 2>/dev/null | tr -d '\r' | tail -n 1 | grep -qF "$(configuration "$2")"
}

voters() { # at any member that answers
  local i state
  for i in 1 2 3 4 5; do
    state=$(ctl state "127.0.1.$i:$operator_port" --json 2>/dev/null) || continue
    grep -q '"holds_lease":true' <<<"$state" || continue
    grep -o '"role":"voter"' <<<"$state" | wc -l
    return 0
  done
  echo 0
}

five_voters() { [ "$(voters)" -eq 5 ]; }

for i in 1 2 3 4 5; do write_member $i true; done
for i in 1 2; do write_entry $i; done
write_side 1 boards
write_side 2 boards
write_side 3 sheets
for file in "$work"/*.toml; do "$build/cornelshored" --config "$file" --check >/dev/null; done
for i in 1 2 3 4 5; do start_process "control-$i"; done
for i in 1 2; do start_process "entry-$i"; done
for i in 1 2 3; do start_process "side-$i"; done
for i in 1 2; do start_host $i boards; done
start_host 3 sheets
wait_until 30 "a configuration is acknowledged" put_anywhere 5
for i in 1 2; do wait_until 30 "balancer $i is ready" ready_at $i; done
wait_until 30 "five voters" five_voters

start callers "$build/standin_segments" callers --listen "127.0.9.1:$packet_port" --service 198.18.0.1:443 --flows 40 \
  --balancer "127.0.2.1:$packet_port" --balancer "127.0.2.2:$packet_port"
sleep 2
echo "event=stop_balancer"
end entry-1 TERM || fail "a balancer did not stop in order"
start_process entry-1
wait_until 30 "balancer 1 is ready again" ready_at 1
echo "event=kill_balancer"
end entry-2 KILL || true
start_process entry-2
wait_until 30 "balancer 2 is ready again" ready_at 2
echo "event=kill_agent"
end side-1 KILL || true
start_process side-1
sleep 2

echo "event=bad_input"
put_at 1 0 && fail "version 0 was acknowledged"
call 127.0.1.2 "$api_port" PUT /cornelshore/config '{"version":99,' | grep -q '^HTTP/1.1 400' || fail "a cut configuration got no 400"
call 127.0.3.1 "$api_port" PUT /cornelshore/instances/other '{"state":1}' | grep -q '^HTTP/1.1 400' || fail "a foreign heartbeat got no 400"
for address in "127.0.2.1/$packet_port" "127.0.2.1/$node_port" "127.0.3.1/$outbound_port" "127.0.3.1/$node_port"; do
  for _ in $(seq 20); do head -c 60 /dev/urandom >"/dev/udp/$address"; done
done
for address in "127.0.1.1/$api_port" "127.0.1.1/$node_port" "127.0.2.1/$ready_port"; do
  head -c 2000 /dev/urandom >"/dev/tcp/$address" || true
done
for i in 1 2 3 4 5; do wait_until 10 "member $i reads version 5" reads_at $i 5; done

echo "event=wipe_member"
end control-2 KILL || true
rm -rf "$work/disk-2"
write_member 2 false
start_process control-2
wait_until 30 "a configuration is acknowledged" put_anywhere 7
wait_until 30 "five voters" five_voters
echo "event=kill_all_of_control"
for i in 1 2 3 4 5; do end "control-$i" KILL || true; done
for i in 1 2 3 4 5; do start_process "control-$i"; done
for i in 1 2 3 4 5; do wait_until 30 "member $i reads version 7" reads_at $i 7; done
put_anywhere 6 || fail "an overtaken version was not acknowledged"
for i in 1 2 3 4 5; do reads_at $i 7 || fail "member $i lost version 7"; done

echo "event=leave_host"
end host-1 TERM || fail "a host did not end"
sleep 3
code=0
end callers TERM || code=$?
cat "$work/callers.out"
[ $code -eq 0 ] || fail "the callers ended with $code"
[ "$(figure answered)" -gt 500 ] || fail "too few requests were answered"
[ "$(figure wrong)" -eq 0 ] || fail "an answer came from another host than the flow's"
[ "$(figure silent)" -eq 0 ] || fail "a flow went silent"
[ "$(figure reset)" -eq 0 ] || fail "an open flow was reset"
# A flow that outlived its balancer, told from the logs alone.
callers_of() { # EVENT LOG...
  local event=$1
  shift
  sed -n "s/.* event=$event caller=\([^ ]*\) .*/\1/p" "$@" | sort -u
}
# Of many flows in one second only some have all their lines: the rest are left
# out by the limit of lines a second, which the log says (flow_lines_left_out).
told=$(comm -12 <(callers_of flow_found "$work"/entry-*.log) <(callers_of flow_taken "$work"/side-*.log) |
  comm -12 - <(callers_of flow_opened "$work"/entry-*.log) | head -n 1)
[ -n "$told" ] || fail "no flow was opened and later looked for"
ctl trace "$told" "$work"/entry-*.log "$work"/side-*.log >"$work/story.out" || fail "the story of $told could not be told"
for event in flow_taken flow_opened flow_searched flow_found; do
  grep -q " $event " "$work/story.out" || fail "the story of $told lacks $event"
done
grep -Eq '^clock of side-[0-9]: [-+0-9.]+ to [-+0-9.]+ ms$' "$work/story.out" || fail "no agent's clock was bounded"
for i in 1 2; do kill -0 "${pids[entry-$i]}" || fail "a balancer ended"; done
for i in 1 2 3; do kill -0 "${pids[side-$i]}" || fail "an agent ended"; done
echo "event=passed"
