#!/usr/bin/env bash
# Prepares what the scripts of review/11 to review/14 start beside the daemon of the deploy file. All stand-ins are
# Python programs without dependencies, so this checks only that they can be read.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PROGRAM'
import ast
import glob

for path in sorted(glob.glob("review/lib-3/*.py") + glob.glob("review/1[1-4]/*.py") + glob.glob("standins/platform/*.py")):
    with open(path, encoding="utf-8") as source:
        ast.parse(source.read(), path)
PROGRAM
