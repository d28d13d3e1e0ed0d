#!/usr/bin/env bash
# Builds the stand-ins of the cases that have a script, after the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cc; do
    name=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review -o "target/review/$name" "$source" &
done
for job in $(jobs -p); do
    wait "$job"
done
