#!/usr/bin/env bash
# Plays one day for each kind of trouble, and pairs with a leader killed, a gateway killed and a dark model server, on a
# site of the users' platform, and prints one table. The bench and the site are named by who calls it; CI has neither.
# play.sh BENCH SITE [JOBS]
set -eu
bench=$1
site=$2
jobs=${3:-4}
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# The service whose targets hold layers.
service=$(sed -n 's/.*{ name = "\([^"]*\)", model = .*/\1/p' "$site" | head -n 1)

# name|the table of faults or of planned work|its entries
days() {
  sed -e '/^#/d' -e '/^$/d' -e "s/@SERVICE@/$service/" "$here/kinds.txt"
}

write_day() { # name, table, entries
  local other=faults
  [ "$2" = faults ] && other=plan
  { echo "name = \"$1\""
    echo "slot = \"trouble\""
    echo "seed = $(printf '%s' "$1" | cksum | cut -d' ' -f1)"
    echo "$other = []"
    echo "$2 = [ $3 ]"
  } >"$work/$1.toml"
}

play() { # name
  "$bench" run "$site" "$work/$1.toml" --jobs 1 >"$work/$1.out" 2>&1 || true
  row=$(awk -v name="$1" '$1 == name' "$work/$1.out" | head -n 1)
  if [ -z "$row" ]; then
    printf '%-34s %-22s %s\n' "$1" "NOT PLAYED" "$(grep -E 'panicked|error' "$work/$1.out" | head -n 1)"
    return
  fi
  rules=$(printf '%s' "$row" | sed -n 's/.*BROKEN: \([A-Za-z0-9 ,]*\).*/\1/p')
  printf '%-34s %-22s %s\n' "$1" "${rules:-kept}" \
    "$(printf '%s' "$row" | awk '{print "worth " $4 " served " $5 " refused " $6 " failed " $7}')"
}
export -f play
export bench site work

while IFS='|' read -r name table entries; do
  write_day "$name" "$table" "$entries"
  echo "$name" >>"$work/names"
  [ "$table" = faults ] || continue
  write_day "$name-leader" faults "$entries { at = 8.0, kind = \"node_kill\", on = \"core\", count = 1, how = \"leader\" },"
  write_day "$name-gateway" faults "$entries { at = 8.0, kind = \"node_kill\", on = \"front\", count = 1 },"
  write_day "$name-dark" faults "$entries { at = 7.0, kind = \"srv_crash\", service = \"$service\", count = 1, how = \"joined dark\", for_s = 6.0 },"
  printf '%s\n' "$name-leader" "$name-gateway" "$name-dark" >>"$work/names"
done < <(days)
echo "day                                rules                  worth"
xargs -P "$jobs" -I{} bash -c 'play "$1"' _ {} <"$work/names" | sort
