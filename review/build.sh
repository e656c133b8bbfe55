#!/bin/sh
# The scripts' stand-ins are plain modules under review/lib and need no build. The programs come from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
for file in review/lib/*.mjs review/*/*.mjs; do node --check "$file"; done
test -f target/amaranthmast-fleet.js || { [ node_modules -nt package-lock.json ] || npm ci --silent; node scripts/build.mjs target amaranthmast-fleet; }
