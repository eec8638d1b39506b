#!/bin/sh
# Builds the stand-ins of the scripts of the third review. They need Python's standard library only.
set -e
cd "$(dirname "$0")"
for file in standins3/harness.py 1[1-5]/case.py; do
    [ ! -f "$file" ] || python3 -c "import ast, sys; ast.parse(open(sys.argv[1], encoding='utf-8').read())" "$file"
done
