#!/usr/bin/env bash
# Plays the fault soak (tests/soak). Without arguments: the seeds that once failed and a few fixed ones, as CI does.
# With FIRST COUNT: COUNT seeds from FIRST on, four runs at a time.
set -euo pipefail
cd "$(dirname "$0")/.."
soak=build/release/bin/soak
regressions=$(grep -v '^#' tests/soak/seeds.txt | cut -d' ' -f1)
if [ $# -eq 0 ]; then
  for seed in $regressions; do
    "$soak" --seed "$seed" --port 24000
  done
  exit 0
fi
first=$1
count=$2
jobs=4
pids=()
for ((i = 0; i < jobs; ++i)); do
  from=$((first + i * count / jobs))
  to=$((first + (i + 1) * count / jobs))
  [ "$to" -gt "$from" ] || continue
  "$soak" --seed "$from" --seeds $((to - from)) --port $((24000 + 200 * i)) &
  pids+=($!)
done
failed=0
for pid in "${pids[@]}"; do
  wait "$pid" || failed=1
done
exit "$failed"
