#!/bin/sh
# Checks the stand-ins of the cases 6 to 10, which are Python with its standard library only and need no build.
set -e
cd "$(dirname "$0")"
exec python3 - standins2.py [6-9]/*.py 10/*.py <<'CHECK'
import pathlib
import sys

for name in sys.argv[1:]:
    path = pathlib.Path(name)
    if path.exists():
        compile(path.read_text(), name, "exec")
CHECK
