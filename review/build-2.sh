#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, which need nothing but a C++ compiler, into
# target/review-2. The daemon itself is built by the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O2 -Wall -Wextra -c review/common-2/standins.cpp -o target/review-2/standins.o
for number in 6 7 8 9 10; do
  [ -f "review/$number/case.cpp" ] || continue
  g++ -std=c++20 -O2 -Wall -Wextra "review/$number/case.cpp" target/review-2/standins.o -pthread \
    -o "target/review-2/case-$number"
done
