#!/usr/bin/env bash
# Prints the names of the tests that a change can affect, one a line. Needs an up-to-date build/.
#   tools/affectedtests.sh BASE
# A test is affected if its program, or a program that it needs to be built, contains an object made
# from a changed file. Files that are no C++ sources, other than pages, journal entries and review cases, affect
# every test: builds, scripts and deploy files are read by programs that name them in many ways.
set -euo pipefail
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

{
  git diff --name-only "$1"
  git ls-files -o --exclude-standard
} | grep -vE '^(docs|journal|review)/|\.md$|^KNOWN-RED\.txt$' | sort -u >"$scratch/changed" || true
[ -s "$scratch/changed" ] || exit 0

# Lines "NAME PROGRAM", without the build's folder.
(cd build && ctest -N -V) | awk -v build="$PWD/build/" '
  /Test command:/ { program = $4; sub(build, "", program) }
  /Test +#[0-9]+: / { sub(/.*Test +#[0-9]+: /, ""); print $0, program }' >"$scratch/tests"

if grep -qvE '\.(h|cpp)$' "$scratch/changed"; then
  cut -d' ' -f1 "$scratch/tests"
  exit 0
fi

# The objects that were made from a changed file. A removed file is in no object any more, but those
# that included it were changed with it.
ninja -C build -t deps 2>/dev/null | awk -v root="$PWD/" -v changed="$scratch/changed" '
  BEGIN { while ((getline line <changed) > 0) files[root line] = files["../" line] = 1 }
  /^[^ ].*: #deps/ { object = $1; sub(/:$/, "", object); next }
  $1 in files { print object }' | sort -u >"$scratch/objects"

while read -r name program; do
  if ! ninja -C build -t inputs "$program" >"$scratch/inputs" 2>/dev/null; then
    echo "$name" # A command that the build does not make, and that may read anything.
  elif grep -qxFf "$scratch/objects" "$scratch/inputs"; then
    echo "$name"
  fi
done <"$scratch/tests"
