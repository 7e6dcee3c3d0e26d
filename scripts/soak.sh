#!/usr/bin/env bash
# Soaks with so many seeds, a few at once; fresh ones where none is named. soak.sh [COUNT [FIRST_SEED [SECONDS [AT_ONCE]]]]
# OPTIONS (--pushback): options of each soak.
set -eu
cd "$(dirname "$0")/.."
scripts/build.sh | tail -n 1
build=${BUILD_DIR:-build}
count=${1:-10}
first=${2:-$(date +%s)}
seconds=${3:-15}
at_once=${4:-4}
seq "$first" $((first + count - 1)) | xargs -P "$at_once" -I{} bash -c \
  '"$1"/tests/soak --seed "$2" --seconds "$3" $4 >"/tmp/soak-$2.log" 2>&1 || { grep -E "BROKEN|logs:" "/tmp/soak-$2.log"; exit 1; }' \
  _ "$build" {} "$seconds" "${OPTIONS:---pushback}"
echo "soak: $count seeds from $first held"
