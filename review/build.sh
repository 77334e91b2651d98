#!/bin/sh
# Builds the stand-ins of the cases: Python 3 with its standard library only, so this checks
# that the interpreter is there and that the files compile.
cd "$(dirname "$0")" || exit 1
for file in standins/*.py */case.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
