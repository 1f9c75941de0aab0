#!/usr/bin/env bash
# Builds the stand-ins of review/11 to review/15: Python sources without
# dependencies, which are only checked here. The scripts start the program that
# the command of deploy/system.toml builds.
set -euo pipefail
cd "$(dirname "$0")"
python3 - common_3/*.py 1[1-5]/*.py <<'EOF'
import sys
for path in sys.argv[1:]:
    with open(path) as source:
        compile(source.read(), path, "exec")
EOF
