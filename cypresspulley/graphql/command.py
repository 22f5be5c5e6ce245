"""Implements ``fawnseam graphql-cost`` and ``graphql-learn``, and defines their exit codes."""

from __future__ import annotations

import json
from collections.abc import Generator, Iterator
from pathlib import Path
from typing import Any, TypeVar

from rich.console import Console
from rich.table import Table

from cypresspulley.console import check_folders, fail
from cypresspulley.graphql.document import DocumentCache, OperationRequest, PricedRequest, price_request
from cypresspulley.graphql.errors import GraphQLRefusedError
from cypresspulley.graphql.learn import Fit, LearnError, learn_shares
from cypresspulley.graphql.options import OptionsError, load_document_cache, load_options
from cypresspulley.graphql.price import Price
from cypresspulley.graphql.scan import Bounds
from cypresspulley.graphql.schema import SchemaError, read_schema

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_BAD_INPUT = 2

ResultT = TypeVar("ResultT")


def run_to_completion(steps: Generator[None, None, ResultT]) -> ResultT:
    """Run all steps of a generator without interruption and return its result."""
    while True:
        try:
            next(steps)
        except StopIteration as done:
            result: ResultT = done.value
            return result


def _load_cache(schema: str, bounds: Bounds | None = None) -> DocumentCache:
    """Return an empty document cache for an operators' file (.toml) or a schema in SDL."""
    if schema.endswith(".toml"):
        return load_document_cache(load_options(schema))
    try:
        text = Path(schema).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise OptionsError(f"{schema}: cannot be read: {error}") from None
    return DocumentCache(read_schema(text, schema), bounds or Bounds())


def print_cost(schema: str, query: Path, operation: str | None, variables: Path | None, as_json: bool) -> int:
    """Print the price of a query by field, and return the exit code."""
    try:
        documents = _load_cache(schema)
        values = json.loads(variables.read_text(encoding="utf-8")) if variables is not None else {}
        if not isinstance(values, dict):
            raise OptionsError(f"{variables}: expected an object of variables")
        operation_request = OperationRequest(
            query.read_text(encoding="utf-8"), operation_name=operation, variables=values
        )
        priced = run_to_completion(price_request(documents, [operation_request], explain=True))
    except GraphQLRefusedError as error:
        return fail(f"{query}: {error}", EXIT_REFUSED)
    except (OptionsError, SchemaError, ValueError, OSError) as error:
        return fail(error, EXIT_BAD_INPUT)
    if as_json:
        print(json.dumps(_as_json(priced), indent=1))
    else:
        Console().print(_table(priced))
    return EXIT_DONE


def _as_json(priced: PricedRequest) -> dict[str, Any]:
    price = priced.price
    keys = ("path", "place", "times", "each", "bound", "expected")
    rows = [{key: getattr(row, key) for key in keys} for row in price.rows]
    return {"bound": price.bound, "expected": price.expected, "effect": priced.effect.value, "fields": rows}


def _table(priced: PricedRequest) -> Table:
    price = priced.price
    table = Table(
        "field", "times", "points each", "at most", "expected", caption="fields without points are left out"
    )
    for column in table.columns[1:]:
        column.justify = "right"
    for row in price.rows:
        if row.bound > 0:
            table.add_row(
                row.path, f"{row.times:g}", f"{row.each:g}", f"{row.bound:g}", f"{row.expected:.4g}"
            )
    table.add_section()
    table.add_row(priced.effect.value, "", "", f"{price.bound:g}", f"{price.expected:.4g}", style="bold")
    return table


# Learning shares from a capture.


def learn_from_capture(schema: str, capture: Path, out: Path | None) -> int:
    """Fit shares to a capture, print them, write them to ``out`` if given, and return the exit code."""
    try:
        check_folders(out)
        documents = _load_cache(schema)
        samples, skipped = _price_samples(documents, capture)
        fit = learn_shares(samples)
    except (OptionsError, SchemaError, LearnError, ValueError, OSError) as error:
        return fail(error, EXIT_BAD_INPUT)
    _print_fit(fit, skipped)
    if out is not None:
        out.write_text(json.dumps(fit.shares(), indent=1) + "\n", encoding="utf-8")
    return EXIT_DONE


def _price_samples(
    documents: DocumentCache, capture: Path
) -> tuple[list[tuple[Price, float]], dict[str, int]]:
    samples = list[tuple[Price, float]]()
    skipped = dict[str, int]()
    for operation_request, actual in _capture_rows(capture):
        if actual is None:
            skipped["no true cost"] = skipped.get("no true cost", 0) + 1
            continue
        try:
            samples.append(
                (run_to_completion(price_request(documents, [operation_request], explain=True)).price, actual)
            )
        except GraphQLRefusedError as error:
            skipped[error.code.wire_name] = skipped.get(error.code.wire_name, 0) + 1
    return samples, skipped


def _capture_rows(capture: Path) -> Iterator[tuple[OperationRequest, float | None]]:
    """Yield the operations and actual costs of a capture.

    The capture is a HAR file (POST bodies, and ``extensions.cost.actual`` of the responses) or JSON lines with
    ``query``, ``variables``, ``operationName`` and ``actual``. Raise OptionsError for a line that cannot be parsed.
    """
    text = capture.read_text(encoding="utf-8")
    if capture.suffix == ".har":
        entries = json.loads(text).get("log", {}).get("entries", [])
        for entry in entries:
            body = entry.get("request", {}).get("postData", {}).get("text")
            response = entry.get("response", {}).get("content", {}).get("text")
            if body:
                yield _parse_sample(json.loads(body), _actual_cost(response), capture, 0)
        return
    for number, line in enumerate(text.splitlines(), 1):
        if line.strip():
            try:
                raw = json.loads(line)
            except ValueError as error:
                raise OptionsError(f"{capture}:{number}: not JSON: {error}") from None
            yield _parse_sample(raw, raw.get("actual") if isinstance(raw, dict) else None, capture, number)


def _actual_cost(response: str | None) -> float | None:
    try:
        found: Any = json.loads(response or "{}")
    except ValueError:
        return None
    for key in ("extensions", "cost", "actual"):
        found = found.get(key) if isinstance(found, dict) else None
    return float(found) if isinstance(found, int | float) else None


def _parse_sample(raw: Any, actual: Any, capture: Path, number: int) -> tuple[OperationRequest, float | None]:
    if not isinstance(raw, dict) or not isinstance(raw.get("query"), str):
        raise OptionsError(f"{capture}:{number}: expected an object with query, variables and actual")
    if actual is not None and (isinstance(actual, bool) or not isinstance(actual, int | float)):
        raise OptionsError(f"{capture}:{number}: actual: {actual!r:.40}; expected points, a number")
    return OperationRequest(
        raw["query"], operation_name=raw.get("operationName"), variables=raw.get("variables")
    ), actual


def _print_fit(fit: Fit, skipped: dict[str, int]) -> None:
    table = Table("field", "queries", "share of its bound", "90 % interval")
    for column in table.columns[1:]:
        column.justify = "right"
    for each in fit.fields:
        table.add_row(
            each.place, str(each.queries), f"{each.share:.2f}", f"{each.low:.2f} to {each.high:.2f}"
        )
    console = Console()
    console.print(table)
    console.print(
        f"{fit.queries} queries; expected price off by {fit.mean_error:.0%} in the mean, "
        f"{fit.mean_error_before:.0%} before"
    )
    for why, count in sorted(skipped.items()):
        console.print(f"left out: {count} ({why})")
