#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15 into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -pthread -Wall -Wextra "$source" -o "target/review-3/case-$number"
done
