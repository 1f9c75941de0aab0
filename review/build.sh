#!/bin/sh
# The stand-ins are Python and need no build; this checks that they can be read.
set -e
cd "$(dirname "$0")"
for file in common/fleet.py */case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
