#!/usr/bin/env bash
# A host crashes and starts again; flows that the new boot opens before its first
# heartbeat must stay. TROUBLE=0: the host does not crash.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
source review/lib.sh

pause_ms=5000
window_ms=4000 # stability-window-ms
configuration='{"version":1,"routes":[{"name":"boards","hostname":"198.18.0.1","path-prefix":"/443/","type":"safe","timeout-ms":1000,"target-latency-ms":150,"priority":2,"service":"sillero","max-attempts":2}],"services":[{"name":"sillero","health-path":"/health","max-conns":2000,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}'

for i in 1 2 3 4 5; do write_control $i true; done
for i in 1 2; do write_balancer $i; done
write_agent 1 sillero
for i in 1 2 3 4 5; do start_daemon core-$i; done
for i in 1 2; do start_daemon frontend-$i; done
start_daemon side-1
start_host 1 sillero boot-a
wait_until 20 "the configuration is acknowledged" put_anywhere "$configuration"
for i in 1 2; do wait_until 20 "balancer $i is ready" ready_at $i; done
sleep 6
note "the system is calm"

start clients "$standin" clients --listen "$(client_ip 1):8172" --service 198.18.0.1:443 \
  --via "$(balancer_ip 1):8172,$(balancer_ip 2):8172" --flows 60 --every-ms 25 \
  --pause-ms $pause_ms --limit-ms 1000 --log "$record" --began "$began"
sleep 0.5
lives=boot-a
if [ "$trouble" != 0 ]; then
  note "host boot-a crashes"
  kill_process host-1 KILL
  sleep 0.1
  start_host 1 sillero boot-b --first-beat-ms 300
  lives=boot-b
fi
restarted=$(($(now_ms) - began))
wait "${pids[clients]}" || cannot_run "the clients failed"
unset "pids[clients]"
for name in "${!pids[@]}"; do
  kill -0 "${pids[$name]}" 2>/dev/null || note "$name has ended"
done

# Flows that are open at the living host and were reset by the system when the
# host had lived undisturbed for the window.
opened=$(sed -n "s/.* host $lives: flow of port \([0-9]*\) is open/\1/p" "$record" | sort -u)
[ "$(wc -w <<<"$opened")" -ge 10 ] || cannot_run "the living host has too few flows"
reset=0
for port in $opened; do
  at=$(sed -n "s/^\([0-9]*\) ms: client gets a reset of the system on the flow of port $port,.*/\1/p" "$record" | head -n 1)
  if [ -n "$at" ] && [ $((at - restarted)) -gt $window_ms ]; then
    note "flow of port $port, open at host $lives, was reset $((at - restarted)) ms after the last disturbance"
    reset=$((reset + 1))
  fi
done
[ $reset -eq 0 ] || broken "FLOW: $reset of $(wc -w <<<"$opened") flows open at host $lives were reset"
held "none of $(wc -w <<<"$opened") flows open at host $lives was reset"
