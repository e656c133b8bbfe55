#!/usr/bin/env bash
# Builds the stand-ins and the scripts of the cases 7 to 11 into target/review-3/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
node review/common-3/build.mjs
