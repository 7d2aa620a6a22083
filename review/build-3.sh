#!/bin/sh
# Builds what the scripts review/11 to review/15 start beside the build of the
# deploy file: nothing, as their stand-ins are Python programs. It checks that
# they can be read here.
set -eu
cd "$(dirname "$0")"
python3 -B - lib-3/*.py 1[1-5]/*.py <<'END'
import ast
import sys
import tomllib  # From Python 3.11 on.

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
print(len(sys.argv) - 1, "files can be read")
END
