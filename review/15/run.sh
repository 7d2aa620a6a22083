#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 there is no disruption. case.py writes what was sent, answered
# and run to record.txt beside this file.
exec env TROUBLE="${TROUBLE:-1}" python3 -B "$(dirname "$0")/case.py"
