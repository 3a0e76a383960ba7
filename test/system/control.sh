#!/usr/bin/env bash
# Control processes are killed in mid-write, frozen, and lose a disk: what was
# accepted stays accepted, no process's version falls, and the flows go on.
set -euo pipefail
cd "$(dirname "$0")/../.."
BASE_PORT=${BASE_PORT:-23000}
source scripts/lib/cluster.sh

operators="11 21 31 111 121 131 211 221 231 241"
declare -A seen=()
check_versions() {
  local offset version
  for offset in $operators; do
    version=$(version_at "$offset" || true)
    [ -n "$version" ] || continue
    [ "$version" -ge "${seen[$offset]:-0}" ] || fail "version fell from ${seen[$offset]} to $version at offset $offset"
    seen[$offset]=$version
  done
}
accepted=1
apply_next() { # changes the most of one class, so that each change differs
  sed "s/most_percent = 60.0/most_percent = $((40 + accepted % 20)).0/" settings/tartu/targets.toml >"$work/next.toml"
  ctl apply "$work/next.toml" --to "$control" --operator test --version "$accepted" \
    --change-id "$(printf '%032x' $((accepted + 1)))" >"$work/apply.out" 2>&1
}
apply_one() {
  wait_until 60 "change $((accepted + 1)) accepted" apply_next
  accepted=$((accepted + 1))
}
everywhere() {
  local offset
  for offset in $operators; do
    [ "$(version_at "$offset" || true)" = "$accepted" ] || return 1
  done
}

# Guards against host records that are lost with the process: a control VM that
# is killed knows its hosts again before it has received a message.
recovered_hosts() { # INDEX COUNT
  grep -qE "event=host_records_recovered hosts=$2 age_ms=[0-9]+" "$work/control-$1.log"
}
control_knows_hosts() { # COUNT
  local offset
  for offset in 11 21 31; do
    [ "$(ctl hosts --to "$(at "$offset")" --json 2>/dev/null | grep -o '"state":"ready"' | wc -l)" -ge "$1" ] || return 1
  done
}

start_cluster
wait_until 60 "every control process knows 4 hosts" control_knows_hosts 4
sleep 3 # longer than the interval between writes of the host records
start_callers
for i in 1 2 3; do
  echo "event=kill_in_mid_write control=control-$i"
  (for _ in 1 2 3 4 5 6; do apply_next || true; done) &
  sleep 0.0$((i * 2))
  end "control-$i" KILL || true
  wait $! || true
  apply_one
  check_versions
  start_process "control-$i"
  wait_until 20 "control-$i knows its hosts after a kill" recovered_hosts "$i" 4
  apply_one
  wait_until 60 "version $accepted in force everywhere" everywhere
  check_versions
done

echo "event=freeze_control"
kill -STOP "${pids[control-1]}"
for _ in 1 2 3; do apply_one; done
kill -CONT "${pids[control-1]}"
wait_until 60 "version $accepted in force everywhere" everywhere
check_versions

echo "event=lose_disk"
end control-2 KILL || true
rm -rf "$work/disk-2"
write_control 2 false
start_process control-2
joined() { ctl state "$(at 21)" --json 2>/dev/null | grep -q "\"version\":$accepted"; }
apply_one
wait_until 60 "the emptied control process caught up" joined
check_versions
# While it is replaced, its old disk is listed as a voter beside the new one.
votes_again() { # all three processes know three voters, its new disk among them
  local own member offset members
  own=$(ctl state "$(at 21)" --json 2>/dev/null | sed -n 's/.*"disk":"\([0-9a-f]*\)","fault".*/\1/p')
  member='"disk":"[0-9a-f]*","node":"[0-9a-f]*","role":"[a-z_]*"'
  [ -n "$own" ] || return 1
  for offset in 11 21 31; do
    members=$(ctl state "$(at "$offset")" --json 2>/dev/null | grep -o "$member") || return 1
    [ "$(wc -l <<<"$members")" -eq 3 ] || return 1
    [ "$(grep -c '"role":"voter"' <<<"$members")" -eq 3 ] || return 1
    grep -q "\"disk\":\"$own\"" <<<"$members" || return 1
  done
}
wait_until 60 "it votes again" votes_again
end control-3 KILL || true
apply_one
check_versions
start_process control-3
wait_until 60 "version $accepted in force everywhere" everywhere

echo "event=lose_all_control"
for i in 1 2 3; do end "control-$i" KILL || true; done
sleep 3
end balancer-1 TERM || fail "balancer-1 did not stop in order"
start_process balancer-1
wait_until 60 "a balancer restarted without control knows the hosts" hosts_in_state ready 4
check_versions
code=0
end_callers || code=$?
[ $code -eq 0 ] || fail "callers saw broken flows or wrong answers"
collect_runs 1 2 3 4
print_runs
[ "$(most_runs)" -eq 1 ] || fail "an id ran more or less than once"

# Guards against balancers that take the absence of records for the absence of
# hosts when all processes restart and agents come back later than they do.
echo "event=restart_all_processes"
for i in 1 2 3 4; do kill -STOP "${pids[agent-$i]}"; done
for i in 1 2 3; do end "balancer-$i" KILL || true; done
for i in 1 2 3; do start_process "control-$i"; done
for i in 1 2 3; do start_process "balancer-$i"; done
wait_until 20 "every balancer knows the hosts whose agents are away" hosts_in_state starting 4
for i in 1 2 3 4; do kill -CONT "${pids[agent-$i]}"; done
wait_until 60 "the hosts are ready again" hosts_in_state ready 4
echo "changes_accepted=$accepted"
echo "event=passed"
