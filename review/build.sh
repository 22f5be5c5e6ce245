#!/bin/sh
# Builds what the cases need beside the deploy file's build. The stand-ins are Python files for the standard library
# (review/common/). Case 2 starts the project's plan writer and limiters that follow it: they want the project's own
# extra `plans` (pyproject.toml), which is installed beside the stand-ins and nowhere else.
cd "$(dirname "$0")/.." || exit 2
[ -x .venv/bin/python ] || { echo "run the deploy file's build first" >&2; exit 2; }
wanted="$(.venv/bin/python -c '
import tomllib
extras = tomllib.load(open("pyproject.toml", "rb"))["project"]["optional-dependencies"]
print(" ".join(each for each in (*extras["plans"], *extras["cli"]) if not each.startswith(("cypresspulley", "rich"))))')"
if [ "$(cat review/.packages/installed.txt 2>/dev/null)" != "$wanted" ]; then
    rm -rf review/.packages
    # shellcheck disable=SC2086
    .venv/bin/python -m pip install -q --disable-pip-version-check --target review/.packages $wanted || exit 2
    echo "$wanted" > review/.packages/installed.txt
fi
exec .venv/bin/python -m compileall -q review/common review/1 review/2 review/3
