#!/usr/bin/env bash
# A host that dies breaks its own flows only and no id runs twice; an agent
# that restarts beside a running upstream and balancers that are all replaced
# break no flow.
set -euo pipefail
cd "$(dirname "$0")/../.."
BASE_PORT=${BASE_PORT:-22000}
source scripts/lib/cluster.sh

start_cluster
start_callers
sleep 3
echo "event=replace_all_balancers"
for i in 1 2 3; do
  end "balancer-$i" TERM || fail "balancer-$i did not stop in order"
  start_process "balancer-$i"
  wait_until 30 "4 hosts ready at every balancer" hosts_in_state ready 4
done
echo "event=kill_balancer"
end balancer-3 KILL || true
start_process balancer-3
wait_until 30 "4 hosts ready at every balancer" hosts_in_state ready 4
echo "event=restart_agent_beside_its_upstream"
end agent-2 KILL || true
start_process agent-2
wait_until 60 "agent-2 is ready again" hosts_in_state ready 4
wait_until 60 "agent-2's view is fresh" views_fresh 2
sleep 6
code=0
end_callers || code=$?
[ "$(figure flows_broken)" -eq 0 ] || fail "a planned change or restart broke a flow"
[ "$(figure flows_silent)" -eq 0 ] || fail "a flow went silent"
[ "$(figure answers_wrong)" -eq 0 ] || fail "an answer was wrong"
[ "$(figure requests_without_outcome)" -eq 0 ] || fail "a request had no outcome"

rm "$work/callers.out"
start_callers --seed 2 --flows 120
sleep 3
collect_runs 3
echo "event=kill_host"
end agent-3 KILL || true
end upstream-3 KILL || true
wait_until 60 "the dead host is declared gone everywhere" hosts_in_state gone 1
sleep 6
end_callers || true
on_dead_host=$(figure flows_at_upstream-3)
echo "flows_on_dead_host=$on_dead_host"
lost=$(($(figure flows_broken) + $(figure flows_silent)))
[ "${on_dead_host:-0}" -gt 0 ] || fail "no flow was at the dead host"
[ "$lost" -eq "$on_dead_host" ] || fail "the dead host broke $lost flows, it held $on_dead_host"
[ "$(figure answers_wrong)" -eq 0 ] || fail "an answer was wrong"
[ "$(figure requests_without_outcome)" -eq 0 ] || fail "a request had no outcome"
collect_runs 1 2 4
print_runs
[ "$(most_runs)" -eq 1 ] || fail "an id ran more or less than once"
echo "event=passed"
