#!/usr/bin/env bash
# Checks the stand-ins, which are Python programs of the standard library only; nothing is
# compiled. Exits with an error if the interpreter can't run them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib, sys
assert sys.version_info >= (3, 11), "the stand-ins need Python 3.11"
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print("checked", path)
PYTHON
