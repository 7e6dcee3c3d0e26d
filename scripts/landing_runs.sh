#!/usr/bin/env bash
# The runs of a landing on the users' platform: scores and hunts on the sites that are named, and one table of them.
# landing_runs.sh score|hunt BENCH FOLDER SITE[=DAYS]...
# Plays in FOLDER, a clone of the commit to be landed, since a build would replace the program that is played. JOBS (4):
# days played at once. Journal entries stay in the clone: copy them into journal/ and commit them.
set -eu
usage() { sed -n '3,5s/^# //p' "$0" >&2; exit 2; }
[ "$#" -ge 4 ] || usage
verb=$1 bench=$2 folder=$3
shift 3
case "$verb" in score | hunt) ;; *) usage ;; esac
jobs=${JOBS:-4}
usual_days=40
cd "$folder"
commit=$(git rev-parse --short HEAD)
[ -z "$(git status --porcelain -- . ':!journal')" ] || commit="$commit, with changes"

row() { # site's name, file with the bench's output
  awk -v site="$1" '
    / with a rule broken$/ { broken = $0; sub(/.*, /, "", broken); sub(/ with.*/, "", broken) }
    /BROKEN:/ { rules = rules " " substr($0, index($0, "BROKEN:") + 8) }
    /^score on the standard days/ { score = $0; sub(/.*\): /, "", score); sub(/[^0-9.].*/, "", score) }
    /^GATE/ { gate = $2 }
    # A row of a day: name, own/servers, score, worth, ... Its name may hold spaces.
    match($0, / [0-9]+\/[0-9]+ +-?[0-9.]+ +-?[0-9.]+ /) {
      split(substr($0, RSTART, RLENGTH), field, " ")
      worth = field[3] + 0
      days++
      if (least == "" || worth < least) { least = worth; worst = substr($0, 1, RSTART - 1) }
      if ($1 !~ /^(quiet|fresh)/) { sum += worth; hard++ }
    }
    END {
      sub(/ +$/, "", worst)
      printf "%-22s %5s  %-8s %5d  %5.3f  %5.3f  %s%s%s\n", site, score == "" ? "-" : score, gate == "" ? "-" : gate, days,
        hard ? sum / hard : 0, least, worst, broken + 0 ? "; days with a rule broken: " broken : "", rules
    }' "$2"
}

output=$(mktemp -d)
trap 'rm -rf "$output"' EXIT
for one in "$@"; do
  site=${one%%=*}
  days=${one#"$site"}
  days=${days#=}
  name=$(basename "$site" .toml)
  amount=()
  [ "$verb" = score ] || amount=(--days "${days:-$usual_days}")
  "$bench" "$verb" "$site" "${amount[@]}" --jobs "$jobs" --why "$verb of the landing, $commit" >"$output/$name" 2>&1 \
    || echo "$name: the bench ended with status $?" >&2
  # A table that can't be read must not pass for a good one.
  grep -qE ' [0-9]+/[0-9]+ +-?[0-9.]+ +-?[0-9.]+ ' "$output/$name" || { cat "$output/$name" >&2; exit 1; }
done
echo "$verb, $commit; worth: mean over days that are neither quiet nor drawn just now, and the least"
printf '%-22s %5s  %-8s %5s  %5s  %5s  %s\n' site score gate days mean least "least on; broken rules"
for one in "$@"; do
  name=$(basename "${one%%=*}" .toml)
  row "$name" "$output/$name"
done
