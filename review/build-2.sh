#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into build/review-2. Needs g++ and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../build/review-2
for source in 6 7 8 9 10; do
  if [ -e "$source/case.cc" ]; then
    g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread -Istage-2 "$source/case.cc" -o "../build/review-2/case$source"
  fi
done
