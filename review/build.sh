#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript modules for Node.js 20 without dependencies: there is nothing to compile.
# Checks that each of them can be read.
set -eu
cd "$(dirname "$0")"
for file in standins/*.mjs [0-9]/*.mjs; do
  node --check "$file"
done
