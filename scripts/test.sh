#!/usr/bin/env bash
# Installs, builds and passes all checks and tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh build
scripts/lint.sh build
# Faults that are known and not mended yet; none of them is a test below.
cat KNOWN-RED.txt
ctest --test-dir build --output-on-failure -j 4
