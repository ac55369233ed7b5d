#!/bin/sh
# Prepares the stand-ins that the scripts under review/6 to review/10 start. They are plain modules without
# dependencies, which node runs as they are; this checks that each of them can be read.
set -eu
cd "$(dirname "$0")"
for module in standins-2/*.mjs */run.mjs; do
  node --check "$module"
done
