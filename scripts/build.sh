#!/usr/bin/env bash
# Builds everything into the directory given, "build" by default; further
# arguments go to cmake.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B "${1:-build}" -G Ninja -DPAPAYAPLANK_WERROR=ON "${@:2}" >/dev/null
ninja -C "${1:-build}" --quiet
