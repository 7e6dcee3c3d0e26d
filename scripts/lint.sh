#!/usr/bin/env bash
# clang-tidy over the project's sources.
set -eu
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
git ls-files 'src/*.cpp' 'tools/*.cpp' 'examples/*.cpp' | xargs -P "$(nproc)" -n 4 clang-tidy -p "$build" --quiet 2>/dev/null
