#!/bin/sh
# Installs the packages of package-lock.json unless the installed ones came from the same lock file.
# npm ci refuses a lock file without the optional packages of other platforms, which a registry may lack; npm install
# takes the locked versions and skips them.
set -eu
cd "$(dirname "$0")/.."
if ! cmp -s package-lock.json node_modules/.installed-lock.json; then
    npm install --no-save --no-audit --no-fund
    cp package-lock.json node_modules/.installed-lock.json
fi
