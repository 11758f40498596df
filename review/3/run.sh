#!/bin/sh
# Plays case 3 after review/build.sh; exits with 1 when the rule was broken, 0 when it held, 2 when it could not run.
cd "$(dirname "$0")/../.." || exit 2
exec node target/review/case_3.mjs
