#!/usr/bin/env bash
# Measures over real processes on loopback, bounded in time. measure.sh [policy|ours|recovery|core] ...
set -eu
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh | tail -n 1
build=${BUILD_DIR:-build}
what=${1:-policy}
[ "$#" = 0 ] || shift
case "$what" in
  policy | ours | recovery) "$build/tests/measure" "$what" "$@" ;;
  core) "$build/tools/bench_core" "$@" ;;
  *) echo "measure.sh [policy|ours [CASE]|recovery [RUNS]|core]" >&2; exit 2 ;;
esac
