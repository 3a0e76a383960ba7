#!/usr/bin/env bash
# A core machine is replaced as planned: its successor has run for longer than
# catch-up-s when the old one gets SIGTERM. Right after that two other core
# machines lose their disks. The acknowledged configuration must come back.
cd "$(dirname "$0")/../.." || exit 2
case=review/11
source review/lib-3.sh

catch_up_s=4
recovery_s=12

for i in 1 2 3 4 5; do
  write_control $i true "1 2 3"
  start_daemon control-$i
done
put_until_acknowledged 5 20 1 2 3 4 5 || cannot_run "no first configuration"
sleep $((2 * catch_up_s))

note "machine 6, the successor of machine 5, starts with an empty disk"
write_control 6 false "1 2 3"
start_daemon control-6
sleep $((2 * catch_up_s))
put_until_acknowledged 20 10 1 2 3 4 || cannot_run "no configuration before the replacement"

note "machine 5 gets SIGTERM and leaves for good"
end_process control-5 TERM
note "machine 5 has ended"

if [ "$trouble" != 0 ]; then
  sleep "${PAUSE_S:-0}"
  note "machines 1 and 2 lose power and their disks"
  end_process control-1 KILL
  end_process control-2 KILL
  rm -rf "$work/disk-1" "$work/disk-2"
  sleep 1
  note "machines 1 and 2 start again with empty disks"
  for i in 1 2; do
    write_control $i false "3 4 6"
    start_daemon control-$i
  done
fi

sleep $catch_up_s
if ! read_until_answered $((3 * recovery_s)) 1 2 3 4 6; then
  note "BROKEN: $((3 * recovery_s)) s after all were back, no machine answers a read of the configuration"
  put_until_acknowledged 30 2 1 2 3 4 6 || note "nor does any accept a new one"
  exit 1
fi
if [ "$read" -lt 20 ]; then
  note "BROKEN: version $read is read back, version 20 was acknowledged"
  exit 1
fi
note "held: version $read is read back"
