#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. Runs after the build command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/stand_ins/*.cpp; do
  g++ -std=c++20 -O2 -pthread "$source" -o "target/review/$(basename "$source" .cpp)"
done
