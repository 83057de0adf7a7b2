#!/usr/bin/env bash
# Sets up and passes all checks: format, lint, type check, build, tests. The last line is "N passed, N failed".
set -euo pipefail
cd "$(dirname "$0")"
npm run --silent setup >&2
npm run --silent format:check
npm run --silent lint
npm run --silent typecheck
rm -rf dist
npm run --silent build
npm run --silent check:names
npm run --silent test
