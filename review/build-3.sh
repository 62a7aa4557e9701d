#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the third review, into build/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-3
for source in review/1[1-5]/case.cpp; do
    [ -f "$source" ] || continue
    "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "build/review-3/case-$(basename "$(dirname "$source")")" &
done
status=0
for job in $(jobs -p); do
    wait "$job" || status=1
done
exit $status
