#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python programs, so this
# only checks that each can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.py {6..10}/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
