#!/usr/bin/env bash
# A change of the configuration adds a service whose model has no share of the work at the start. TROUBLE=0: its share is 1.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/carawayloft_platform ] && [ -x target/review-2/no_share_yet ] || exit 2
exec timeout -k 5 110 target/review-2/no_share_yet review/7/record.txt
