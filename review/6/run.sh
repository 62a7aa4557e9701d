#!/usr/bin/env bash
# Another writer's check-ins hold bytes that cannot be read. TROUBLE=0: without them.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/carawayloft_platform ] && [ -x target/review-2/odd_writer ] || exit 2
exec timeout -k 5 110 target/review-2/odd_writer review/6/record.txt
