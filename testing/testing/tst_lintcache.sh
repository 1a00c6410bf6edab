#!/usr/bin/env bash
# The linter's cache: a source counts as clean only with all that decided it unchanged.
#   tst_lintcache.sh TREE
# TREE: the sources of figrack. Plays tools/lint.sh on a small tree of its own, with a cache of its own.
set -euo pipefail
origin=$1
tree=$(mktemp -d)
trap 'rm -rf "$tree"' EXIT
export FIGRACK_LINT_CACHE=$tree/cache
mkdir -p "$tree"/{tree,bin} && cd "$tree/tree"
mkdir tools core build
cp "$origin"/tools/lint*.sh tools/
cp "$origin"/.clang-tidy "$origin"/.clang-format .
passed=0
failed=0

write_header() {
  printf '// A header.\n\n#ifndef A_H\n#define A_H\n\n%s\n\n#endif // A_H\n' "$1" >core/a.h
}
# write_database FLAGS: as CMake writes it.
write_database() {
  local name separator=
  {
    echo '['
    for name in a b; do
      printf '%s{\n  "directory": "%s/build",\n' "$separator" "$PWD"
      printf '  "command": "/usr/bin/c++ %s -I%s -std=gnu++20 -o %s.o -c %s/core/%s.cpp",\n' \
        "$1" "$PWD" "$name" "$PWD" "$name"
      printf '  "file": "%s/core/%s.cpp"\n}' "$PWD" "$name"
      separator=$',\n'
    done
    printf '\n]\n'
  } >build/compile_commands.json
}
clean_header='auto twice(int value) -> int;'
write_header "$clean_header"
printf '#include "core/a.h"\n\nauto twice(int value) -> int\n{\n    return 2 * value;\n}\n' >core/a.cpp
printf 'auto one() -> int\n{\n    return 1;\n}\n' >core/b.cpp
write_database ''
git init -q . && git add -A

# expect TITLE LINTED [ARGUMENTS]: how many sources tools/lint.sh lints, or "fault".
expect() {
  local title=$1 wanted=$2 got
  shift 2
  if tools/lint.sh "$@" >"$tree/out" 2>&1; then
    got=$(sed -n 's/.*event=lint_clean.* linted=//p' "$tree/out")
  elif grep -q 'event=lint_failed' "$tree/out" && grep -q 'error:' "$tree/out"; then
    got=fault
  else
    got="no verdict"
  fi
  if [ "$got" = "$wanted" ]; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "FAILED: $title: wanted $wanted, got $got"
    cat "$tree/out"
  fi
}

expect "an empty cache" 2
expect "a second run" 0
expect "a second run that ignores the cache" 2 --all
write_header "// Doubles a number."$'\n'"$clean_header"
expect "a comment in a header, which one source includes" 1
expect "after that" 0
write_header "auto Twice(int value) -> int;"$'\n'"$clean_header"
expect "a fault in a header" fault
expect "a fault in a header, again" fault
write_header "$clean_header"
expect "the former header" 0
printf 'auto Two() -> int\n{\n    return 2;\n}\n' >>core/b.cpp
expect "a fault in a source" fault
expect "a fault in a source, again" fault
sed -i '5,$d' core/b.cpp
expect "the former source" 0

write_database '-DSOME_MACRO'
expect "a macro of the build" 2
write_database ''
expect "the former build" 0
sed -i 's/misc-unused-using-decls/misc-unused-using-decls,\n  misc-static-assert/' .clang-tidy
expect "a check that was added" 2
cp "$origin/.clang-tidy" .
expect "the former checks" 0
printf 'InheritParentConfig: true\nChecks: misc-static-assert\n' >core/.clang-tidy
expect "a configuration for one folder" 2
rm core/.clang-tidy

# A header that another folder now hides.
mkdir -p build/first/core && cp core/a.h build/first/core/
write_database "-I$PWD/build/first"
expect "another folder of headers" 2
printf '// Another.\n' >>build/first/core/a.h
expect "a header in that folder" 1
write_database ''

for entry in "$FIGRACK_LINT_CACHE"/*; do : >"$entry"; done
expect "entries that were cut short" 2
for entry in "$FIGRACK_LINT_CACHE"/*; do echo "clean" >"$entry"; done
expect "entries without their keys" 2
rm -r "$FIGRACK_LINT_CACHE"
expect "a cache that was removed" 2

# A linter that finds nothing while the header changes under it, and back.
write_header "auto Twice(int value) -> int;"$'\n'"$clean_header"
cat >"$tree/bin/clang-tidy" <<SCRIPT
#!/usr/bin/env bash
case " \$* " in
  *" --dump-config "* | *" --version "*) exec $(command -v clang-tidy) "\$@" ;;
esac
cp clean.h core/a.h
SCRIPT
chmod +x "$tree/bin/clang-tidy"
cp core/a.h fault.h && write_header "$clean_header" && cp core/a.h clean.h && cp fault.h core/a.h
PATH=$tree/bin:$PATH expect "a header that changes meanwhile" 2
cp fault.h core/a.h
PATH=$tree/bin:$PATH expect "the header as it was before" 1

# Another tree shares the cache.
write_header "$clean_header"
expect "the tree again" 0
cp -r "$tree/tree" "$tree/clone" && cd "$tree/clone"
write_database ''
expect "a clone in another folder" 0

FIGRACK_LINT_CACHE_ENTRIES=1 expect "a cache with room for one entry" 0
[ "$(ls -A "$FIGRACK_LINT_CACHE" | wc -l)" = 1 ] && passed=$((passed + 1)) || failed=$((failed + 1))

echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
