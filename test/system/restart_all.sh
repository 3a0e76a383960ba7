#!/usr/bin/env bash
# Open flows keep their hosts while all balancers, agents and members of control
# restart beside them: no flow is reset that its host holds, and for no 2 s do
# three of its packets reach other hosts and none its own. Judged by what the
# callers and hosts saw. SEED=n ROUNDS=n; round n+k draws variant (n+k) % 4:
#   0 all processes killed at once, each started again after its own delay
#   1 the same with balancers and agents only
#   2 all agents stopped and started in turn, then all balancers, twice
#   3 the agent beside a host that has just started, which counts from 0
set -euo pipefail
cd "$(dirname "$0")/../.."
BASE_PORT=${BASE_PORT:-22000}
SEED=${SEED:-4}
ROUNDS=${ROUNDS:-2}
source scripts/lib/cluster.sh
source scripts/lib/relay.sh
top=$work
trap 'work=$top; end_all' EXIT

readonly beat_ms=1200 balancers="1 2 3" agents="1 2 3 4 5 6 7 8" members="1 2 3 4 5"
control_centres=(- a a b c d) balancer_centres=(- a a b) agent_centres=(- a a b b c c c d)

settings_of() { # ROLE NAME IP DATA_CENTRE CONTROL_BYTES CONTROL_BURST
  head_of_relay "$1" "$2" "$3" "dc-$4" 5 "$5" "$6"
  echo "control_round_ms = 500"
  operator_section "$3"
}

service_of() { [ "$1" -le 5 ] && echo boards || echo sheets; } # INDEX

write_settings() {
  local i
  for i in $members; do
    mkdir -p "$work/disk-$i"
    {
      settings_of control "127.0.1.$i:$api_port" "127.0.1.$i" "${control_centres[i]}" 400000 4000000
      control_section "127.0.1.$i" "$work/disk-$i" true
    } >"$work/control-$i.toml"
  done
  for i in $balancers; do
    {
      settings_of balancer "balancer-$i" "127.0.2.$i" "${balancer_centres[i]}" 40000 1000000
      balancer_section "127.0.2.$i"
    } >"$work/balancer-$i.toml"
  done
  for i in $agents; do
    {
      settings_of agent "agent-$i" "127.0.3.$i" "${agent_centres[i]}" 40000 1000000
      agent_section "127.0.3.$i" "$beat_ms" "$(service_of "$i")"
    } >"$work/agent-$i.toml"
  done
}

start_host() { # INDEX FIRST_SEQ
  start "host-$1" "$build/standin_segments" host --name "host-$1" --service "$(service_of "$1")" \
    --listen "127.0.3.$1:$upstream_port" --outbound "127.0.3.$1:$outbound_port" --reports "127.0.3.$1:$api_port" \
    --beat-ms "$beat_ms" --first-seq "$2" --record "$work/host-$1.record"
}

start_callers_of() { # INDEX SERVICE_ADDRESS FLOWS
  start "callers-$1" "$build/standin_segments" callers --listen "127.0.9.$1:$packet_port" --service "$2" --flows "$3" \
    --balancer "127.0.2.1:$packet_port" --balancer "127.0.2.2:$packet_port" --balancer "127.0.2.3:$packet_port" \
    --readiness-port "$ready_port" --seed "$seed$1" --least-pause-ms 100 --most-pause-ms 3000 --most-requests 12 \
    --open-limit-ms 1400 --record "$work/callers-$1.record"
}

configuration='{"version":5,"routes":[{"name":"boards","hostname":"198.18.0.1","path-prefix":"/443/","type":"safe","timeout-ms":1000,"target-latency-ms":150,"priority":2,"service":"boards"},{"name":"sheets","hostname":"198.18.0.2","path-prefix":"/443/","type":"safe","timeout-ms":1000,"target-latency-ms":150,"priority":2,"service":"sheets"}],"services":[{"name":"boards"},{"name":"sheets"}],"limits":{"idle-timeout-ms":15000}}'

put_anywhere() {
  local i
  for i in $members; do
    call "127.0.1.$i" "$api_port" PUT /cornelshore/config "$configuration" 2>/dev/null | grep -q '^HTTP/1.1 200' && return 0
  done
  return 1
}

all_ready() {
  local i
  for i in $balancers; do
    ready_at "$i" || return 1
  done
}

hosts_known() { # COUNT: at every balancer
  local i
  for i in $balancers; do
    [ "$(ctl hosts --to "127.0.2.$i:$operator_port" --json 2>/dev/null | grep -o '"state":"ready"' | wc -l)" -ge "$1" ] || return 1
  done
}

now_us() { echo "${EPOCHREALTIME/[.,]/}"; }
sleep_ms() { sleep "$(printf '%d.%03d' $(($1 / 1000)) $(($1 % 1000)))"; }
note_disturbed() { echo "$(now_us) script disturbed $1 0" >>"$work/script.record"; } # KIND

# The shell's notes on killed jobs go with the rest of the errors.
kill_and_reap() { # NAME...
  local name killed=()
  for name in "$@"; do killed+=("${pids[$name]}"); done
  {
    kill -KILL "${killed[@]}"
    for name in "$@"; do
      wait "${pids[$name]}" || true
      unset "pids[$name]"
    done
  } 2>/dev/null
}

# Kills the processes at the same moment and starts each again after its delay.
restart_together() { # NAME:DELAY_MS...
  local process name delay began wait_ms names=()
  for process in "$@"; do names+=("${process%:*}"); done
  note_disturbed unplanned
  began=$(now_us)
  kill_and_reap "${names[@]}"
  while read -r delay name; do
    wait_ms=$((delay - ($(now_us) - began) / 1000))
    [ $wait_ms -le 0 ] || sleep_ms $wait_ms
    start_process "$name"
    note_disturbed unplanned
  done < <(for process in "$@"; do echo "${process#*:} ${process%:*}"; done | sort -n)
}

# Stops and starts processes in lanes side by side. In a lane a process starts
# again as soon as it has ended, and the next is stopped half a second later.
restart_in_turn() { # "START_MS NAME..."...
  local lanes=("$@") stopping=() due=() lane name rest now busy=1
  now=$(now_us)
  for lane in "${!lanes[@]}"; do
    due[lane]=$((now + ${lanes[lane]%% *} * 1000))
    lanes[lane]=${lanes[lane]#* }
    stopping[lane]=""
  done
  while [ $busy -eq 1 ]; do
    busy=0
    now=$(now_us)
    for lane in "${!lanes[@]}"; do
      name=${stopping[lane]}
      if [ -n "$name" ]; then
        busy=1
        kill -0 "${pids[$name]}" 2>/dev/null && continue
        wait "${pids[$name]}" 2>/dev/null || true
        start_process "$name"
        stopping[lane]=""
        due[lane]=$((now + 500000))
      elif [ -n "${lanes[lane]}" ]; then
        busy=1
        [ "$now" -ge "${due[lane]}" ] || continue
        read -r name rest <<<"${lanes[lane]}"
        lanes[lane]=$rest
        stopping[lane]=$name
        note_disturbed planned
        kill -TERM "${pids[$name]}"
      fi
    done
    sleep 0.02
  done
}

numbered() { # NAME INDEX...: NAME-INDEX...
  local name=$1 i
  shift
  for i in "$@"; do echo "$name-$i"; done
}

# Bash seeds RANDOM anew in a subshell, so that what is drawn goes to variables.
draw() { drawn=$(($1 + RANDOM % ($2 - $1 + 1))); } # LEAST MOST

draw_plan() { # NAME...: each with a delay of 0.2 to 1 s, up to three agents later
  local name late=0 first
  draw 0 1
  [ $drawn -eq 0 ] || { draw 1 3 && late=$drawn; }
  draw 1 8
  first=$drawn
  plan=()
  for name in "$@"; do
    draw 200 1000
    plan+=("$name:$drawn")
    if [[ $name == agent-* ]] && [ $(((${name#agent-} - first + 8) % 8)) -lt $late ]; then
      draw 1500 4000
      plan[-1]="$name:$drawn"
    fi
  done
}

start_cluster_of_relay() { # HOSTS
  local i name
  write_settings
  for name in $processes; do "$build/cornelshored" --config "$work/$name.toml" --check >/dev/null; done
  for name in $processes; do start_process "$name"; done
  for i in $1; do
    start_host "$i" 1
    sleep 0.1
  done
  wait_until 30 "the configuration is acknowledged" put_anywhere
  wait_until 30 "every balancer is ready" all_ready
  wait_until 30 "every balancer knows the hosts" hosts_known "$(wc -w <<<"$1")"
}

disturb() { # VARIANT
  case $1 in
    0)
      draw_plan $processes
      restart_together "${plan[@]}"
      ;;
    1)
      draw_plan $(numbered balancer $balancers) $(numbered agent $agents)
      restart_together "${plan[@]}"
      ;;
    2)
      local turn_of_agents turn_of_balancers
      turn_of_agents=$(numbered agent $agents | tr '\n' ' ')
      turn_of_balancers=$(numbered balancer $balancers | tr '\n' ' ')
      restart_in_turn "0 $turn_of_agents$turn_of_agents" "4500 $turn_of_balancers$turn_of_balancers"
      ;;
    3)
      start_host $new_host 0
      sleep 0.15
      start_callers_of 3 198.18.0.1:443 60
      draw 200 800
      sleep_ms $drawn
      restart_in_turn "0 agent-$new_host"
      ;;
  esac
}

play_round() { # SEED
  seed=$1
  RANDOM=$seed
  work=$top/seed-$seed
  mkdir "$work"
  local variant=$((seed % 4)) hosts=$agents code=0
  [ $variant -ne 3 ] || hosts=${agents/ $new_host/}
  start_cluster_of_relay "$hosts"
  start_callers_of 1 198.18.0.1:443 60
  start_callers_of 2 198.18.0.2:443 40
  sleep 4
  disturb $variant
  sleep 8
  for name in "${!pids[@]}"; do
    kill -0 "${pids[$name]}" 2>/dev/null || fail "$name has ended"
  done
  for name in "${!pids[@]}"; do
    [[ $name != callers-* ]] || end "$name" TERM || fail "$name failed"
  done
  kill_and_reap "${!pids[@]}"
  "$build/standin_flow_judge" "$work"/*.record >"$work/verdict.out" || code=$?
  [ $code -le 1 ] || fail "the records could not be judged"
  [ "$(sed -n 's/.* open_when_disturbed=\([0-9]*\) .*/\1/p' "$work/verdict.out")" -ge 50 ] ||
    fail "too few flows were open"
  grep '^broken=' "$work/verdict.out" | head -n 8 || true
  echo "seed=$seed variant=$variant $(tail -n 1 "$work/verdict.out")"
  broken=$((broken + code))
}

new_host=5
processes="$(numbered control $members) $(numbered balancer $balancers) $(numbered agent $agents)"
broken=0
for ((turn = 0; turn < ROUNDS; turn++)); do
  play_round $((SEED + turn))
done
[ $broken -eq 0 ] || { echo "event=failed what=\"FLOW broke in $broken of $ROUNDS rounds\""; exit 1; }
echo "event=passed"
