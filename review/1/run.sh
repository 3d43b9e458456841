#!/bin/sh
# Exit with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# With TROUBLE=0, run the same without the disruption.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}"
exec python3 case.py
