#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the balancer, after the build of the
# deploy file and without a network. The stand-ins are plain Python of the standard library in
# review/play.py, so this checks only that the interpreter of that build takes them.
cd "$(dirname "$0")/.." || exit 1
test -x .venv/bin/python || exit 1
.venv/bin/python - review/play.py review/[6-9]/case.py review/10/case.py <<'END'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
END
