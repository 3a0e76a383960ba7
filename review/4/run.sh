#!/usr/bin/env bash
# Most machines in front are lost at once. Once all is calm the desired state
# changes; each change must be in force within config-propagation-ms. TROUBLE=0:
# no machine is lost.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
source review/lib.sh

fronts=91
left=3
changes=14
heartbeat_ms=770
link_mbps=2.0
window_ms=6000      # stability-window-ms
propagation_ms=5000 # config-propagation-ms
slack_ms=200

configuration() { # VERSION SERVICE
  local services
  services=$(printf '{"name":"%s","health-path":"/health","max-conns":2000,"protocol":"h1","tls":false},' shopfloor drawings)
  printf '{"version":%s,"routes":[{"name":"boards","hostname":"198.18.0.1","path-prefix":"/443/","type":"safe","timeout-ms":1000,"target-latency-ms":150,"priority":2,"service":"%s","max-attempts":2}],"services":[%s],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}' "$1" "$2" "${services%,}"
}

for i in 1 2 3 4 5; do write_control $i true; done
for i in $(seq $fronts); do write_balancer "$i"; done
for i in 1 2; do write_agent $i shopfloor; done
for i in 3 4; do write_agent $i drawings; done
for i in 1 2 3 4 5; do start_daemon core-$i; done
for i in $(seq $fronts); do start_daemon "frontend-$i"; done
for i in 1 2 3 4; do start_daemon side-$i; done
for i in 1 2; do start_host $i shopfloor shopfloor-$i; done
for i in 3 4; do start_host $i drawings drawings-$i; done
wait_until 20 "version 1 is acknowledged" put_anywhere "$(configuration 1 shopfloor)"
for i in $(seq $fronts); do wait_until 20 "frontend-$i is ready" ready_at "$i"; done
note "version 1 sends all flows to shopfloor; $fronts machines in front are ready"
sleep 6

if [ "$trouble" != 0 ]; then
  for i in $(seq $((left + 1)) $fronts); do
    disown "${pids[frontend-$i]}"
    kill -KILL "${pids[frontend-$i]}"
    unset "pids[frontend-$i]"
  done
  note "frontend-$((left + 1)) to frontend-$fronts are lost at once"
fi
sleep $(((window_ms + 1000) / 1000))
note "nothing has happened for more than the window"

via=""
for i in $(seq $left); do via+="$(balancer_ip "$i"):8172,"; done
names=(shopfloor drawings)
for change in $(seq $changes); do
  version=$((change + 1))
  new=${names[change % 2]} old=${names[(change + 1) % 2]}
  put_anywhere "$(configuration $version "$new")" || cannot_run "version $version got no confirmation"
  confirmed=$(now_ms)
  note "version $version, which sends all flows to $new, is confirmed"
  while [ $(($(now_ms) - confirmed)) -le $((propagation_ms + slack_ms)) ]; do sleep 0.05; done
  for i in $(seq $left); do ready_at "$i" || cannot_run "frontend-$i is not ready"; done
  for name in "${!pids[@]}"; do
    kill -0 "${pids[$name]}" 2>/dev/null || cannot_run "$name has ended"
  done

  # Every opening of these clients is sent after the bound and has ended, or
  # its client is stopped, before the next change.
  lines=$(wc -l <"$record")
  after=$(($(now_ms) - confirmed))
  start clients "$standin" clients --listen "$(client_ip $change):8172" --service 198.18.0.1:443 \
    --via "${via%,}" --flows 24 --every-ms 10 --pause-ms 50 --limit-ms 1000 --log "$record" --began "$began"
  for _ in $(seq 15); do
    kill -0 "${pids[clients]}" 2>/dev/null || break
    sleep 0.1
  done
  kill_process clients KILL 2>/dev/null || true
  late=$(tail -n +$((lines + 1)) "$record" | grep -c " host $old-[1-4]: flow of port [0-9]* is open" || true)
  ran=$(tail -n +$((lines + 1)) "$record" | grep -c " host $old-[1-4] ran request " || true)
  right=$(tail -n +$((lines + 1)) "$record" | grep -c " host $new-[1-4]: flow of port [0-9]* is open" || true)
  note "openings sent $after ms after that or later: $right flows at hosts of $new, $late at hosts of $old"
  [ "$late" -eq 0 ] && continue
  for i in $(seq $left); do
    grep -q "event=configuration_in_force version=$version " "$work/frontend-$i".{out,err} || note "frontend-$i does not have version $version"
  done
  for i in 1 2 3 4; do
    grep -q "event=configuration_in_force version=$version " "$work/side-$i".{out,err} || note "side-$i does not have version $version"
  done
  broken "CONFIG: $late flows with $ran requests went to the service that only versions before $version name"
done
[ "$right" -ge 10 ] || cannot_run "too few flows were opened"
held "after each of $changes changes all flows went to the service that the new version names"
