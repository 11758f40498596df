#!/bin/sh
# Builds target/zinniaglade.mjs, the daemon with the platform adapters.
set -eu
cd "$(dirname "$0")/.."
sh scripts/install_once.sh
mkdir -p target
npx --no-install esbuild platform/main.ts --bundle --platform=node --target=node20 --format=esm --minify-syntax --minify-whitespace \
    --external:unix-dgram --log-level=warning --outfile=target/zinniaglade.mjs \
    --banner:js='import { createRequire } from "node:module"; const require = createRequire(import.meta.url);'
