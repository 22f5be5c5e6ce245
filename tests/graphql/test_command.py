"""Tests ``fawnseam graphql-cost`` and ``graphql-learn``: output, files, exit codes and the places in errors."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from cypresspulley.cli import main

ROOT = Path(__file__).parents[2]
OPERATORS, QUERY = (
    str(ROOT / "deploy" / "graphql.toml"),
    str(ROOT / "examples" / "graphql" / "floor.query.graphql"),
)
VALUES, COSTS = (
    str(ROOT / "examples" / "graphql" / "values.json"),
    str(ROOT / "examples" / "graphql" / "costs.jsonl"),
)


def run_command(*args: str) -> tuple[int, str]:
    result = CliRunner().invoke(main, list(args))
    return result.exit_code, result.output + (result.stderr if result.stderr_bytes else "")


def test_the_example_is_priced_field_by_field() -> None:
    code, text = run_command("graphql-cost", OPERATORS, QUERY, "--variables", VALUES, "--json")
    found = json.loads(text)
    assert code == 0 and found["bound"] == 3 + 20 + 8 + 1 == sum(row["bound"] for row in found["fields"])
    code, text = run_command("graphql-cost", OPERATORS, QUERY, "--variables", VALUES)
    assert code == 0 and "floor.bags" in text and "32" in text


def test_what_is_refused_and_what_is_bad_input_have_their_codes(tmp_path: Path) -> None:
    query = tmp_path / "bad.graphql"
    query.write_text("{ nothing }")
    code, text = run_command("graphql-cost", OPERATORS, str(query))
    assert code == 1 and "GRAPHQL_VALIDATION_FAILED" in text and str(query) in text
    code, text = run_command("graphql-cost", str(tmp_path / "none.graphql"), QUERY)
    assert code == 2 and "none.graphql: cannot be read" in text
    schema = tmp_path / "schema.graphql"
    schema.write_text('type Query { a: Int @cost(weight: "x") }')
    code, text = run_command("graphql-cost", str(schema), QUERY)
    assert code == 2 and "schema.graphql: Query.a" in text


def test_learning_writes_shares_that_a_schema_takes(tmp_path: Path) -> None:
    out = tmp_path / "shares.json"
    code, text = run_command("graphql-learn", OPERATORS, COSTS, "--out", str(out))
    assert code == 0 and "Floor.bags" in text and "before" in text
    shares = json.loads(out.read_text())
    assert 0 < shares["Floor.bags"]["share"] < 1
    operators = tmp_path / "operators.toml"
    schema = ROOT / "cypresspulley" / "rehearsal" / "standins" / "floor.graphql"
    operators.write_text(
        f'[graphql]\nschema = "{schema}"\nquery = "q"\nmutation = "m"\nlearned = "shares.json"\n'
    )
    code, text = run_command("graphql-cost", str(operators), QUERY, "--variables", VALUES, "--json")
    found = json.loads(text)
    assert code == 0 and found["expected"] < found["bound"]


@pytest.mark.parametrize(
    ("line", "said"),
    [
        ("{", ":1: not JSON"),
        ("[]", ":1: expected an object"),
        ('{"query":"{bag(id:1){id}}","actual":"x"}', "actual"),
    ],
)
def test_a_capture_that_cannot_be_read_names_its_line(tmp_path: Path, line: str, said: str) -> None:
    capture = tmp_path / "costs.jsonl"
    capture.write_text(line + "\n")
    code, text = run_command("graphql-learn", OPERATORS, str(capture))
    assert code == 2 and said in text


def test_a_har_file_is_taken_too(tmp_path: Path) -> None:
    rows = [json.loads(line) for line in Path(COSTS).read_text().splitlines()]
    entries = [
        {
            "request": {"postData": {"text": json.dumps({k: v for k, v in row.items() if k != "actual"})}},
            "response": {
                "content": {"text": json.dumps({"extensions": {"cost": {"actual": row["actual"]}}})}
            },
        }
        for row in rows
    ]
    capture = tmp_path / "morning.har"
    capture.write_text(json.dumps({"log": {"entries": entries}}))
    code, text = run_command("graphql-learn", OPERATORS, str(capture))
    assert code == 0 and f"{len(rows)} queries" in text
