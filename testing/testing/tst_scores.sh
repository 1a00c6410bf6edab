#!/usr/bin/env bash
# tools/scores.sh goes on after an interruption, and says what was not played, failed or fell.
#   tst_scores.sh TREE
# TREE: the sources of figrack. A stand-in plays the days.
set -euo pipefail
origin=$1
root=$(mktemp -d)
trap 'rm -rf "$root"' EXIT
mkdir -p "$root"/tree/{tools,deploy,platform/testing} && cd "$root/tree"
cp "$origin/tools/scores.sh" tools/
cp "$origin/platform/testing/playsite.sh" platform/testing/
printf '# A comment.\na/one.toml 40 0.700 -\nb/two.toml 8 0.700 sweep\n' >deploy/regression.sites
printf '/build/\n' >.gitignore
git init -q . && git add -A
git -c user.name=test -c user.email=test@example.invalid commit -q -m tree

# Plays in no time. The file `plan` names what fails, is interrupted or has another worth.
cat >"$root/bench" <<'SCRIPT'
#!/usr/bin/env bash
here=$(dirname "$0")
echo "$*" >>"$here/calls"
play="$(basename "$2" .toml).$1"
worth=$(sed -n "s/^$play worth //p" "$here/plan")
if grep -q "^$play interrupted" "$here/plan"; then exit 130; fi
echo "trouble-1 is played, after 92 s"
echo "quiet-1  9/9  0.99  0.100  0.9"
echo "trouble-1  9/9  0.99  ${worth:-0.710}  0.9"
echo "scale-1  9/9  0.99  ${worth:-0.710}  0.9"
echo "fresh-a  9/9  0.99  0.100  0.9"
! grep -q "^$play failed" "$here/plan"
SCRIPT
chmod +x "$root/bench"
passed=0
failed=0

# run STATUS ARGUMENTS...: plays by the plan, and looks at the exit status.
run() {
  local wanted=$1 status=0
  shift
  : >"$root/calls"
  tools/scores.sh "$root/bench" "$root" why "$@" >"$root/out" 2>&1 || status=$?
  check "exit status $status, $wanted expected" [ "$status" = "$wanted" ]
}
check() {
  local title=$1
  shift
  if "$@"; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "FAILED: $title"
    cat "$root/out"
  fi
}
has_row() { grep -qE "^$1 +$2 +$3 +$4 +$5 *$6\$" "$root/out"; }
calls() { [ "$(wc -l <"$root/calls")" = "$1" ]; }

echo 'two.hunt interrupted' >"$root/plan"
run 2 --jobs 3 --verbs score,hunt,sweep
check "four plays before the interruption" calls 4
check "the number of processors" grep -q -- '--jobs 3' "$root/calls"
check "the days of a hunt" grep -q 'one.toml .*--days 40' "$root/calls"
check "what was played" has_row one score held 0.710 0.700 ''
check "what was interrupted" has_row two hunt - - - 'not played'
check "what was not reached" has_row two sweep - - - 'not played'

: >"$root/plan"
run 0 --verbs score,hunt,sweep
check "only what was missing" calls 2
run 0 --verbs score,hunt,sweep
check "nothing is missing" calls 0
run 0 --table one
check "a table of all" has_row two sweep held 0.710 - ''

touch new && git add new
git -c user.name=test -c user.email=test@example.invalid commit -q -m more
printf 'one.score worth 0.669\ntwo.hunt failed\n' >"$root/plan"
run 1 --verbs score one
check "another commit is played anew" calls 1
check "a figure that fell" has_row one score held 0.669 0.700 'fell by more than 0.03'
printf 'one.hunt failed\n' >"$root/plan"
run 1 --verbs hunt
check "a rule that was broken" has_row one hunt failed 0.710 - ''

touch loose
run 2
check "a tree that is not committed" calls 0

echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
