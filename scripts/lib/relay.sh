# Settings of processes that relay flows of segments, and calls to them, for
# tests on loopback. Sourced after scripts/lib/cluster.sh.
node_port=$(port 20) api_port=$(port 66) packet_port=$(port 72)
ready_port=$(port 67) outbound_port=$(port 62) upstream_port=$(port 65)
operator_port=$(port 35)

relay_seeds() { # COUNT
  local i separator=""
  for i in $(seq "$1"); do
    printf '%s"127.0.1.%s:%s"' "$separator" "$i" "$api_port"
    separator=", "
  done
}

head_of_relay() { # ROLE NAME IP DATA_CENTRE SEEDS CONTROL_BYTES CONTROL_BURST
  cat <<SETTINGS
role = "$1"
name = "$2"
data_centre = "$4"
[node]
address = "$3:$node_port"
seeds = [$(relay_seeds "$5")]
seeds_share_own_port = true
authentication = "off"
control_bytes_per_second = $6
control_burst_bytes = $7
SETTINGS
}

operator_section() { # IP
  printf '[operator]\naddress = "%s:%s"\n' "$1" "$operator_port"
}

control_section() { # IP FOLDER BOOTSTRAP
  printf '[control]\ndata_folder = "%s"\nbootstrap = %s\ntolerated_losses = 2\napi_address = "%s:%s"\nsynced_writes_last = true\n' \
    "$2" "$3" "$1" "$api_port"
}

balancer_section() { # IP
  printf '[relay]\npacket_address = "%s:%s"\nreadiness_address = "%s:%s"\nstop_limit_ms = 6000\n' \
    "$1" "$packet_port" "$1" "$ready_port"
}

agent_section() { # IP REPORT_INTERVAL_MS SERVICE
  printf '[relay]\npacket_address = "%s:%s"\nreadiness_address = "%s:%s"\noutbound_address = "%s:%s"\nupstream_address = "%s:%s"\nreport_address = "%s:%s"\nreport_interval_ms = %s\nservice = "%s"\n' \
    "$1" "$packet_port" "$1" "$ready_port" "$1" "$outbound_port" "$1" "$upstream_port" "$1" "$api_port" "$2" "$3"
}

call() { # IP PORT METHOD PATH BODY: status and body
  exec 9<>"/dev/tcp/$1/$2" || return 1
  printf '%s %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: %s\r\n\r\n%s' "$3" "$4" "${#5}" "$5" >&9
  timeout 3 cat <&9 || true
  exec 9>&-
}

ready_at() { # INDEX
  call "127.0.2.$1" "$ready_port" GET /cornelshore/ready "" 2>/dev/null | grep -q '^HTTP/1.1 200'
}
