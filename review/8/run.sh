#!/bin/sh
# See claim.txt. TROUBLE=0 runs the same without the disruption. Exit status: 1 if
# the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec timeout 112 python3 run.py
