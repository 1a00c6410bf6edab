#!/usr/bin/env bash
# Installs what building and testing need, from Debian's packages. Does nothing when all is there.
set -euo pipefail

packages=(
  g++ cmake ninja-build ccache clang-format clang-tidy clang-tools-14
  libboost1.81-dev libboost-json1.81-dev libcereal-dev prometheus-cpp-dev
  libtclap-dev libeasyloggingpp-dev libabsl-dev libfmt-dev libxxhash-dev libssl-dev
  doctest-dev libbenchmark-dev
)

missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
    missing+=("$package")
  fi
done
[ ${#missing[@]} -eq 0 ] && exit 0

echo "event=install packages=\"${missing[*]}\""
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
