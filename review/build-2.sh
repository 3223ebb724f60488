#!/bin/sh
# Builds what the scripts in review/6 to review/10 start besides the program of the deploy file: the
# small stand-ins in review/support-2, which use the standard library of Python only. Compiled here to
# show that they load; the scripts run them from their sources.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for file in review/support-2/*.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py; do
    python3 - "$file" <<'PY'
import pathlib
import sys

path = pathlib.Path(sys.argv[1])
compile(path.read_text(encoding="utf-8"), str(path), "exec")
PY
done
touch target/review-2/built
