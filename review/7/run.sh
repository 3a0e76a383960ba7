#!/usr/bin/env bash
# Clients pause on open flows; meanwhile one heartbeat of another writer, with a
# field missing, comes to one host's agent. TROUBLE=0: it does not come.
case_folder=$(cd "$(dirname "$0")" && pwd)
cd "$case_folder/../.."
source review/lib-2.sh

ports=20

configuration() { # VERSION
  printf '{"version":%s,"routes":[{"name":"r-1","hostname":"127.0.8.1","path-prefix":"/443/","type":"safe","timeout-ms":2000,"target-latency-ms":120,"priority":2,"service":"shopfloor","max-attempts":2}],"services":[{"name":"shopfloor","health-path":"/health","max-conns":2000,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}' "$1"
}

warm_up_port=39000
served() {
  warm_up_port=$((warm_up_port + 1))
  ask 1 $warm_up_port 1 warm-up | grep 'answered by' >/dev/null
}
pauses() { grep -q '^pauses on' "$work/flows.out"; }

start_deployment shopfloor shopfloor
sleep 3
put_config "$(configuration 5)"
wait_until 20 "the balancer is ready" is_ready 1
wait_until 10 "a request is served" served
sleep 5

note "flows of ports 40001 to $((40000 + ports)); then a pause of 9 s, of 15 s that idle flows are kept"
start flows "$programs/flows" client --listen "127.0.9.1:$packet_port" --balancer "127.0.2.1:$packet_port" \
  --to 127.0.8.1:443 --first-port 40001 --ports $ports --id first --pause-ms 9000 --record "$record"
ln -s "$work/flows.log" "$work/flows.out"
wait_until 15 "all flows are open" pauses
first=$(grep -c 'first-4.* answered by' "$work/flows.out" || true)
[ "$first" -eq $ports ] || cannot_run "only $first first requests were answered"
sleep 2

odd='{"service":"shopfloor","address":"127.0.3.9:'$app_port'","zone":"tartu-b","slots":3,"state":"ready","warmup-left-ms":0,"seq":1,"born":'$(date +%s%3N)'}'
if [ "${TROUBLE:-1}" != 0 ]; then
  answer=$(call 127.0.3.1 "$api_port" PUT /cornelshore/instances/i-other "$odd" | head -n 1 | tr -d '\r')
  note "heartbeat without 'version' at the agent of shopfloor-1: $answer: $odd"
fi
wait "${pids[flows]}" || true
unset "pids[flows]"

for host in shopfloor-1 shopfloor-2; do
  note "result: $(grep -c "first-4.* answered by $host" "$work/flows.out" || true) flows opened at $host, $(grep -c "again-4.* answered by $host" "$work/flows.out" || true) of them answered after the pause"
done
reset=$(grep -c 'again-4.* reset by the system' "$work/flows.out" || true)
silent=$(grep -c 'again-4.* no answer' "$work/flows.out" || true)
note "result: $reset open flows reset by the system, $silent without an answer, of $ports"
for i in 1 2; do kill -0 "${pids[host-$i]}" || cannot_run "a host ended"; done
[ "$reset" -eq 0 ] || exit 1
exit 0
