# Functions of the scripts of the second review: a small deployment of real
# processes on loopback, with the settings of deploy/*.toml. Sourced from the
# repository's root with $case_folder set; ends all that it started, by process
# id.
set -euo pipefail
work=$(mktemp -d)
record=$case_folder/record.txt
programs=target/review-2
declare -A pids=()

[ -x target/cornelshored ] && [ -x "$programs/flows" ] || {
  echo "build first: the command of deploy/system.toml, then review/build-2.sh"
  exit 2
}

end_all() {
  local pid
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -TERM "$pid" 2>/dev/null || true
  done
  sleep 1
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ -n "${KEEP_LOGS:-}" ]; then echo "logs=$work"; else rm -rf "$work"; fi
}
trap end_all EXIT

is_free() { # PORT
  ! (exec 8<>"/dev/tcp/127.0.1.1/$1") 2>/dev/null
}

# Eight ports in a row, the same at every address, as on the users' machines.
base=0
for _ in $(seq 20); do
  base=$((26000 + (RANDOM % 400) * 10))
  for offset in $(seq 0 7); do is_free $((base + offset)) || continue 2; done
  break
done
node_port=$base operator_port=$((base + 1)) packet_port=$((base + 2))
ready_port=$((base + 3)) api_port=$((base + 4)) outbound_port=$((base + 5))
app_port=$((base + 6)) metrics_port=$((base + 7))

: >"$record"
note() { # WHAT
  echo "$(date +%s%3N) test $*" | tee -a "$record"
}

cannot_run() { # WHY
  note "cannot run: $*"
  local log
  for log in "$work"/*.log; do
    echo "== ${log##*/}"
    tail -n 3 "$log"
  done
  exit 2
}

wait_until() { # SECONDS WHAT COMMAND...
  local limit=$1 what=$2 _
  shift 2
  for _ in $(seq $((limit * 10))); do
    "$@" && return 0
    sleep 0.1
  done
  cannot_run "waited ${limit} s for: $what"
}

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$work/$name.log" 2>&1 </dev/null &
  pids[$name]=$!
}

start_process() { # NAME
  start "$1" target/cornelshored --config "$work/$1.toml"
}

end() { # NAME SIGNAL
  kill "-$2" "${pids[$1]}"
  wait "${pids[$1]}" 2>/dev/null || true
  unset "pids[$1]"
}

seeds() {
  printf '"127.0.1.1:%s", "127.0.1.2:%s", "127.0.1.3:%s"' "$api_port" "$api_port" "$api_port"
}

head_of() { # ROLE NAME IP CONTROL_BYTES CONTROL_BURST
  cat <<SETTINGS
role = "$1"
name = "$2"
data_centre = "tartu-a"
[node]
address = "$3:$node_port"
seeds = [$(seeds)]
seeds_share_own_port = true
authentication = "off"
link_mbps = 1000.0
control_round_ms = 500
control_bytes_per_second = $4
control_burst_bytes = $5
[operator]
address = "$3:$operator_port"
[metrics]
address = "$3:$metrics_port"
SETTINGS
}

write_control() { # INDEX BOOTSTRAP
  mkdir -p "$work/disk-$1"
  {
    head_of control "127.0.1.$1:$api_port" "127.0.1.$1" 400000 4000000
    printf '[control]\ndata_folder = "%s"\nbootstrap = %s\ntolerated_losses = 2\napi_address = "%s:%s"\nsynced_writes_last = true\n' \
      "$work/disk-$1" "$2" "127.0.1.$1" "$api_port"
  } >"$work/control-$1.toml"
}

write_balancer() { # INDEX
  {
    head_of balancer "frontend-$1" "127.0.2.$1" 40000 1000000
    printf '[relay]\npacket_address = "%s:%s"\nreadiness_address = "%s:%s"\nstop_limit_ms = 6000\n' \
      "127.0.2.$1" "$packet_port" "127.0.2.$1" "$ready_port"
  } >"$work/balancer-$1.toml"
}

write_agent() { # INDEX SERVICE
  local ip=127.0.3.$1
  {
    head_of agent "side-$1" "$ip" 40000 1000000
    printf '[relay]\npacket_address = "%s:%s"\nreadiness_address = "%s:%s"\noutbound_address = "%s:%s"\n' \
      "$ip" "$packet_port" "$ip" "$ready_port" "$ip" "$outbound_port"
    printf 'upstream_address = "%s:%s"\nreport_address = "%s:%s"\nreport_interval_ms = 770\nservice = "%s"\n' \
      "$ip" "$app_port" "$ip" "$api_port" "$2"
  } >"$work/agent-$1.toml"
}

start_host() { # INDEX SERVICE
  start "host-$1" "$programs/flows" host --name "$2-$1" --service "$2" --beat-ms 770 \
    --listen "127.0.3.$1:$app_port" --outbound "127.0.3.$1:$outbound_port" \
    --reports "127.0.3.$1:$api_port" --record "$record"
}

call() { # IP PORT METHOD PATH BODY: status and body
  exec 9<>"/dev/tcp/$1/$2" || return 1
  printf '%s %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: %s\r\n\r\n%s' \
    "$3" "$4" "${#5}" "$5" >&9
  timeout 3 cat <&9 || true
  exec 9>&-
}

# Sends a desired state to one node after the other until it is acknowledged.
put_config() { # BODY
  local i status
  for _ in $(seq 30); do
    for i in 1 2 3 4 5; do
      status=$(call "127.0.1.$i" "$api_port" PUT /cornelshore/config "$1" 2>/dev/null | head -n 1 | cut -d' ' -f2)
      if [ "$status" = 200 ]; then
        note "PUT at control $i acknowledged: $1"
        return 0
      fi
      [[ $status == 4* ]] && cannot_run "PUT got $status"
    done
    sleep 0.5
  done
  cannot_run "no PUT was acknowledged"
}

is_ready() { # INDEX
  call "127.0.2.$1" "$ready_port" GET /cornelshore/ready "" 2>/dev/null | grep -q '^HTTP/1.1 200'
}

ask() { # BALANCER FIRST_PORT PORTS ID: one flow from each port
  "$programs/flows" client --listen "127.0.9.1:$packet_port" --balancer "127.0.2.$1:$packet_port" \
    --to 127.0.8.1:443 --first-port "$2" --ports "$3" --id "$4" --record "$record"
}

# Five control processes, one balancer, and an agent and a host a service.
start_deployment() { # SERVICE...
  local i=0 service
  for i in 1 2 3 4 5; do write_control "$i" true; done
  write_balancer 1
  for i in 1 2 3 4 5; do start_process "control-$i"; done
  start_process balancer-1
  i=0
  for service in "$@"; do
    i=$((i + 1))
    write_agent "$i" "$service"
    start_process "agent-$i"
    start_host "$i" "$service"
  done
}
