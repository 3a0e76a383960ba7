# Functions for the scripts of the cases: a small deployment of real processes
# on loopback addresses, started with the command of deploy/system.toml and
# settings rendered from the templates in deploy/. Sourced from the repository's
# root. Ends every process that it started, by its id, on any exit.
set -euo pipefail
daemon=target/cornelshored
standin=target/review/standin
[ -x $daemon ] && [ -x $standin ] || {
  echo "build first: the command of deploy/system.toml, then review/build.sh"
  exit 2
}
work=$(mktemp -d)
record=$here/record.txt
: >"$record"
trouble=${TROUBLE:-1}

# Whether nobody listens at an address; nothing else is looked at.
is_free() { ! (exec 9<>"/dev/tcp/$1/$2") 2>/dev/null; } # IP PORT

net=127.$((RANDOM % 200 + 20))
until is_free "$net.1.1" 8166; do net=127.$((RANDOM % 200 + 20)); done
operator_next=$((RANDOM % 5000 + 12000))
heartbeat_ms=1200
link_mbps=1000.0 # of balancers
declare -A pids=()
declare -A operator_port=()

now_ms() { local t=${EPOCHREALTIME/,/.}; echo $(((${t%.*} * 1000) + 10#${t#*.} / 1000)); }
began=$(now_ms)
note() { echo "$(($(now_ms) - began)) ms: $*" | tee -a "$record"; }

end_all() {
  local pid
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ -n "${KEEP_LOGS:-}" ]; then echo "logs=$work"; else rm -rf "$work"; fi
}
trap end_all EXIT

cannot_run() {
  note "the case could not run: $*"
  exit 2
}

held() {
  note "result: the rule held: $*"
  exit 0
}

broken() {
  note "result: the rule was broken: $*"
  exit 1
}

control_ip() { echo "$net.1.$1"; }
balancer_ip() { echo "$net.2.$1"; }
side_ip() { echo "$net.3.$1"; }
client_ip() { echo "$net.9.$1"; }

seeds="$(control_ip 1):8166, $(control_ip 2):8166, $(control_ip 3):8166"
seed_list="\"${seeds//, /\", \"}\""

# Renders a template of deploy/ as the platform does, with the fields that the
# templates use. All machines share 127.0.0.1 here, so the operator's port
# differs from machine to machine.
render() { # TEMPLATE NAME IP KEY=VALUE...
  local template=$1 name=$2 ip=$3 text pair
  shift 3
  if [ -z "${operator_port[$name]:-}" ]; then
    until is_free 127.0.0.1 $operator_next; do operator_next=$((operator_next + 1)); done
    operator_port[$name]=$operator_next
    operator_next=$((operator_next + 1))
  fi
  text=$(sed "s/{{#seeds}}.*{{\/seeds}}/$seed_list/" "deploy/$template.toml")
  for pair in "node=$name" "ip=$ip" "zone=ant-a" "internal-ports.0=7720" \
    "internal-ports.1=${operator_port[$name]}" "heartbeat-ms=$heartbeat_ms" \
    "limits.link-mbps=$link_mbps" "bounds.grace-s=6" "fault-tolerance.machines=2" \
    "listen.datagram-addr=$ip:8172" "listen.readiness-addr=$ip:8167" \
    "listen.outbound=$ip:8162" "listen.control=$ip:8166" "app=$ip:8165" "$@"; do
    text=${text//"{{${pair%%=*}}}"/${pair#*=}}
  done
  echo "$text" >"$work/$name.toml"
  "$daemon" --config "$work/$name.toml" --check >/dev/null || cannot_run "settings of $name"
}

write_control() { # INDEX BOOTSTRAP
  mkdir -p "$work/disk-$1"
  render control "core-$1" "$(control_ip "$1")" "data-dir=$work/disk-$1" "bootstrap=$2"
}
write_balancer() { render balancer "frontend-$1" "$(balancer_ip "$1")"; } # INDEX
write_agent() { render agent "side-$1" "$(side_ip "$1")" "service=$2"; }  # INDEX SERVICE

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$work/$name.out" 2>>"$work/$name.err" </dev/null &
  pids[$name]=$!
}
start_daemon() { start "$1" "$daemon" --config "$work/$1.toml"; } # NAME

kill_process() { # NAME SIGNAL
  kill "-$2" "${pids[$1]}"
  wait "${pids[$1]}" 2>/dev/null || true
  unset "pids[$1]"
}

start_host() { # INDEX SERVICE ID FURTHER_OPTIONS...
  local index=$1 service=$2 id=$3 ip
  ip=$(side_ip "$index")
  shift 3
  start "host-$index" "$standin" host --service "$service" --id "$id" --listen "$ip:8165" \
    --outbound "$ip:8162" --reports "$ip:8166" --beat-ms "$heartbeat_ms" --log "$record" --began "$began" "$@"
}

call() { # IP:PORT METHOD PATH BODY: status and body
  local address=$1
  timeout 2 bash -c 'exec 9<>"/dev/tcp/$0/$1" && printf "%s %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: %s\r\n\r\n%s" "$2" "$3" "${#4}" "$4" >&9 && cat <&9' \
    "${address%:*}" "${address#*:}" "$2" "$3" "$4" 2>/dev/null || true
}

put_at() { call "$(control_ip "$1"):8166" PUT /cornelshore/config "$2" | head -n 1 | grep -q ' 200 '; } # INDEX BODY
put_anywhere() { # BODY
  local i
  for i in 1 2 3 4 5; do put_at "$i" "$1" && return 0; done
  return 1
}
ready_at() { call "$(balancer_ip "$1"):8167" GET /cornelshore/ready "" | head -n 1 | grep -q ' 200 '; } # INDEX

wait_until() { # SECONDS WHAT COMMAND...
  local limit=$1 what=$2 end
  shift 2
  end=$(($(now_ms) + limit * 1000))
  until "$@"; do
    [ "$(now_ms)" -lt $end ] || cannot_run "waited $limit s for: $what"
    sleep 0.1
  done
}
