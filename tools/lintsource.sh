#!/usr/bin/env bash
# Lints one source, and remembers its key if it is clean.
#   tools/lintsource.sh INPUTS KEY SOURCE
# INPUTS: the folder in which tools/lintkeys.sh has left the digests of what the keys were made of.
set -euo pipefail
cd "$(dirname "$0")/.."
source tools/lintcache.sh
inputs=$1
key=$2
source=$3
clang-tidy -p build --quiet --warnings-as-errors='*' "$source"
[ "$key" != - ] || exit 0
# A file that changed meanwhile may have been read as it is now, which is not what the key says.
if sha256sum --check --status --strict "$inputs/common" "$inputs/$key"; then
  lint_cache_add "$key"
fi
