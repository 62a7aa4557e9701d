#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for program in forgotten_departure missing_field; do
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review/$program" "review/stand_in/$program.cpp" review/stand_in/stand_in.cpp
done
