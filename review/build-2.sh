#!/bin/sh
# Builds what the scripts of the second review start besides the daemons. The stand-ins
# are plain Python without dependencies, so this only checks that they compile.
set -eu
cd "$(dirname "$0")/.."
for file in review/harness2/*.py review/[6789]/case.py; do
  python3 - "$file" <<'P'
import sys

compile(open(sys.argv[1]).read(), sys.argv[1], "exec")
P
done
