#!/usr/bin/env bash
# Format and clang-tidy over every source file that the project builds.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/format.sh
cmake --preset release >/dev/null
git ls-files --cached --others --exclude-standard '*.cpp' | grep -v -e '/generated/' -e '^fuzz/' \
  | xargs -P "$(nproc)" -n 1 clang-tidy -p build/release --quiet --extra-arg=-Wno-unknown-warning-option 2>/dev/null
