#!/bin/sh
# Bundles the project's stand-ins that the scripts of review/12 to review/16 start. Needs the build of deploy/system.toml first.
set -e
cd "$(dirname "$0")/.."
for name in fleetstore leasedworker; do
  node_modules/.bin/esbuild "packages/standins/src/$name.ts" --bundle --platform=node --format=esm --target=node20 --log-level=warning --outfile="target/review-4/$name.js"
done
