#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
