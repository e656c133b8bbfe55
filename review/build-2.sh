#!/bin/sh
# Builds the stand-ins that the scripts of cases 4 to 6 start, into target/review-2/. Run it after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in fleetstore fleetworker linkrelay ports; do
  node_modules/.bin/esbuild "packages/standins/src/$name.ts" --bundle --platform=node --format=esm --target=node20 --log-level=warning --outfile="target/review-2/$name.mjs"
done
node --check review/common-2/fleet.mjs
