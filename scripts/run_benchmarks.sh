#!/usr/bin/env bash
# Runs all benchmarks; docs/MEASURES.md and docs/CAPACITY.md quote them.
set -euo pipefail
cd "$(dirname "$0")/../build/release/bin"
./fleet_bench
./overload_bench
./decision_bench --benchmark_min_time=0.2
./path_bench
./path_bench --slopes
