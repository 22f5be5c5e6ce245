"""Tests that each row of the table in docs/terms-audit.md has a verdict and refers to existing tests."""

from __future__ import annotations

import ast
import re
from dataclasses import dataclass
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
VERDICTS = {"holds", "fixed", "open", "not reached"}
TEST = re.compile(r"`(tests/[\w/]+\.py)(?:::(\w+))?`")
COMMAND = re.compile(r"`(?:python -m [\w.]+|mass/bin/lbreal[^`]*|--panel[^`]*)")


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the table: one clause and its verdict."""

    page: str
    clause: str
    reading: str
    paths: str
    test: str
    verdict: str
    remarks: str

    def __str__(self) -> str:
        return f"{self.page}: {self.clause}"


def rows() -> list[Row]:
    lines = (ROOT / "docs/terms-audit.md").read_text().splitlines()
    table = [line for line in lines if line.startswith("| ")][2:]
    return [Row(*(cell.strip() for cell in line.strip("|").split(" | "))) for line in table]


def functions(path: str) -> set[str]:
    """Return the names of the test functions in a file."""
    tree = ast.parse((ROOT / path).read_text())
    names = {node.name for node in tree.body if isinstance(node, ast.FunctionDef)}
    return {name for name in names if name.startswith("test_")}


@pytest.mark.parametrize("row", rows(), ids=str)
def test_each_row_has_a_verdict_that_something_shows(row: Row) -> None:
    assert row.verdict in VERDICTS
    assert row.clause and row.reading
    found = TEST.search(row.test)
    if found is not None:
        path, name = found.groups()
        assert functions(path) if name is None else name in functions(path)
    if row.verdict == "fixed":
        assert found is not None and row.remarks
    if row.verdict == "holds":
        assert found is not None or COMMAND.search(row.remarks)
    if row.verdict == "open":
        assert row.clause in (ROOT / "docs/ROADMAP.md").read_text()


def test_the_table_is_read() -> None:
    assert len(rows()) >= 60
