#!/usr/bin/env bash
# Builds what the scripts of the second review start: the programs, by the build of the deploy file.
# The stand-ins are Python files that need the standard library only; they are checked here.
set -euo pipefail
cd "$(dirname "$0")/.."
build="$(python3 -c 'import tomllib; print(tomllib.load(open("deploy/system.toml", "rb"))["build"])')"
sh -c "$build"
for file in review/common_2.py review/[4-8]/*.py; do
  python3 -S -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
