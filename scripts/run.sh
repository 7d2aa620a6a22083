#!/usr/bin/env bash
# Installs the dependencies, builds, and runs the demonstration on stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh build
python3 scripts/demo.py build
