#!/usr/bin/env bash
# The stand-ins of the cases are Python programs (support.py, */case.py) and
# need no compilation. Checks that the interpreter can load them.
set -eu
cd "$(dirname "$0")"
python3 -c 'import ast, sys
for name in sys.argv[1:]: ast.parse(open(name).read(), name)' support.py */case.py
test -x ../target/agateledge || echo "target/agateledge is built by the deploy file" >&2
