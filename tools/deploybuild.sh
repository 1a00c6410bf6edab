#!/usr/bin/env bash
# Builds by the deploy file's own line, as the platform does, and checks what it says of settings.
set -euo pipefail
cd "$(dirname "$0")/.."
source tools/compilercache.sh
line=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
[ -n "$line" ]
bash -c "$line" >deploybuild.log 2>&1 || { tail -30 deploybuild.log; exit 1; }
for program in figrack-gateway figrack-core; do
  "target/platform/$program" --version
  "target/platform/$program" --help-settings >/dev/null
done
echo "event=deploy_build_clean"
