#!/bin/sh
# The stand-ins of the cases need Python's standard library only; this checks that they compile.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys
for name in sys.argv[1:]:
    compile(open(name).read(), name, "exec")' common.py */case.py
