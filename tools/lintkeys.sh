#!/usr/bin/env bash
# Prints a key for each source, made of all that decides what the linter finds in it.
#   tools/lintkeys.sh SOURCES KEYS
# SOURCES: a file with one path a line. KEYS: becomes a file with a line "WEIGHT KEY SOURCE" for each;
# the weight grows with the time that linting takes, and the key is "-" where it is not known, for
# instance for a source that does not compile. KEYS.inputs: becomes a folder with the digests of the
# files behind each key, as `sha256sum --check` reads them.
#
# The key of a source is a digest of: its own bytes and those of each header that the compiler of the
# linter opens for it, found anew each time; its compile commands; the linter's configuration for its
# folder; the linter's program and libraries; these scripts; and the names and versions of the
# packages with headers, by which __has_include may find a header that is never opened. Comments
# count, since NOLINT is one. The tree's own folder does not: the linter's configuration matches
# paths by their end.
set -euo pipefail
cd "$(dirname "$0")/.."
sources=$1
keys=$2
inputs=$keys.inputs
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
mkdir -p "$inputs"

relative() { sed "s#$PWD\([/ \"]\|\$\)#.\1#g"; }

digest_linter() {
  local program
  program=$(readlink -f "$(command -v clang-tidy)")
  sha256sum "$program" $(ldd "$program" | awk '$3 ~ /^\// { print $3 }') | cut -d' ' -f1
  sha256sum tools/lint*.sh
  dpkg-query -W -f '${Package} ${Version}\n' '*-dev' 2>/dev/null
}

# The linter defines this macro. CMake writes one entry of three lines a command.
mkdir "$scratch/database"
sed -E 's#("command": "[^ ]+)#\1 -D__clang_analyzer__#' build/compile_commands.json \
  >"$scratch/database/compile_commands.json"
version=$(clang-tidy --version | sed -n 's/.*version \([0-9]*\).*/\1/p')
scanned=0
"clang-scan-deps-$version" --compilation-database="$scratch/database/compile_commands.json" \
  -j "$(nproc)" --format=make >"$scratch/scan" 2>/dev/null || scanned=$?
# 1: some sources do not compile, and have no rule. Otherwise the last rule may be cut short.
[ "$scanned" -le 1 ] || : >"$scratch/scan"
awk '{ more = sub(/\\$/, ""); printf "%s", $0; if (!more) print "" }' "$scratch/scan" |
  cut -d: -f2- >"$scratch/rules"

# A name with a space is split here and then has no digest, so that its sources get no key.
tr -s ' ' '\n' <"$scratch/rules" | sed '/^$/d' | sort -u |
  xargs -r -d '\n' sha256sum >"$scratch/digests" 2>/dev/null || true
digest_linter >"$scratch/linter"
git ls-files -co --exclude-standard -- '*.clang-tidy' | xargs -r sha256sum >"$inputs/common"
sha256sum build/compile_commands.json tools/lint*.sh >>"$inputs/common"

# Writes one file a source: the digests of its files, and its commands.
awk -v root="$PWD/" -v out="$scratch/" -v database=build/compile_commands.json '
  FILENAME ~ /digests$/ { digest[substr($0, 67)] = $1; next }
  FILENAME ~ /rules$/ {
    for (i = 2; i <= NF; i++)
      if ($i in digest) files[$1] = files[$1] digest[$i] "  " $i "\n"; else broken[$1] = 1
    files[$1] = files[$1] digest[$1] "  " $1 "\n"
    scanned[$1]++
    next
  }
  FILENAME == database {
    if (/"command":/) command = $0
    if (/"file":/) { split($0, part, "\""); commands[part[4]] = commands[part[4]] command "\n"; stated[part[4]]++ }
    next
  }
  {
    source = root $1
    if (scanned[source] && scanned[source] == stated[source] && !(source in broken)) {
      name = out FNR ".files"
      printf "%s", files[source] >name
      close(name)
      name = out FNR ".commands"
      printf "%s", commands[source] >name
      close(name)
    }
  }' "$scratch/digests" "$scratch/rules" build/compile_commands.json "$sources"

declare -A configuration
number=0
: >"$keys"
while read -r source; do
  number=$((number + 1))
  folder=$(dirname "$source")
  if [ -z "${configuration[$folder]:-}" ]; then
    configuration[$folder]=$(clang-tidy -p build --dump-config "$source" 2>/dev/null | relative)
  fi
  if [ ! -f "$scratch/$number.files" ]; then
    echo "0 - $source" >>"$keys"
    continue
  fi
  sort -u "$scratch/$number.files" >"$scratch/sorted"
  key=$({
    echo "$source"
    echo "${configuration[$folder]}"
    cat "$scratch/linter"
    cat "$scratch/sorted" "$scratch/$number.commands" | relative
  } | sha256sum | cut -d' ' -f1)
  cp "$scratch/sorted" "$inputs/$key"
  echo "$(wc -l <"$scratch/sorted") $key $source" >>"$keys"
done <"$sources"
