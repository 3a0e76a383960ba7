#!/usr/bin/env bash
# A host crashes and starts again; before its first heartbeat the agent beside
# it is restarted in turn. TROUBLE=0: the agent is not restarted.
case_folder=$(cd "$(dirname "$0")" && pwd)
cd "$case_folder/../.."
source review/lib-2.sh

ports=24
services=(shopfloor shopfloor shopfloor shopfloor shopfloor shopfloor shopfloor shopfloor)

configuration() { # VERSION
  printf '{"version":%s,"routes":[{"name":"r-1","hostname":"127.0.8.1","path-prefix":"/443/","type":"safe","timeout-ms":2000,"target-latency-ms":120,"priority":2,"service":"shopfloor","max-attempts":2}],"services":[{"name":"shopfloor","health-path":"/health","max-conns":2000,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}' "$1"
}

warm_up_port=39000
served() {
  warm_up_port=$((warm_up_port + 1))
  ask 1 $warm_up_port 1 warm-up | grep 'answered by' >/dev/null
}

start_deployment "${services[@]}"
sleep 3
put_config "$(configuration 5)"
wait_until 20 "the balancer is ready" is_ready 1
wait_until 10 "a request is served" served
sleep 3

note "shopfloor-1 crashes and starts again as boot-2"
end host-1 KILL
start boot-2 "$programs/flows" host --name boot-2 --service shopfloor --beat-ms 770 --first-beat-ms 360 \
  --listen "127.0.3.1:$app_port" --outbound "127.0.3.1:$outbound_port" --reports "127.0.3.1:$api_port" --record "$record"
sleep 0.02
note "flows of ports 40001 to $((40000 + ports)); then a pause of 10 s, of 15 s that idle flows are kept"
start flows "$programs/flows" client --listen "127.0.9.1:$packet_port" --balancer "127.0.2.1:$packet_port" \
  --to 127.0.8.1:443 --first-port 40001 --ports $ports --id first --pause-ms 10000 --record "$record"
ln -s "$work/flows.log" "$work/flows.out"
for _ in $(seq 20); do
  grep -q '^pauses on' "$work/flows.out" && break
  sleep 0.01
done
grep -q '^pauses on' "$work/flows.out" || cannot_run "the flows took too long to open"
if [ "${TROUBLE:-1}" != 0 ]; then
  note "agent 1 gets SIGTERM and starts again"
  end agent-1 TERM
  start_process agent-1
  note "agent 1 is started"
fi
wait "${pids[flows]}" || true
unset "pids[flows]"

first=$(grep -c 'first-4.* answered by' "$work/flows.out" || true)
[ "$first" -eq $ports ] || cannot_run "only $first first requests were answered"
grep -q 'boot-2 heartbeat not answered' "$record" && cannot_run "the first heartbeat came while the agent was down"
for host in boot-2 shopfloor-; do
  note "result: $(grep -c "first-4.* answered by $host" "$work/flows.out" || true) flows opened at $host, $(grep -c "again-4.* answered by $host" "$work/flows.out" || true) of them answered after the pause"
done
grep -q 'first-4.* answered by boot-2' "$work/flows.out" || cannot_run "no flow was opened at boot-2"
reset=$(grep -c 'again-4.* reset by the system' "$work/flows.out" || true)
silent=$(grep -c 'again-4.* no answer' "$work/flows.out" || true)
note "result: $reset open flows reset by the system, $silent without an answer, of $ports"
for name in boot-2 host-{2..8}; do kill -0 "${pids[$name]}" || cannot_run "a host ended"; done
[ "$reset" -eq 0 ] || exit 1
exit 0
