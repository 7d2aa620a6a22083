#!/usr/bin/env bash
# Installs the dependencies, builds, and runs all checks and tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh build
scripts/lint.sh build
scripts/fuzz.sh
# Known defects that are not fixed yet; none of them fails a test below.
cat KNOWN-RED.txt
ctest --test-dir build --output-on-failure -j 4
