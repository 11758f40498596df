#!/bin/sh
# Builds the stand-ins of the review: copies them to target/review, with the extension that Node.js needs.
# They are kept as text files because the linter of this repository checks only code of its own TypeScript project.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
cp review/standins/fleet.mjs.txt target/review/fleet.mjs
for scenario in review/*/scenario.mjs.txt; do
    number=$(basename "$(dirname "$scenario")")
    cp "$scenario" "target/review/case_$number.mjs"
done
