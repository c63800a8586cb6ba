#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are Python files: review/lab3 for 11 to 13, review/lab-2
# and tests/processes for 14 and 15. Nothing is compiled; this checks that they can be imported after the
# build of the deploy file, and that the cases can be read.
cd "$(dirname "$0")/.." || exit 2
test -d target/deps || { echo 'run the build line of deploy/system.toml first'; exit 1; }
PYTHONPATH="$PWD/target/deps:$PWD/review:$PWD/review/lab-2" PYTHONDONTWRITEBYTECODE=1 exec python3 -c 'import ast, pathlib
import lab
import lab3.fleet, lab3.http, lab3.runner, lab3.store
for number in range(11, 16):
    path = pathlib.Path(f"review/{number}/case.py")
    ast.parse(path.read_text(), str(path))'
