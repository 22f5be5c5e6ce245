#!/bin/sh
# Builds what the cases need beside the deploy file's build. The stand-ins are Python files for the standard library
# (review/common/). Case 2 starts limiters that take GraphQL, and case 3 the project's plan writer and limiters that follow
# it: they want graphql-core, click and immutables, as the project's own extras `graphql` and `plans` name them
# (pyproject.toml). These are installed beside the stand-ins and nowhere else. Case 1 needs none of them.
cd "$(dirname "$0")/.." || exit 2
[ -x .venv/bin/python ] || { echo "run the deploy file's build first" >&2; exit 2; }
wanted="$(.venv/bin/python -c '
import tomllib
extras = tomllib.load(open("pyproject.toml", "rb"))["project"]["optional-dependencies"]
wanted = ("click", "immutables", "graphql-core")
print(" ".join(each for name in ("cli", "plans", "graphql") for each in extras[name] if each.startswith(wanted)))')"
code=0
if [ "$(cat review/.packages/installed.txt 2>/dev/null)" != "$wanted" ]; then
    rm -rf review/.packages
    # shellcheck disable=SC2086
    if .venv/bin/python -m pip install -q --disable-pip-version-check --target review/.packages $wanted; then
        echo "$wanted" > review/.packages/installed.txt
    else
        echo "the extras could not be installed: cases 2 and 3 end with 2" >&2
        code=2
    fi
fi
.venv/bin/python -m compileall -q review/common review/1 review/2 review/3 || code=2
exit $code
