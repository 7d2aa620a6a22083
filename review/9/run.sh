#!/usr/bin/env bash
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if it could not run.
exec python3 "$(dirname "$0")/case.py"
