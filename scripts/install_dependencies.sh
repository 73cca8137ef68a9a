#!/usr/bin/env bash
# Installs the build and run dependencies from Debian's packages. Called by `make` and by CI.
set -euo pipefail
packages=(
  build-essential cmake ninja-build clang clang-format clang-tidy
  libclang-rt-14-dev libboost1.81-dev libboost-json1.81-dev libtclap-dev
  liblog4cplus-dev libzmq3-dev cppzmq-dev libprotobuf-dev catch2 libssl-dev
  libbenchmark-dev
)
missing=()
for package in "${packages[@]}"; do
  status=$(dpkg-query --show --showformat='${Status}' "$package" 2>/dev/null || true)
  [ "$status" = "install ok installed" ] || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
sudo_command=()
[ "$(id -u)" -eq 0 ] || sudo_command=(sudo)
"${sudo_command[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${sudo_command[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}"
