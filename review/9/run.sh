#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
case=$(basename "$(cd "$(dirname "$0")" && pwd)")
cd "$(dirname "$0")/../.." || exit 2
[ -f target/zinniaglade.mjs ] && [ -f "target/review-2/play_$case.mjs" ] || exit 2
exec node "target/review-2/play_$case.mjs" "review/$case"
