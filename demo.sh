#!/usr/bin/env bash
# Sets up and runs the built-in local fleet; prints what happens.
set -euo pipefail
cd "$(dirname "$0")"
[ -d node_modules ] || npm run --silent setup >&2
npm run --silent build
exec node dist/src/testing/demo.js
