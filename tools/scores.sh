#!/usr/bin/env bash
# Plays deployments one after the other (scores, hunts, sweeps) and ends with a table of what was
# played on this commit and what was not, beside the figures to hold. Started again after an
# interruption, it goes on with what has no result yet.
#   tools/scores.sh BENCH SITES WHY [--jobs N] [--verbs VERB,...] [--table] [NAME...]
# BENCH: the program that plays days. SITES: the folder of the site files. WHY: a line for the journal.
# --jobs: processors to use, half of them without it: days are given up where the machine is too busy.
# --verbs: of score, hunt and sweep; score,hunt without it. --table: plays nothing. NAME: a deployment
# of deploy/regression.sites without folder and ending; all of them without any.
# Exits with 1 if a gate failed, a rule was broken or a figure fell by more than 0.03.
set -euo pipefail
if [ $# -lt 3 ]; then
  sed -n '2,12p' "$0" | cut -c3-
  exit 2
fi
bench=$(realpath "$1")
sites=$(realpath "$2")
why=$3
shift 3
jobs=$((($(nproc) + 1) / 2))
verbs=score,hunt
plays=1
names=()
while [ $# -gt 0 ]; do
  case "$1" in
    --jobs) jobs=$2 && shift ;;
    --verbs) verbs=$2 && shift ;;
    --table) plays=0 ;;
    -*) echo "event=bad_arguments argument=\"$1\"" && exit 2 ;;
    *) names+=("$1") ;;
  esac
  shift
done
cd "$(dirname "$0")/.."
if [ -n "$(git status --porcelain -- . ':!journal' ':!review')" ]; then
  echo 'event=tree_changed remedy="commit first: results belong to a commit"'
  exit 2
fi
results=build/scores/$(git rev-parse --short HEAD)
mkdir -p "$results"

# is_wanted NAME VERB SWEEP: whether this run was asked for it.
is_wanted() {
  [[ ",$verbs," == *",$2,"* ]] || return 1
  [ "$2" != sweep ] || [ "$3" = sweep ] || return 1
  [ ${#names[@]} -eq 0 ] || [[ " ${names[*]} " == *" $1 "* ]]
}

# each_play FUNCTION: calls it with NAME PATH VERB DAYS HOLD SWEEP, every play of the list in turn.
each_play() {
  local path days hold sweep verb
  while read -r path days hold sweep <&3; do
    for verb in score hunt sweep; do
      "$1" "$(basename "$path" .toml)" "$path" "$verb" "$days" "$hold" "$sweep"
    done
  done 3< <(grep -v '^#' deploy/regression.sites)
}

play() {
  local result=$results/$1.$3
  is_wanted "$1" "$3" "$6" && [ ! -f "$result" ] || return 0
  platform/testing/playsite.sh "$bench" "$sites/$2" "$3" "$4" "$jobs" "$why" "$result.out" \
    >"$result.part" || exit 2
  mv "$result.part" "$result" # Under its name only once it is whole.
}

failed=0
print_row() {
  local result=$results/$1.$3 verdict=- worth=- note=
  [ "$3" != sweep ] || [ "$6" = sweep ] || return 0
  if [ -f "$result" ]; then
    read -r verdict worth <"$result"
    [ "$verdict" = held ] || failed=1
    if [ "$3" = score ] && [ "$worth" != - ] && awk "BEGIN { exit !($5 - $worth > 0.03) }"; then
      note="fell by more than 0.03"
      failed=1
    fi
  else
    note="not played"
  fi
  printf '%-28s %-6s %-8s %-8s %-8s %s\n' "$1" "$3" "$verdict" "$worth" \
    "$([ "$3" = score ] && echo "$5" || echo -)" "$note"
}

print_table() {
  printf '%-28s %-6s %-8s %-8s %-8s %s\n' deployment play verdict worth "to hold" note
  each_play print_row
}

trap print_table EXIT
[ "$plays" = 0 ] || each_play play
trap - EXIT
print_table
exit "$failed"
