#!/usr/bin/env bash
# Checks the format of all C++ sources; with --write, formats them.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(--dry-run --Werror)
[ "${1:-}" = "--write" ] && mode=(-i)
git ls-files --cached --others --exclude-standard '*.h' '*.cpp' | grep -v '/generated/' | xargs clang-format "${mode[@]}"
