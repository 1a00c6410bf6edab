# The keys of sources that the linter found clean: a file a key, outside the tree, so that clones
# share them. Sourced by the linter's scripts.

lint_cache=${FIGRACK_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/figrack-lint}
lint_cache_entries=${FIGRACK_LINT_CACHE_ENTRIES:-8192} # Some 17 versions of the whole tree.

# lint_cache_knows KEY: whether a source with this key was clean. KEY may be "-", which never is.
lint_cache_knows() {
  [ "$1" != - ] && [ "$(cat "$lint_cache/$1" 2>/dev/null)" = "clean $1" ] && touch "$lint_cache/$1"
}

# lint_cache_add KEY: under a name of its own first, so that no reader finds a part of an entry.
lint_cache_add() {
  mkdir -p "$lint_cache"
  echo "clean $1" >"$lint_cache/.$1.$$"
  mv "$lint_cache/.$1.$$" "$lint_cache/$1"
}

# Removes the entries that were not used for the longest time.
lint_cache_trim() {
  [ -d "$lint_cache" ] || return 0
  (cd "$lint_cache" && ls -At | tail -n +$((lint_cache_entries + 1)) | xargs -r rm -f --)
}
