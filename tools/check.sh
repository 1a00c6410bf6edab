#!/usr/bin/env bash
# What to run before each push to main: formatter, boundary and linter over the tree, and the tests
# that a change can affect.
#   tools/check.sh [BASE]
# BASE: the revision since which the tree has changed, origin/main without it, or HEAD where there is
# none. Files that are not committed count. The linter reads only what has changed since it was clean
# (tools/lint.sh).
set -euo pipefail
cd "$(dirname "$0")/.."
base=${1:-$(git rev-parse -q --verify origin/main || git rev-parse HEAD)}
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

tools/boundary.sh
tools/build.sh
tools/lint.sh
tools/affectedtests.sh "$base" >"$scratch/tests"
if [ ! -s "$scratch/tests" ]; then
  echo "event=check_clean tests=0 base=$base"
  exit 0
fi
tools/test.sh -R "^($(paste -sd'|' "$scratch/tests"))\$"
echo "event=check_clean tests=$(wc -l <"$scratch/tests") base=$base"
