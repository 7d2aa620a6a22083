#!/bin/sh
# Checks the stand-ins of the cases. They are Python scripts without
# dependencies, so there is nothing to build but the router itself, which the
# build command of deploy/system.toml builds.
set -e
cd "$(dirname "$0")"
python3 -c 'import asyncio, sys, tomllib; sys.exit(sys.version_info < (3, 11))'
for file in lib/*.py [0-9]*/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
