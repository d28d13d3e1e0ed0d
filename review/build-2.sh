#!/bin/sh
# Builds the stand-ins of the second review's scripts into target/review-2; run in the repository's root.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/support-2/*.cpp; do
    name=$(basename "$source" .cpp)
    "${CXX:-g++}" -std=c++20 -O1 -pthread -o "target/review-2/$name" "$source"
done
