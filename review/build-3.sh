#!/bin/sh
# Builds the stand-ins of the cases 11, 13 and 14 into target/review-3/. Run in the repository after the build of the deploy
# file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/support-3/*.cc; do
    name=$(basename "$source" .cc)
    ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-3/$name"
done
