#!/usr/bin/env bash
# Builds the programs of the cases from 4 on: each holds the stand-ins for the platform, the servers and the clients.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand_ins_2/*.cpp; do
  g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "target/review-2/$(basename "$source" .cpp)" "$source"
done
