"""The package has no import cycles; imports for type checking and within functions count as well."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

import cypresspulley

ROOT = Path(cypresspulley.__file__).parent
Graph = dict[str, set[str]]


def module_of(path: Path) -> str:
    parts = path.relative_to(ROOT.parent).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def imports_of(source: str, known: set[str]) -> set[str]:
    """Return the package's modules that a source text imports, by any form of import."""
    imported = set[str]()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            imported |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module and node.level == 0:
            names = {f"{node.module}.{alias.name}" for alias in node.names}
            imported |= names & known or {node.module}
    return imported & known


def import_cycles(graph: Graph) -> list[tuple[str, ...]]:
    """Return the sorted groups of modules in which each module reaches every other one."""
    reachable: Graph = {}
    for start in graph:
        seen, pending = set[str](), list(graph[start])
        while pending:
            if (name := pending.pop()) not in seen:
                seen.add(name)
                pending += graph[name]
        reachable[start] = seen
    groups = {
        tuple(sorted({other for other in reachable[name] if name in reachable[other]}))
        for name in graph
        if name in reachable[name]
    }
    return sorted(groups)


def package_imports() -> Graph:
    paths = {module_of(path): path for path in ROOT.rglob("*.py")}
    return {
        name: imports_of(path.read_text(encoding="utf-8"), set(paths)) - {name}
        for name, path in paths.items()
    }


def test_no_module_of_the_package_imports_itself_through_others() -> None:
    assert import_cycles(package_imports()) == []


@pytest.mark.parametrize(
    "source",
    [
        "import pack.b",
        "from pack.b import x",
        "from pack import b",
        "if TYPE_CHECKING:\n    from pack.b import x",
        "def f():\n    from pack.b import x",
    ],
)
def test_a_circle_is_seen_in_every_form_of_import(source: str) -> None:
    known = {"pack", "pack.a", "pack.b"}
    graph: Graph = {"pack": set(), "pack.a": imports_of(source, known), "pack.b": {"pack.a"}}
    assert import_cycles(graph) == [("pack.a", "pack.b")]


def test_a_way_that_comes_back_over_three_is_one_circle() -> None:
    assert import_cycles({"a": {"b"}, "b": {"c"}, "c": {"a"}, "d": {"a"}}) == [("a", "b", "c")]
