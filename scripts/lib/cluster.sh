# Functions to run a small cluster of real processes on loopback with stand-ins.
# Sourced by scripts/demo and by the tests under test/system. Expects to be in
# the repository's root; sets $build, $work and $control; ends everything that
# it started, by process id, on any exit.
set -euo pipefail
build=${BUILD:-$PWD/build}
work=$(mktemp -d)
base=${BASE_PORT:-21000}
declare -A pids=()

port() { echo $((base + $1)); }
at() { echo "127.0.0.1:$((base + $1))"; }
control=$(at 11),$(at 21),$(at 31)

end_all() {
  local pid
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -TERM "$pid" 2>/dev/null || true
  done
  for _ in $(seq 50); do
    local alive=0
    for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && alive=1; done
    [ $alive -eq 0 ] && break
    sleep 0.1
  done
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ -n "${KEEP_LOGS:-}" ]; then echo "logs=$work"; else rm -rf "$work"; fi
}
trap end_all EXIT

ctl() { "$build/cornelshorectl" "$@"; }

fail() { # WHAT
  echo "event=failed what=\"$1\""
  for log in "$work"/*.log; do
    echo "== ${log##*/}"
    tail -n 4 "$log"
  done
  exit 1
}

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$work/$name.out" 2>>"$work/$name.log" </dev/null &
  pids[$name]=$!
}

# Ends a process with a signal and waits for it; gives its exit code.
end() { # NAME SIGNAL
  local code=0
  kill "-$2" "${pids[$1]}"
  wait "${pids[$1]}" 2>/dev/null || code=$?
  unset "pids[$1]"
  return $code
}

wait_until() { # SECONDS WHAT COMMAND...
  local limit=$1 what=$2
  shift 2
  for _ in $(seq $((limit * 10))); do
    "$@" && return 0
    sleep 0.1
  done
  fail "waited for: $what"
}

head_of() { # ROLE NAME DATA_CENTRE PORT
  cat <<EOF
role = "$1"
name = "$2"
data_centre = "$3"
[node]
address = "$(at "$4")"
seeds = ["$(at 10)", "$(at 20)", "$(at 30)", "$(at 110)", "$(at 120)", "$(at 130)"]
key_file = "$work/cluster.key"
[operator]
address = "$(at $(($4 + 1)))"
[metrics]
address = "$(at $(($4 + 2)))"
EOF
}

write_key() { (umask 077 && echo "1 $(od -An -vtx1 -N32 /dev/urandom | tr -d ' \n')" >"$work/cluster.key"); }

write_control() { # INDEX BOOTSTRAP
  {
    head_of control "control-$1" "dc-$1" "${1}0"
    printf '[control]\ndata_folder = "%s"\nbootstrap = %s\n' "$work/disk-$1" "$2"
    local j
    for j in 1 2 3; do printf '[[control.member]]\nname = "control-%s"\naddress = "%s"\n' $j "$(at ${j}0)"; done
  } >"$work/control-$1.toml"
  mkdir -p "$work/disk-$1"
}

write_balancer() { # INDEX
  {
    head_of balancer "balancer-$1" "dc-$1" "1${1}0"
    printf '[balancer]\ngue_address = "%s"\nrequest_address = "%s"\n' "$(at "1${1}5")" "$(at "1${1}6")"
    printf '[[balancer.listener]]\nservice = "shop-floor"\nclass = "alarms"\naddress = "198.51.100.10:443"\n'
    printf '[[balancer.listener]]\nservice = "drawing-archive"\nclass = "sheets"\naddress = "198.51.100.11:443"\nlisten = "%s"\n' "$(at "1${1}7")"
  } >"$work/balancer-$1.toml"
}

write_agent() { # INDEX SERVICE
  {
    head_of agent "host-$1" "dc-$(($1 % 3 + 1))" "2${1}0"
    printf '[agent]\nservice = "%s"\nslots = 3\nconnections = 2000\nstop_limit_seconds = 60\n' "$2"
    printf 'upstream_request_address = "%s"\nupstream_flow_address = "%s"\nupstream_gue_address = "%s"\n' \
      "$(at "3${1}0")" "$(at "3${1}1")" "$(at "3${1}2")"
  } >"$work/agent-$1.toml"
}

# A daemon's log goes to its standard output.
start_process() { # NAME
  "$build/cornelshored" --config "$work/$1.toml" >>"$work/$1.log" 2>&1 </dev/null &
  pids[$1]=$!
}

start_upstream() { # INDEX
  start "upstream-$1" "$build/standin_upstream" --name "upstream-$1" --slots 3 --work-ms 10 \
    --requests "$(at "3${1}0")" --flows "$(at "3${1}1")" --gue "$(at "3${1}2")"
}

start_fabrics() {
  start fabric-gue "$build/standin_fabric" --listen "$(at 400)" --service 198.51.100.10:443 --transport tcp \
    --balancers "$(at 115),$(at 125),$(at 135)" --seed 1
  start fabric-plain "$build/standin_fabric" --listen "$(at 401)" \
    --balancers "$(at 117),$(at 127),$(at 137)" --seed 2
  start fabric-requests "$build/standin_fabric" --listen "$(at 402)" \
    --balancers "$(at 116),$(at 126),$(at 136)" --seed 3
}

apply_first() {
  ctl apply "$work/targets.toml" --to "$control" --operator test --version 0 \
    --change-id 00000000000000000000000000000001 >"$work/apply.out" 2>&1
}

# At every balancer, at least COUNT hosts are in STATE.
hosts_in_state() { # STATE COUNT
  local i
  for i in 1 2 3; do
    [ "$(ctl hosts --to "$(at "1${i}1")" --json 2>/dev/null | grep -o "\"state\":\"$1\"" | wc -l)" -ge "$2" ] || return 1
  done
}

views_fresh() { # INDEX...
  local i
  for i in "$@"; do
    ctl flows --to "$(at "2${i}1")" --json 2>/dev/null | grep -q '"fresh":true' || return 1
  done
}

start_cluster() {
  write_key
  cp settings/tartu/targets.toml "$work/targets.toml"
  local i
  for i in 1 2 3; do
    write_control $i true
    write_balancer $i
  done
  write_agent 1 shop-floor
  write_agent 2 shop-floor
  write_agent 3 drawing-archive
  write_agent 4 drawing-archive
  local file
  for file in "$work"/{control,balancer,agent}-*.toml; do "$build/cornelshored" --config "$file" --check >/dev/null; done
  for i in 1 2 3; do start_process "control-$i"; done
  for i in 1 2 3; do start_process "balancer-$i"; done
  for i in 1 2 3 4; do
    start_upstream $i
    start_process "agent-$i"
  done
  start_fabrics
  wait_until 60 "targets accepted" apply_first
  wait_until 60 "4 hosts ready at every balancer" hosts_in_state ready 4
  wait_until 60 "every agent's view fresh" views_fresh 1 2 3 4
}

start_callers() { # further options
  start callers "$build/standin_callers" --flows-at "$(at 400)" --flows-at "$(at 401)" --flows 40 \
    --requests-at "$(at 402)" --service shop-floor --class submissions --rate 50 "$@"
}

# Ends the callers and prints their figures; gives their exit code.
end_callers() {
  local code=0
  end callers TERM || code=$?
  cat "$work/callers.out"
  return $code
}

figure() { # NAME: a figure of the callers
  sed -n "s/^$1=//p" "$work/callers.out"
}

report_of() { # INDEX: what an upstream ran
  exec 9<>"/dev/tcp/127.0.0.1/$(port "3${1}0")"
  printf '{"jsonrpc":"2.0","id":1,"method":"report","params":{}}\n' >&9
  head -n 1 <&9
  exec 9>&-
}

collect_runs() { # INDEX...
  local i
  for i in "$@"; do report_of "$i" | grep -oE '"[0-9a-f]{32}":[0-9]+' >>"$work/runs.txt" || true; done
}

# Prints how many ids ran and how often the most run one did.
print_runs() {
  tr -d '"' <"$work/runs.txt" | awk -F: '{n[$1]+=$2} END {for (i in n) {c++; if (n[i]>m) m=n[i]}; print "ids_run=" c+0; print "most_runs_of_an_id=" m+0}'
}

most_runs() { print_runs | sed -n 's/^most_runs_of_an_id=//p'; }

version_at() { # PORT OFFSET OF THE OPERATOR ADDRESS
  ctl state "$(at "$1")" --json 2>/dev/null | grep -o '"config_version":[0-9]*' | head -n 1 | cut -d: -f2
}
