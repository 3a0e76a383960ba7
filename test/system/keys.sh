#!/usr/bin/env bash
# Guards against a withdrawn key that is in use again after a restart: one
# process of each role is restarted beside a balancer and an agent that still
# hold the old key and offer their records; these are refused, and nothing is
# opened by the two.
set -euo pipefail
cd "$(dirname "$0")/../.."
BASE_PORT=${BASE_PORT:-27000}
source scripts/lib/cluster.sh

key_line() { echo "$1 $(od -An -vtx1 -N32 /dev/urandom | tr -d ' \n')"; }
write_keys() { (umask 077 && printf '%s\n' "$@" >"$work/cluster.key.new" && mv "$work/cluster.key.new" "$work/cluster.key"); }
rotate_to() { # LINE...
  local name
  write_keys "$@"
  for name in "${!pids[@]}"; do
    case $name in control-* | balancer-* | agent-*) kill -HUP "${pids[$name]}" ;; esac
  done
  sleep 1
}
received() { # METRICS OFFSET, OUTCOME: datagrams and frames
  exec 8<>"/dev/tcp/127.0.0.1/$(port "$1")"
  printf 'GET /metrics HTTP/1.0\r\n\r\n' >&8
  awk -v outcome="outcome=\"$2\"" '/^cornelshore_datagrams_received_total/ && index($0, outcome) {sum += $2} END {printf "%d\n", sum}' <&8
  exec 8>&-
}
refuses_old() { [ "$(received "$1" unknown_key)" -ge 3 ]; }
knows_version() { [ -n "$(version_at "$1" || true)" ] && [ "$(version_at "$1")" -ge 1 ]; }

first=$(key_line 1)
second=$(key_line 2)
write_key() { write_keys "$first"; }
start_cluster
(umask 077 && cp "$work/cluster.key" "$work/old.key")
# Without itself among its seeds: what it opens is another's.
sed -i "s#$work/cluster.key#$work/old.key#; s#, \"$(at 130)\"##" "$work/balancer-3.toml" "$work/agent-4.toml"
end balancer-3 TERM || fail "balancer-3 did not stop in order"
start_process balancer-3
wait_until 60 "the peer with the key of its own file knows the hosts" hosts_in_state ready 4

rotate_to "$first" "$second"
rotate_to "$second" "$first"
wait_until 60 "hosts known while both keys are alive" hosts_in_state ready 4
end agent-4 TERM || fail "agent-4 did not stop in order"
most_ready() { # COUNT: at the two balancers with the new key
  local i
  for i in 1 2; do
    [ "$(ctl hosts --to "$(at "1${i}1")" --json 2>/dev/null | grep -o '"state":"ready"' | wc -l)" -le "$1" ] || return 1
  done
}
least_ready() { # COUNT
  local i
  for i in 1 2; do
    [ "$(ctl hosts --to "$(at "1${i}1")" --json 2>/dev/null | grep -o '"state":"ready"' | wc -l)" -ge "$1" ] || return 1
  done
}
wait_until 60 "agent-4 has left" most_ready 3
rotate_to "$second"
echo "event=withdrawn key=1"
for name in control-1 balancer-1 agent-1; do
  echo "event=restart process=$name"
  end "$name" TERM || fail "$name did not stop in order"
  start_process "$name"
done
wait_until 60 "the restarted control process serves" knows_version 11
wait_until 60 "the restarted balancer serves" knows_version 111
wait_until 60 "the restarted agent serves" views_fresh 1
# Each of the two is started with the old key alone, so that it offers its
# records and asks for others'.
end balancer-3 KILL || true
start_process balancer-3
for offset in 12 112; do
  wait_until 60 "the old key is refused at offset $offset" refuses_old $offset
  echo "unknown_key_at_offset_$offset=$(received $offset unknown_key)"
done
sleep 3
[ "$(received 132 opened)" -eq 0 ] || fail "the balancer with the old key opened something"
[ -z "$(version_at 131 || true)" ] || [ "$(version_at 131)" -eq 0 ] || fail "the peer with the old key learned the configuration"
for process in control-1 control-2 control-3 balancer-1 balancer-2 agent-1 agent-2 agent-3; do
  kill -0 "${pids[$process]}" || fail "$process ended"
done
end balancer-3 KILL || true
before=$(received 12 unknown_key)
start_process agent-4
refuses_more() { [ "$(received 12 unknown_key)" -gt "$before" ]; }
wait_until 60 "the agent with the old key is refused" refuses_more
# A restart of the whole system, all of it with the new key, remains in order.
for name in control-2 control-3 balancer-2 agent-2; do
  end "$name" TERM || fail "$name did not stop in order"
  start_process "$name"
done
wait_until 60 "the last restarted balancer serves" knows_version 121
wait_until 60 "the old key is refused at offset 22" refuses_old 22
wait_until 60 "three hosts ready" least_ready 3
sleep 3
most_ready 3 || fail "a host with the old key was accepted"
[ "$(received 242 opened)" -eq 0 ] || fail "the agent with the old key opened something"
echo "event=passed"
