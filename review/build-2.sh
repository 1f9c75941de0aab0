#!/usr/bin/env bash
# Checks the stand-ins of the scripts in review/6 to review/10. They are Python
# programs of the standard library and need no build.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
import pathlib
import sys

assert sys.version_info >= (3, 11), "Python 3.11 is needed for tomllib"
sources = [*pathlib.Path("common_2").glob("*.py")]
for number in range(6, 11):
    sources += pathlib.Path(str(number)).glob("*.py")
for source in sources:
    ast.parse(source.read_text(encoding="utf-8"), str(source))
PY
