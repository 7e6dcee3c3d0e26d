#!/usr/bin/env bash
# Three core machines. Two of them are replaced one after the other, the new machine first each time; long after that,
# one of the three loses its disk right after it has acknowledged a configuration. Is the configuration still there?
# TROUBLE=0: nothing is replaced and no disk is lost. TROUBLE=replace, TROUBLE=wipe: only one of the two.
set -u
. "$(dirname "$0")/../common.sh"

catch_up_s=4   # bounds.catch-up-s
recover_s=12   # bounds.recover-s
hosts=(127.0.0.11 127.0.0.12 127.0.0.13 127.0.0.14 127.0.0.15)
choose_ports "${hosts[@]}"
seeds="127.0.0.11:$control_port,127.0.0.12:$control_port,127.0.0.13:$control_port"

document() { # version
  printf '{"version":%d,"routes":[{"name":"r","host":"a.example","path-prefix":"/v%d/","kind":"safe","timeout-ms":1500,"target-latency-ms":150,"priority":1,"service":"portal","max-attempts":2,"public":true}],"services":[{"name":"portal","health-path":"/healthz","max-connections":100}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}' \
    "$1" "$1"
}

# As the operator does: to any daemon, again and unchanged until one acknowledges it.
publish() { # version, seconds, hosts...
  local version=$1 until=$(($(now_ms) + $2 * 1000)) host answer
  shift 2
  while [ "$(now_ms)" -lt "$until" ]; do
    for host in "$@"; do
      answer=$(call PUT "$host" "$control_port" /config "$(document "$version")")
      [ "${answer%% *}" = 200 ] && { acknowledged_by=$host; note "version $version acknowledged by $host"; return 0; }
    done
    sleep 0.2
  done
  note "version $version: no acknowledgement, last answer: $answer"
  return 1
}

start_registry core-1 127.0.0.11 hall-a true "$seeds"
start_registry core-2 127.0.0.12 hall-b true "$seeds"
start_registry core-3 127.0.0.13 hall-c true "$seeds"
publish 1 15 127.0.0.11 127.0.0.12 127.0.0.13 || exit 2
running=(127.0.0.11 127.0.0.12 127.0.0.13)
sleep 4

if [ "$trouble" != 0 ] && [ "$trouble" != wipe ]; then
  note "core-4 (empty) starts; it will replace core-3"
  start_registry core-4 127.0.0.14 hall-c false "$seeds"
  sleep $((catch_up_s + 1))
  note "SIGTERM to core-3, which is removed for good"
  stop_process core-3 TERM
  note "core-3 has ended; core-5 (empty) starts; it will replace core-2"
  start_registry core-5 127.0.0.15 hall-b false "127.0.0.11:$control_port,127.0.0.12:$control_port,127.0.0.14:$control_port"
  sleep $((catch_up_s + 1))
  note "SIGTERM to core-2, which is removed for good"
  stop_process core-2 TERM
  note "core-2 has ended; core-1, core-4 and core-5 run"
  running=(127.0.0.11 127.0.0.14 127.0.0.15)
else
  sleep $((2 * (catch_up_s + 1)))
fi
sleep 10
publish 2 8 "${running[@]}" || { note "the control plane failed before any disk was lost"; exit 1; }
for host in "${running[@]}"; do
  call GET "$host" "$control_port" /status "" | cut -c 1-300 | sed "s/^/           status of $host: /" >>"$record"
done
publish 3 8 127.0.0.11 || exit 2

if [ "$trouble" != 0 ] && [ "$trouble" != replace ]; then
  stop_process core-1 KILL
  rm -rf "$work/disk-core-1"
  note "core-1 has lost its disk and is down"
  sleep 3
  note "core-1 starts again at its address with an empty disk"
  start_registry core-1 127.0.0.11 hall-a false "$seeds"
else
  sleep 3
fi

# More than the time that the pages give for a recovery; the rule itself sets no bound at the end of a day.
held=0
until=$(($(now_ms) + (recover_s + 13) * 1000))
while [ "$(now_ms)" -lt "$until" ]; do
  answers=""
  for host in "${running[@]}"; do
    answer=$(call GET "$host" "$control_port" /config "")
    answers="$answers $host:${answer%% *}"
    case $answer in '200 {"version":3,'*) held=1 ;; esac
  done
  note "read back:$answers"
  [ "$held" = 0 ] || break
  sleep 1
done
if [ "$held" = 0 ]; then
  note "BROKEN: version 3 was acknowledged and can't be read back from any core machine"
  exit 1
fi
publish 4 8 "${running[@]}" || { note "BROKEN: a proper configuration isn't acknowledged"; exit 1; }
note "held"
exit 0
