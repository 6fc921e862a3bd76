#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are plain Python without dependencies, so
# this only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - common/*.py [0-9]/*.py <<'P'
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
P
