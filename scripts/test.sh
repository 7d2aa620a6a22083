#!/usr/bin/env bash
# Installs, builds and passes all checks and tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh build
scripts/lint.sh build
ctest --test-dir build --output-on-failure -j 4
