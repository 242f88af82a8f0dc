#!/usr/bin/env bash
# The stand-ins are Python programs that need no build; this checks that each can be compiled.
set -euo pipefail
cd "$(dirname "$0")"
for source in common/parts.py [0-9]/case.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
[ -x ../target/pistachiohub ] || { echo "target/pistachiohub is missing; run the build of deploy/system.toml first" >&2; exit 2; }
