#!/usr/bin/env bash
# Formatter and linter over the tree; both must be clean. Needs a configured build/.
#   tools/lint.sh [--all]
# A source that was clean with the same key (tools/lintkeys.sh) is not linted again. --all lints
# every source.
set -euo pipefail
cd "$(dirname "$0")/.."
source tools/lintcache.sh
packages=(core catalogue http proto coord state policy endpoint control router report gateway fleet cmd platform testing bench)

scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

git ls-files -- "${packages[@]}" | grep -E '\.(h|cpp)$' >"$scratch/files"
xargs -P "$(nproc)" -n 40 clang-format --dry-run -Werror <"$scratch/files"
echo "event=format_clean files=$(wc -l <"$scratch/files")"

grep '\.cpp$' "$scratch/files" >"$scratch/sources"
tools/lintkeys.sh "$scratch/sources" "$scratch/keys"
# Without --all: the sources with an unknown key. The longest first, so that none is left at the end.
while read -r weight key source; do
  if [ "${1:-}" = --all ] || ! lint_cache_knows "$key"; then
    echo "$weight $key $source"
  fi
done <"$scratch/keys" | sort -rn >"$scratch/unknown"

if ! cut -d' ' -f2- "$scratch/unknown" | xargs -r -P "$(nproc)" -n 2 \
  tools/lintsource.sh "$scratch/keys.inputs" >"$scratch/log" 2>/dev/null; then
  grep -E '(error|warning):' "$scratch/log" | sort -u || true
  echo "event=lint_failed"
  exit 1
fi
lint_cache_trim
echo "event=lint_clean files=$(wc -l <"$scratch/sources") linted=$(wc -l <"$scratch/unknown")"
