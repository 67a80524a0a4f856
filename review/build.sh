#!/bin/sh
# Builds the stand-ins that the scripts start. They are Python programs that need the standard
# library of Python 3.11 or later only, so that there is nothing to compile: they are checked. The
# nodes are built by the build of the deploy file.
set -e
cd "$(dirname "$0")"
python3 - common/lab.py */case.py <<'EOF'
import sys
import tomllib  # Python 3.11 or later.

for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
    print("checked", path)
EOF
