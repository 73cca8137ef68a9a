#!/usr/bin/env bash
# Builds the fuzzers with clang and runs each. LYCHEEWELL_FUZZ_RUNS sets the number of inputs, LYCHEEWELL_FUZZ_SEED the
# seed; the defaults are CI's short run.
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${LYCHEEWELL_FUZZ_RUNS:-20000}
seed=${LYCHEEWELL_FUZZ_SEED:-1}
cmake -S . -B build/fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_BUILD_TYPE=RelWithDebInfo \
  -DLYCHEEWELL_SANITIZERS=address,undefined,fuzzer-no-link -DLYCHEEWELL_FUZZERS=ON -DLYCHEEWELL_WARNINGS_AS_ERRORS=OFF >/dev/null
cmake --build build/fuzz --target fuzz_settings fuzz_record fuzz_state fuzz_message fuzz_frame fuzz_stored
for name in settings record state message frame stored; do
  mkdir -p "build/fuzz/corpus/$name"
  build/fuzz/bin/fuzz_$name -runs="$runs" -seed="$seed" -max_len=4096 -print_final_stats=0 -verbosity=0 \
    "build/fuzz/corpus/$name" fuzz/seeds/$name
done
echo "fuzzers: 6 ran, $runs inputs each"
