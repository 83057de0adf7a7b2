#!/usr/bin/env bash
# The stand-ins are plain JavaScript for Node.js and need no build; this checks their syntax.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.mjs [1-5]/*.mjs; do node --check "$file"; done
