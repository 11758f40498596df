#!/bin/sh
# Builds the stand-ins and plays of the cases 6 to 10: plain JavaScript, copied to where Node.js runs it.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
cp review/standins-2/stand_ins.mjs.txt target/review-2/stand_ins.mjs
for play in review/*/play.mjs.txt; do
    case=$(basename "$(dirname "$play")")
    if [ "$case" -ge 6 ] 2>/dev/null; then
        cp "$play" "target/review-2/play_$case.mjs"
        node --check "target/review-2/play_$case.mjs"
    fi
done
