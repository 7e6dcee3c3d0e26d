# Shared by the scripts of the cases: processes, settings files and HTTP calls. Sourced, not run.
# Every process listens on a loopback address of its own, so that ports are the same on all machines, as on the platform.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
bin=$root/target/buckthornrail
stand_ins=$root/target/review
here=$(cd "$(dirname "$0")" && pwd)
record=$here/record.txt
trouble=${TROUBLE:-1}
work=$(mktemp -d)
started=$(date +%s%N)
declare -A pid_of

[ -x "$bin" ] || { echo "the build of the deploy file is missing: $bin" >&2; exit 2; }
: >"$record"

now_ms() { echo $((($(date +%s%N) - started) / 1000000)); }
note() { printf '%8d ms  %s\n' "$(now_ms)" "$*" | tee -a "$record"; }

finish() {
  local status=$?
  trap - EXIT
  for pid in "${pid_of[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  for pid in "${pid_of[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ -n "${KEEP:-}" ]; then cp -r "$work" "$KEEP"; fi
  rm -rf "$work"
  exit "$status"
}
trap finish EXIT
trap 'exit 2' INT TERM

# Chooses the ports: the first block in which nobody listens on the given loopback hosts.
choose_ports() { # hosts...
  local host offset busy
  base=$((11000 + RANDOM % 20000)) # below the ports of outgoing channels
  while :; do
    busy=0
    for host in "$@"; do
      for offset in 0 1 2 3; do
        if (exec 3<>"/dev/tcp/$host/$((base + offset))") 2>/dev/null; then busy=1; fi
      done
    done
    [ "$busy" = 1 ] || break
    base=$((base + 10))
  done
  control_port=$base link_port=$((base + 1)) front_port=$((base + 2)) ready_port=$((base + 3))
}

# Fills in a template of the deploy file as the platform does: plain placeholders only.
fill() { # template, key=value...
  local text line
  text=$(cat "$root/$1")
  shift
  for line in "$@"; do text=${text//"{{${line%%=*}}}"/"${line#*=}"}; done
  printf '%s\n' "$text"
}

start_registry() { # name, host, zone, bootstrap, seeds
  mkdir -p "$work/disk-$1"
  fill platform/registry.ini "node=$1" "zone=$3" "listen.control=$2:$control_port" "ip=$2" \
    "port-range.0=$link_port" "seeds=$5" "bootstrap=$4" "heartbeat-ms=1200" "data-dir=$work/disk-$1" >"$work/$1.ini"
  (cd "$root" && exec "$bin" registry --settings "$work/$1.ini" >>"$work/$1.log" 2>&1) &
  pid_of[$1]=$!
}

start_gateway() { # name, host, zone, seeds
  fill platform/gateway.ini "node=$1" "zone=$3" "listen.ready=$2:$ready_port" "listen.front=$2:$front_port" \
    "bounds.retry-budget-ratio=0.2" "bounds.budget-slack=198" "bounds.budget-window-s=10" "bounds.grace-s=8" \
    "seeds=$4" "port-range.0=$link_port" >"$work/$1.ini"
  (cd "$root" && exec "$bin" gateway --settings "$work/$1.ini" >>"$work/$1.log" 2>&1) &
  pid_of[$1]=$!
}

# Sends a signal and waits until the process has ended.
stop_process() { # name, signal
  kill -"$2" "${pid_of[$1]}" 2>/dev/null || true
  wait "${pid_of[$1]}" 2>/dev/null || true
  unset "pid_of[$1]"
}

# One call; prints the status, a space and the body. 000: no response within two seconds.
call() { # method, host, port, path, body
  local response
  response=$(timeout 2 bash -c '
    exec 3<>"/dev/tcp/$2/$3" || exit 1
    printf "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s" \
      "$1" "$4" "$2" "${#5}" "$5" >&3
    cat <&3' call "$@" 2>/dev/null) || true
  if [ -z "$response" ]; then echo "000 "; return; fi
  printf '%s %s\n' "$(printf '%s' "$response" | head -n 1 | cut -d ' ' -f 2)" \
    "$(printf '%s' "$response" | sed '1,/^\r$/d' | tr -d '\r\n')"
}
