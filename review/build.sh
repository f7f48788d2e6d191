#!/bin/sh
# The stand-ins of the cases need Python's standard library only; this compiles them.
set -e
cd "$(dirname "$0")"
python3 -m py_compile common.py */*.py
