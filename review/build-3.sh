#!/bin/bash
# The stand-ins of the cases from 11 on are standins3.py, which needs no build and only Python's
# standard library. This checks that it can be read, and that the program of the deploy file is there.
cd "$(dirname "$0")" || exit 1
python3 -c 'import ast, sys; [ast.parse(open(path).read()) for path in sys.argv[1:]]' \
    standins3.py 1[1-5]/case.py || exit 1
test -x ../target/deploy/lentiltray || echo "target/deploy/lentiltray is not built yet" >&2
