#!/bin/sh
# Installs the packages of package-lock.json unless the installed ones came from the same lock file.
set -eu
cd "$(dirname "$0")/.."
if ! cmp -s package-lock.json node_modules/.installed-lock.json; then
    npm ci --no-audit --no-fund
    cp package-lock.json node_modules/.installed-lock.json
fi
