#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript that needs no package and no compilation; this checks that they load.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib/*.mjs review/*/play.mjs; do node --check "$file"; done
test -f target/ledgegauge.mjs || node scripts/bundle-platform.mjs
