#!/bin/sh
# Builds what the cases need beside the deploy file's build. The stand-ins are Python files for the standard library
# (review/common/). Case 3 starts limiters that take GraphQL: they want graphql-core, as the project's own extra `graphql`
# names it (pyproject.toml). It is installed beside the stand-ins and nowhere else. Cases 1 and 2 need nothing more.
cd "$(dirname "$0")/.." || exit 2
[ -x .venv/bin/python ] || { echo "run the deploy file's build first" >&2; exit 2; }
wanted="$(.venv/bin/python -c '
import tomllib
extras = tomllib.load(open("pyproject.toml", "rb"))["project"]["optional-dependencies"]
print(" ".join(each for each in extras["graphql"] if each.startswith("graphql-core")))')"
code=0
if [ "$(cat review/.packages/installed.txt 2>/dev/null)" != "$wanted" ]; then
    rm -rf review/.packages
    # shellcheck disable=SC2086
    if .venv/bin/python -m pip install -q --disable-pip-version-check --target review/.packages $wanted; then
        echo "$wanted" > review/.packages/installed.txt
    else
        echo "graphql-core could not be installed: case 3 ends with 2" >&2
        code=2
    fi
fi
.venv/bin/python -m compileall -q review/common review/1 review/2 review/3 || code=2
exit $code
