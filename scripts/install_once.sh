#!/bin/sh
# Installs the packages of package-lock.json when they are absent or older than the lock file.
set -eu
cd "$(dirname "$0")/.."
if [ ! -e node_modules/.package-lock.json ] || [ package-lock.json -nt node_modules/.package-lock.json ]; then
    npm ci --no-audit --no-fund
    touch node_modules/.package-lock.json
fi
