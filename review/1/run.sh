#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-1 ] && [ -x target/parsleyd ] || exit 2
exec target/review-1 review/1/record.txt
