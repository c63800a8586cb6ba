#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are Python of the standard library, so that nothing
# is compiled; this checks that they can be read and that the build of the deploy file was run.
cd "$(dirname "$0")/.." || exit 2
test -d target/deps || { echo 'run the build line of deploy/system.toml first'; exit 1; }
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review python3 -c 'import lab3.fleet, lab3.http, lab3.runner, lab3.store'
