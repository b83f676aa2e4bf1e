#!/bin/sh
# Builds the stand-ins of review/4 and later. They are plain modules of Node.js that need no package and no compiler:
# this checks that each of them can be read. The system itself is built by the command of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
for file in lib-2/*.mjs [4-8]/*.mjs; do
  node --check "$file"
done
test -f ../target/ledgegauge.mjs || echo "target/ledgegauge.mjs is missing: run the build of deploy/system.toml" >&2
