#!/usr/bin/env bash
# The agent beside a host that has just started is stopped and started in a
# planned way, between the host's first heartbeat, counted 0, and its second one.
# Flows that the host has opened must stay. TROUBLE=0: the agent is not stopped.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../../.."
source review/lib.sh

configuration='{"version":1,"routes":[{"name":"boards","hostname":"198.18.0.1","path-prefix":"/443/","type":"safe","timeout-ms":1000,"target-latency-ms":150,"priority":2,"service":"sillero","max-attempts":2}],"services":[{"name":"sillero","health-path":"/health","max-conns":2000,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}'

for i in 1 2 3 4 5; do write_control $i true; done
for i in 1 2; do write_balancer $i; done
write_agent 1 sillero
for i in 1 2 3 4 5; do start_daemon core-$i; done
for i in 1 2; do start_daemon frontend-$i; done
start_daemon side-1
wait_until 20 "the configuration is acknowledged" put_anywhere "$configuration"
for i in 1 2; do wait_until 20 "balancer $i is ready" ready_at $i; done
sleep 3
note "the system is calm; the host starts"
start_host 1 sillero boot-a --first-seq 0
sleep 0.1
start clients "$standin" clients --listen "$(client_ip 1):8172" --service 198.18.0.1:443 \
  --via "$(balancer_ip 1):8172,$(balancer_ip 2):8172" --flows 30 --every-ms 15 \
  --pause-ms 5000 --limit-ms 1000 --log "$record" --began "$began"
sleep 0.6
if [ "$trouble" != 0 ]; then
  note "the agent gets SIGTERM"
  kill_process side-1 TERM
  start_daemon side-1
  note "the agent starts again"
fi
wait "${pids[clients]}" || cannot_run "the clients failed"
unset "pids[clients]"
for name in "${!pids[@]}"; do
  kill -0 "${pids[$name]}" 2>/dev/null || note "$name has ended"
done

opened=$(sed -n "s/.* host boot-a: flow of port \([0-9]*\) is open/\1/p" "$record" | sort -u)
[ "$(wc -w <<<"$opened")" -ge 10 ] || cannot_run "the host has too few flows"
reset=0
for port in $opened; do
  grep -q "client gets a reset of the system on the flow of port $port," "$record" && reset=$((reset + 1))
done
[ $reset -eq 0 ] || broken "FLOW: $reset of $(wc -w <<<"$opened") flows open at the host were reset"
held "none of $(wc -w <<<"$opened") flows open at the host was reset"
