# Functions of the scripts in review/11 to review/15: settings like those that
# the templates in deploy/ render, processes on loopback addresses, HTTP calls.
# Sourced from the repository's root with $case set to the folder of the case.
set -uo pipefail
daemon=$PWD/target/cornelshored
work=$(mktemp -d)
record=$PWD/$case/record.txt
trouble=${TROUBLE:-1}
declare -A pids=()
: >"$record"

# A random part of 127.0.0.0/8 and a random port, so that two runs do not meet.
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
port=$((RANDOM % 20000 + 22000))
node_port=$port api_port=$((port + 1)) operator_port=$((port + 2)) metrics_port=$((port + 3))
packet_port=$((port + 4)) ready_port=$((port + 5)) outbound_port=$((port + 6)) app_port=$((port + 7))

began=$(date +%s%N)
note() { # TEXT: a line of the record, with the milliseconds since the start
  local line
  line=$(printf '%8d %s' $((($(date +%s%N) - began) / 1000000)) "$*")
  echo "$line" | tee -a "$record"
}

end_all() {
  local pid
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null
    kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
  if [ -n "${KEEP_LOGS:-}" ]; then echo "logs in $work"; else rm -rf "$work"; fi
}
trap end_all EXIT

cannot_run() { # WHY
  note "the case could not run: $1"
  exit 2
}

start_daemon() { # NAME
  "$daemon" --config "$work/$1.toml" >>"$work/$1.log" 2>&1 </dev/null &
  pids[$1]=$!
}

# Sends a signal to a process and waits for its end.
end_process() { # NAME SIGNAL
  kill "-$2" "${pids[$1]}"
  wait "${pids[$1]}" 2>/dev/null
  unset "pids[$1]"
}

write_head() { # ROLE NAME IP ZONE SEED_IPS CONTROL_BYTES CONTROL_BURST
  local ip separator="" seeds=""
  for ip in $5; do
    seeds+="$separator\"$ip:$api_port\""
    separator=", "
  done
  cat <<SETTINGS
role = "$1"
name = "$2"
data_centre = "$4"

[node]
address = "$3:$node_port"
seeds = [$seeds]
seeds_share_own_port = true
authentication = "off"
link_mbps = 1000.0
control_round_ms = 500
control_bytes_per_second = $6
control_burst_bytes = $7

[operator]
address = "$3:$operator_port"

[metrics]
address = "$3:$metrics_port"

SETTINGS
}

write_control() { # INDEX BOOTSTRAP SEED_INDEXES
  local ip=$net.$1 seeds="" seed
  for seed in $3; do seeds+=" $net.$seed"; done
  mkdir -p "$work/disk-$1"
  {
    write_head control "$ip:$api_port" "$ip" "zone-$(($1 % 3))" "$seeds" 400000 4000000
    cat <<SETTINGS
[control]
data_folder = "$work/disk-$1"
bootstrap = $2
tolerated_losses = 2
api_address = "$ip:$api_port"
synced_writes_last = true
SETTINGS
  } >"$work/control-$1.toml"
}

# One HTTP call: prints the status code, then the body; "000" without a response.
http() { # IP PORT METHOD PATH BODY
  local text
  text=$(timeout 2 bash -c '
    exec 9<>"/dev/tcp/$1/$2" || exit 1
    printf "%s %s HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: %s\r\n\r\n%s" \
      "$3" "$4" "${#5}" "$5" >&9
    cat <&9' call "$@" 2>/dev/null)
  if [[ $text != HTTP/1.1\ * ]]; then
    echo 000
    return
  fi
  echo "${text:9:3}"
  printf '%s\n' "${text#*$'\r\n\r\n'}"
}

configuration() { # VERSION
  printf '{"version":%s,"routes":[{"name":"boards","hostname":"127.0.8.1","path-prefix":"/443/","type":"safe","timeout-ms":1000,"target-latency-ms":150,"priority":2,"service":"boards","max-attempts":2}],"services":[{"name":"boards","health-path":"/health","max-conns":2000,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}' "$1"
}

# Sends a configuration to the machines in turn until one acknowledges it.
put_until_acknowledged() { # VERSION SECONDS INDEX...
  local version=$1 until=$((SECONDS + $2)) index code
  shift 2
  while [ $SECONDS -lt $until ]; do
    for index in "$@"; do
      code=$(http "$net.$index" "$api_port" PUT /cornelshore/config "$(configuration "$version")" | head -n 1)
      note "PUT version $version to machine $index: $code"
      [ "$code" = 200 ] && return 0
    done
    sleep 0.5
  done
  return 1
}

# Reads the configuration at the machines in turn; sets $read to the version.
read_until_answered() { # SECONDS INDEX...
  local until=$((SECONDS + $1)) index answer code
  shift
  while [ $SECONDS -lt $until ]; do
    for index in "$@"; do
      answer=$(http "$net.$index" "$api_port" GET /cornelshore/config "")
      code=$(head -n 1 <<<"$answer")
      read=$(sed -n 's/^{"version":\([0-9]*\),.*/\1/p' <<<"$answer")
      note "GET at machine $index: $code${read:+ version $read}"
      [ "$code" = 200 ] && [ -n "$read" ] && return 0
    done
    sleep 3
  done
  return 1
}
