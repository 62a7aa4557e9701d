#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for program in 2/missing_field 5/forgotten_departure; do
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -I . -o "target/review/${program#*/}" "review/$program.cpp" review/stand_in.cpp
done
