#!/bin/sh
# Builds what the cases 6 to 10 start beside the gateway. Their stand-ins are plain Python scripts of the
# standard library, run by the interpreter that the deploy file's `build` has set up: they are only compiled here.
set -eu
cd "$(dirname "$0")"
test -x ../.venv/bin/python || { echo "run the deploy file's build first" >&2; exit 2; }
for file in rig2.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
    test ! -e "$file" || ../.venv/bin/python -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
