#!/usr/bin/env bash
# Builds everything into build/. Arguments go to CMake's configure step.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install_deps.sh
source tools/compilercache.sh
cmake -S . -B build -G Ninja "$@" >build.log 2>&1 || { cat build.log; exit 1; }
cmake --build build >>build.log 2>&1 || { grep -E 'error|FAILED' build.log || tail -50 build.log; exit 1; }
