#!/usr/bin/env bash
# Builds the stand-ins and the cases' programs into review/build. Needs g++ and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-psabi -pthread -I.)
g++ "${flags[@]}" -c standins/stage.cc -o build/stage.o
for source in [1-5]/case.cc; do
  g++ "${flags[@]}" "$source" build/stage.o -o "build/case${source%/case.cc}"
done
