#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2, after the build of the deploy file. They need a C++20 compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread -c review/kit_2.cpp -o target/review-2/kit_2.o
for case_file in review/[0-9]*/*.cpp; do
    grep -q 'kit_2.h' "$case_file" || continue
    ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread "$case_file" target/review-2/kit_2.o -o "target/review-2/$(basename "$case_file" .cpp)"
done
