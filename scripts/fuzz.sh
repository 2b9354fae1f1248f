#!/usr/bin/env bash
# Runs every fuzz target for a while, one after the other: fuzz.sh TIME, such as 30s.
# Inputs that fail are stored below testdata/fuzz of the package and are then played by
# every run of the tests.
set -euo pipefail
cd "$(dirname "$0")/.."
time=${1:-30s}
failed=0
while IFS=: read -r file target; do
  package=./$(dirname "$file")
  echo "== $package $target"
  # Minimizing interesting inputs would take most of the time.
  "${GO:-go}" test "$package" -run '^$' -fuzz "^$target\$" -fuzztime "$time" -fuzzminimizetime 1x -parallel "${WORKERS:-2}" || failed=1
done < <(git ls-files '*_test.go' | xargs grep -oHE 'func Fuzz[A-Za-z]+' | sed 's/func //')
exit $failed
