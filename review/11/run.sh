#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review
python3 -c 'import lab3.fleet, lab3.runner' || exit 2
exec python3 review/11/case.py
