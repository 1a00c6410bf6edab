#!/usr/bin/env bash
# Installs what is missing, builds, and runs the demo (testing/demo.cpp) on loopback.
# Arguments go to figrack-demo. The driver ends every process it starts; should it be
# killed itself, its children are ended here, by the ids it wrote down.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install_deps.sh
[ -f build/build.ninja ] || cmake -S . -B build -G Ninja >/dev/null
cmake --build build --target figrack-control figrack-router figrack-fake-endpoint figrack-demo \
  >build/demo_build.log 2>&1 || { grep -E 'error|FAILED' build/demo_build.log; exit 1; }

pids=$(mktemp)
endChildren() {
  while read -r pid; do
    case "$(readlink "/proc/$pid/exe" 2>/dev/null)" in
      "$PWD"/build/*) kill -KILL "$pid" 2>/dev/null || true ;;
    esac
  done <"$pids"
  rm -f "$pids"
}
trap endChildren EXIT
build/testing/figrack-demo --build build --pids "$pids" "$@"
