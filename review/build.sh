#!/bin/sh
# Builds what the scripts start beside the program of the deploy file: the stand-ins are Python and need no build, so
# that this only checks that they can be read.
cd "$(dirname "$0")" || exit 1
python3 - <<'PY'
import ast, pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
PY
