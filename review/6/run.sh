#!/usr/bin/env bash
# A route moves to another service; later, clients open new flows from ports
# whose earlier flows ended over a minute ago. TROUBLE=0: the route stays.
case_folder=$(cd "$(dirname "$0")" && pwd)
cd "$case_folder/../.."
source review/lib-2.sh

ports=20
first_port=40001

configuration() { # VERSION SERVICE
  printf '{"version":%s,"routes":[{"name":"r-1","hostname":"127.0.8.1","path-prefix":"/443/","type":"safe","timeout-ms":2000,"target-latency-ms":120,"priority":2,"service":"%s","max-attempts":2}],"services":[{"name":"shopfloor","health-path":"/health","max-conns":2000,"protocol":"h1","tls":false},{"name":"drawings","health-path":"/health","max-conns":2000,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}' "$1" "$2"
}

warm_up_port=39000
served() {
  warm_up_port=$((warm_up_port + 1))
  ask 1 $warm_up_port 1 warm-up | grep 'answered by' >/dev/null
}
by() { # SERVICE FILE: answers of its host
  grep -c "answered by $1-" "$2" || true
}

start_deployment shopfloor drawings
sleep 3
put_config "$(configuration 5 shopfloor)"
wait_until 20 "the balancer is ready" is_ready 1
wait_until 10 "a request is served" served

note "first flows, of ports $first_port to $((first_port + ports - 1))"
ask 1 $first_port $ports first >"$work/first.out"
closed_at=$SECONDS
[ "$(by shopfloor "$work/first.out")" -eq $ports ] || cannot_run "not all first requests were answered"
[ "$(grep -c 'closed by both ends' "$work/first.out")" -eq $ports ] || cannot_run "not all first flows were closed"

sleep 5
expected=shopfloor
if [ "${TROUBLE:-1}" != 0 ]; then
  put_config "$(configuration 7 drawings)"
  expected=drawings
fi
# config-propagation-ms is 3,000.
sleep 10
note "control group: new ports"
ask 1 $((first_port + 1000)) $ports other >"$work/other.out"
[ "$(by $expected "$work/other.out")" -eq $ports ] || cannot_run "new ports were not served by $expected"

# max-flow-s is 60, and a closed connection's port may be used again after 60 s.
while [ $((SECONDS - closed_at)) -lt 62 ]; do sleep 0.2; done
note "second flows, of the first ports"
ask 1 $first_port $ports second >"$work/second.out"
good=$(by $expected "$work/second.out")
old=$(grep 'answered by' "$work/second.out" | grep -vc "answered by $expected-" || true)
note "result: $ports requests on new flows: $good by $expected, $old by another service, $((ports - good - old)) not answered"
[ "$old" -eq 0 ] || exit 1
exit 0
