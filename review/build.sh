#!/usr/bin/env bash
# The stand-ins of the review's scripts are Python programs of the standard
# library alone, so this only checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("build.sh: Python 3.11 or newer is needed")
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
PYTHON
