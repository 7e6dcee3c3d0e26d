#!/usr/bin/env bash
# Installs, builds, and runs the main job on loopback, in both ways. First three controllers, two entries, and sidecars before
# stand-in targets: submits a configuration, sends requests through both entries, shows their routes. Then three registries and
# three gateways before stand-in targets with layers: streams outlive a killed target, a killed leader and a restart; `ctl
# explain` tells why from the logs.
set -eu
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh | tail -n 1
bin=$PWD/build/buckthornrail
stand_in=$PWD/build/tools/stand_in_target
work=$(mktemp -d)
pids=()

finish() {
  status=$?
  trap - EXIT
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ "$status" != 0 ]; then
    echo "demo: failed; the ends of the logs follow" >&2
    for log in "$work"/*.log; do echo "== $(basename "$log")"; tail -n 5 "$log"; done >&2
  fi
  rm -rf "$work"
  exit "$status"
}
trap finish EXIT

# The first block of ports on which nobody answers.
base=${BASE_PORT:-21000}
while :; do
  busy=0
  for offset in 1 2 3 11 12 13 21 22 31 41 51 61; do
    if (exec 3<>"/dev/tcp/127.0.0.1/$((base + offset))") 2>/dev/null; then busy=1; fi
  done
  [ "$busy" = 1 ] || break
  base=$((base + 100))
done
address() { echo "127.0.0.1:$((base + $1))"; }
controllers="$(address 1),$(address 2),$(address 3)"
ctl() { "$bin" ctl --controllers "$(address 11),$(address 12),$(address 13)" "$@"; }

start() { # name, command...
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}

settings() { # name, failure domain, http port
  printf '[instance]\nid = %s\nfailure_domain = %s\n[http]\naddress = %s\n[controllers]\naddresses = %s\n' \
    "$1" "$2" "$(address "$3")" "$controllers"
}

for n in 1 2 3; do
  { settings "controller-$n" "domain-$n" "1$n"
    printf '[link]\naddress = %s\n[storage]\nfolder = %s\n' "$(address "$n")" "$work/data-$n"
  } >"$work/controller-$n.ini"
  start "controller-$n" "$bin" controller --settings "$work/controller-$n.ini"
done
for n in 1 2; do
  settings "entry-$n" "domain-$n" "2$n" >"$work/entry-$n.ini"
  start "entry-$n" "$bin" entry --settings "$work/entry-$n.ini"
done

sidecar() { # number, failure domain, kind, more settings of the target
  local name="sidecar-$1"
  start "target-$1" "$stand_in" --address "$(address "4$1")" --name "target-$1" --log "$work/executions.jsonl" \
    --layers 8
  { settings "$name" "$2" "3$1"
    printf '[link]\naddress = %s\n[target]\nkind = %s\naddress = %s\n%b\n' "$(address "5$1")" "$3" \
      "$(address "4$1")" "$4"
  } >"$work/$name.ini"
  "$bin" sidecar --settings "$work/$name.ini" --check >/dev/null
  start "$name" "$bin" sidecar --settings "$work/$name.ini"
}
sidecar 1 domain-1 openai 'model = essay-review\nversion = 1\naccelerator = kind-a'
sidecar 2 domain-2 kserve 'model = essay-review\nversion = 1\naccelerator = kind-b'
sidecar 3 domain-1 layer_range 'model = hull-report\nversion = 7\nfirst_layer = 0\nend_layer = 3\naccelerator = kind-a'
sidecar 4 domain-2 layer_range 'model = hull-report\nversion = 7\nfirst_layer = 3\nend_layer = 8\naccelerator = kind-c'
sidecar 5 domain-3 plain_service 'service = booking'

wait_for() { # seconds, what, command...
  limit=$((SECONDS + $1))
  what=$2
  shift 2
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$limit" ] || { echo "demo: $what did not come in time" >&2; return 1; }
    sleep 0.1
  done
}

echo "== form the controllers' log"
wait_for 20 "controller 1" curl -sf "http://$(address 11)/healthz"
ctl cluster init
voters() { [ "$(ctl status 2>/dev/null | grep '^controller' | grep -vc learner)" = 3 ]; }
wait_for 30 "three voting controllers" voters

echo "== submit a configuration"
ctl config check examples/configuration.json
ctl config put examples/configuration.json
ready() { [ "$(ctl status 2>/dev/null | grep '^sidecar' | grep -c ' ready ')" = 5 ]; }
wait_for 30 "five ready sidecars" ready
wait_for 30 "entry 1" curl -sf "http://$(address 21)/readyz"
wait_for 30 "entry 2" curl -sf "http://$(address 22)/readyz"
ctl status

ask() { # entry, curl arguments...
  entry=$1
  shift
  curl -sS --fail-with-body -D "$work/head" -H 'X-Workspace: harbor-reviews' "$@" \
    | sed 's/^/  /'
  echo
  ctl explain "$(sed -n 's/^X-Request-Id: \([0-9a-f]*\).*/\1/p' "$work/head")"
}
post() { # entry, path, body, more
  entry=$1
  path=$2
  body=$3
  shift 3
  ask "$entry" -H 'Content-Type: application/json' -d "$body" "$@" "http://$(address "2$entry")$path"
}
for entry in 1 2; do
  echo "== entry $entry: a completion"
  post "$entry" /v1/completions '{"model":"essay-summary","prompt":"An essay on tides.","max_tokens":6}'
  echo "== entry $entry: the same, streamed"
  post "$entry" /v1/completions '{"model":"essay-summary","prompt":"An essay on tides.","max_tokens":3,"stream":true}'
  echo "== entry $entry: a model split over two kinds of accelerators"
  post "$entry" /v1/chat/completions \
    '{"model":"hull-inspection","messages":[{"role":"user","content":"Hull of the Amira."}],"max_tokens":5}'
  echo "== entry $entry: a plain service"
  ask "$entry" "http://$(address "2$entry")/services/booking/slots?day=2"
done
echo "== a booking, sent twice with one key through two entries: it runs once"
post 1 /services/booking/bookings '{"slot":14}' -H 'Idempotency-Key: tide-14'
post 2 /services/booking/bookings '{"slot":14}' -H 'Idempotency-Key: tide-14'
[ "$(grep -c '"path":"/bookings"' "$work/executions.jsonl")" = 1 ]

echo "== stop all with SIGTERM"
for pid in "${pids[@]}"; do kill -TERM "$pid"; done
for pid in "${pids[@]}"; do wait "$pid" || { echo "demo: process $pid ended badly" >&2; exit 1; }; done
pids=()

echo
echo "== gateways and registries, which serve targets that check for themselves"
"$PWD/build/tests/fleet_demo" | tee "$work/fleet.log"
[ "${PIPESTATUS[0]}" = 0 ]
logs=$(sed -n 's/^logs: //p' "$work/fleet.log")
for request in demo-target-killed demo-leader-killed demo-gateway-restarted; do
  echo "== ctl explain $request"
  ctl explain "$request" $(printf -- '--log %s ' "$logs"/*.log) | cut -c1-150
done
rm -rf "$logs"
echo "demo: done"
