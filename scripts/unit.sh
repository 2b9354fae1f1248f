#!/usr/bin/env bash
# Runs all tests with the race detector. The tests listed in KNOWN-RED.txt fail
# because of a known fault; they are printed and left out, and nothing else is.
# In that file an entry begins with the name of a test at the start of a line;
# the lines that belong to it are indented.
set -euo pipefail
cd "$(dirname "$0")/.."

skip=()
if [[ -s KNOWN-RED.txt ]]; then
  while IFS= read -r test; do
    echo "known red, left out: $test"
    skip+=("^${test//\//\$/^}\$")
  done < <(grep -E '^Test' KNOWN-RED.txt)
fi
pattern=$(IFS='|'; echo "${skip[*]-}")
exec "${GO:-go}" test -race -timeout 7m ${pattern:+-skip "$pattern"} ./...
