#!/usr/bin/env bash
# Builds the fuzz targets into the directory given, "build-fuzz" by default, and
# runs each with the seed corpus and a fixed number of runs; further arguments
# go to libFuzzer, for example -max_total_time=3600.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${1:-build-fuzz}"
cmake -S . -B "$build" -G Ninja -DPAPAYAPLANK_FUZZ=ON \
  -DPAPAYAPLANK_WERROR=ON \
  -DCMAKE_C_COMPILER=clang -DCMAKE_CXX_COMPILER=clang++ >/dev/null
ninja -C "$build" --quiet
for target in documents events http_messages peer_messages; do
  corpus="$build/corpus/$target"
  # Inputs of earlier runs would change what this run tries.
  rm -rf "$corpus"
  mkdir -p "$corpus"
  cp "tests/fuzz/corpus/$target/"* "$corpus/"
  "$build/tests/fuzz/fuzz_$target" -seed=1 -runs=50000 -max_len=4096 \
    -print_final_stats=1 -verbosity=0 "${@:2}" "$corpus" 2>&1 |
    tee "$build/$target.log" | grep -E "ERROR|number_of_executed" ||
    { cat "$build/$target.log"; exit 1; }
  ! grep -q "ERROR" "$build/$target.log" || { cat "$build/$target.log"; exit 1; }
done
echo "fuzz targets: no fault found"
