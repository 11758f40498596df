#!/bin/sh
# Builds dist/zinniaglade: one CommonJS bundle inside a copy of the Node.js executable.
set -eu
cd "$(dirname "$0")/.."
mkdir -p dist
npx --no-install esbuild src/main.ts --bundle --platform=node --target=node20 --format=cjs --minify-syntax \
    --external:unix-dgram --log-level=warning --outfile=dist/zinniaglade.cjs
printf '{"main":"dist/zinniaglade.cjs","output":"dist/zinniaglade.blob","disableExperimentalSEAWarning":true}' > dist/sea.json
npx --no-install esbuild standin/main.ts --bundle --platform=node --target=node20 --format=cjs \
    --log-level=warning --outfile=dist/standin.cjs
node --experimental-sea-config dist/sea.json > /dev/null
cp "$(node -p process.execPath)" dist/zinniaglade.new
chmod u+w dist/zinniaglade.new
npx --no-install postject dist/zinniaglade.new NODE_SEA_BLOB dist/zinniaglade.blob \
    --sentinel-fuse NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2 > dist/postject.txt 2>&1 || { cat dist/postject.txt; exit 1; }
chmod 755 dist/zinniaglade.new
mv dist/zinniaglade.new dist/zinniaglade
