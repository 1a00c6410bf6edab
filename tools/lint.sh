#!/usr/bin/env bash
# Formatter and linter over the tree; both must be clean. Needs a configured build/.
set -euo pipefail
cd "$(dirname "$0")/.."
packages=(core catalogue http proto coord state policy endpoint control router report gateway fleet cmd platform testing bench)

mapfile -t files < <(git ls-files -- "${packages[@]}" | grep -E '\.(h|cpp)$')
clang-format --dry-run -Werror "${files[@]}"
echo "event=format_clean files=${#files[@]}"

mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cpp$')
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -n 1 \
  clang-tidy -p build --quiet --warnings-as-errors='*' >build/lint.log 2>/dev/null \
  || { grep -E '(error|warning):' build/lint.log | sort -u; echo "event=lint_failed"; exit 1; }
echo "event=lint_clean files=${#sources[@]}"
