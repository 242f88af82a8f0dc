#!/usr/bin/env bash
# The stand-ins of the second review are Python programs that need no build: this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'PYTHON'
import ast
import pathlib
import tomllib  # of the standard library since Python 3.11

for path in [*pathlib.Path(".").glob("[6-9]/*.py"), *pathlib.Path(".").glob("10/*.py"), *pathlib.Path("lib-2").glob("*.py"),
             *pathlib.Path("../standins/platform").glob("*.py")]:
    ast.parse(path.read_text(), str(path))
PYTHON
