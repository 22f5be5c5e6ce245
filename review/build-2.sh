#!/bin/sh
# Builds what the cases 6 to 10 start beside the deploy file's `build`: the venv with the project's own extras
# (GraphQL, plans) and the project's plan book writer. The other stand-ins are plain Python in review/common-2.
set -eu
cd "$(dirname "$0")/.."
[ -x .venv/bin/python ] || sh -c "$(python3 -c 'import tomllib; print(tomllib.load(open("deploy/balancer.toml", "rb"))["build"])')"
make --no-print-directory .venv-dev/installed
.venv/bin/python -m compileall -q review/common-2 > /dev/null
