#!/bin/sh
# Prepares the stand-ins of the scripts in review/6 to review/10, which are plain Python files that
# use only the standard library. The programs under test come from the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
python3 - <<'P'
import ast
import glob
import tomllib  # The scripts read deploy/system.toml.

for path in ["fakes2.py", *sorted(glob.glob("*/case.py"))]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
P
