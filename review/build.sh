#!/bin/sh
# The cases' stand-ins and clients are Python of the standard library, run by the deploy file's environment.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python || sh -c "$(python3 -c 'import tomllib; print(tomllib.load(open("deploy/balancer.toml", "rb"))["build"])')"
.venv/bin/python -m py_compile review/rig.py review/*/case.py
