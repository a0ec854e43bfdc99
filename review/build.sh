#!/usr/bin/env bash
# Builds the stand-ins of the cases: Python files that need the standard library only. The program
# itself is built by the command `build` of the deploy file, which comes first.
set -euo pipefail
cd "$(dirname "$0")"
test -x ../.venv/bin/python
../.venv/bin/python -c 'import sys
for name in sys.argv[1:]:
    compile(open(name, encoding="utf-8").read(), name, "exec")' standins.py */case.py
