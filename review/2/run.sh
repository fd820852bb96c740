#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
CASE_FOLDER=$(cd "$(dirname "$0")" && pwd)
export CASE_FOLDER
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "could not run: no Python 3.11"; exit 2; }
timeout -k 2 118 python3 -B "$CASE_FOLDER/case.py"
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
