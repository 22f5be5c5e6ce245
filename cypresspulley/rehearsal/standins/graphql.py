"""Simulated GraphQL data and queries, generated from a seed, with true costs counted by the resolvers.

graphql-core executes the queries; nothing here uses the limiter's estimate of a cost. Each object that a resolver
returns costs the weight of its field, and each mutation costs the schema's points for a mutation.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b
from pathlib import Path
from random import Random
from typing import Any

from graphql import GraphQLResolveInfo, graphql_sync

from cypresspulley.graphql.schema import PricedSchema, read_schema
from cypresspulley.rehearsal.plan import Arrival, random_for

SCHEMA_PATH = Path(__file__).with_name("floor.graphql")
OPERATORS_PATH = Path(__file__).with_name("floor.toml")
FLOOR_COUNT = 40
BAG_COUNT = 600
MEAN_LIST_FILL = 0.6  # mean share of the requested items that a list has


def hash_number(*what: object) -> int:
    """Hash the arguments to a number, so that the data are the same in every process."""
    return int.from_bytes(blake2b("/".join(map(str, what)).encode(), digest_size=6).digest(), "big")


def bag(id: object) -> dict[str, Any]:
    return {
        "__typename": "Bag",
        "id": f"b{id}",
        "grams": 500 + hash_number("grams", id) % 4000,
        "at": hash_number("at", id) % FLOOR_COUNT,
    }


def floor(id: object) -> dict[str, Any]:
    return {"__typename": "Floor", "id": f"f{id}", "name": f"floor {id}"}


def handover(id: object) -> dict[str, Any]:
    return {
        "__typename": "Handover",
        "id": f"h{id}",
        "of": hash_number("of", id) % BAG_COUNT,
        "to": f"cart-{hash_number('to', id) % 9}",
    }


def _list_length(most: int, *what: object) -> int:
    """Length of a list of at most ``most`` items, decided by the other arguments."""
    return min(most, round(most * MEAN_LIST_FILL * (0.5 + hash_number("some", *what) % 1000 / 1000)))


class Resolvers:
    """The resolvers of one request, which add up its points."""

    def __init__(self, priced: PricedSchema) -> None:
        self.priced, self.points = priced, 0.0

    def resolve(self, source: Any, info: GraphQLResolveInfo[Any], **arguments: Any) -> Any:
        """Resolve any field: return its value and add its cost."""
        parent, name = str(info.parent_type), info.field_name
        value = self._value(source, parent, name, arguments)
        price = self.priced.field_price(parent, name)
        many = value if isinstance(value, list) else [value]
        self.points += price.weight * sum(each is not None for each in many)
        self.points += sum(
            points for key, points in price.arguments.items() if arguments.get(key) is not None
        )
        if parent == "Mutation":
            self.points += self.priced.mutation_points / _count_root_fields(info)
        return value

    def _value(self, source: Any, parent: str, name: str, arguments: Mapping[str, Any]) -> Any:
        if parent == "Query":
            return self._query(name, arguments)
        if parent == "Mutation":
            return handover(arguments["bag"]) if name == "handover" else bag(arguments["bag"])
        if parent == "Floor" and name == "bags":
            count = _list_length(arguments.get("first") or 0, source["id"])
            return [bag(hash_number(source["id"], n) % BAG_COUNT) for n in range(count)]
        if parent == "Floor" and name == "pending":
            return [handover((source["id"], n)) for n in range(_list_length(8, "pending", source["id"]))]
        if parent == "Floor" and name == "counts":
            return {
                "clean": hash_number("clean", source["id"]) % 90,
                "soiled": hash_number("soiled", source["id"]) % 90,
            }
        if parent == "Bag" and name == "floor":
            return floor(source["at"])
        if parent == "Bag" and name == "history":
            return [
                handover((source["id"], n)) for n in range(_list_length(arguments["first"], source["id"]))
            ]
        if parent == "Handover" and name == "bag":
            return bag(source["of"])
        return source[name]

    def _query(self, name: str, arguments: Mapping[str, Any]) -> Any:
        if name == "floors":
            return [floor(n) for n in range(_list_length(arguments.get("first") or 0, "floors"))]
        if name == "search":
            count = _list_length(arguments.get("first") or 10, arguments["text"])
            return [
                (floor if n % 3 else bag)(hash_number(arguments["text"], n) % FLOOR_COUNT)
                for n in range(count)
            ]
        return floor(arguments["id"]) if name == "floor" else bag(arguments["id"])


def _count_root_fields(info: GraphQLResolveInfo[Any]) -> int:
    """Number of root fields. A mutation's points count once for the operation, an equal part with each root field."""
    return max(1, len(info.operation.selection_set.selections))


@lru_cache(maxsize=1)
def priced_schema() -> PricedSchema:
    return read_schema(SCHEMA_PATH.read_text(encoding="utf-8"), str(SCHEMA_PATH))


def run(
    query: str, variables: Mapping[str, Any] | None, operation: str | None
) -> tuple[dict[str, Any], float]:
    """Execute a query; return the response (``data``, ``errors``) and its true cost in points."""
    priced = priced_schema()
    resolvers = Resolvers(priced)
    done = graphql_sync(
        priced.schema, query, variable_values=dict(variables or {}), operation_name=operation,
        field_resolver=resolvers.resolve, type_resolver=lambda value, _info, _kind: value["__typename"],
    )  # fmt: skip
    answer = dict[str, Any]()
    if isinstance(done.data, dict):
        answer["data"] = done.data
    if done.errors:
        answer["errors"] = [error.formatted for error in done.errors]
    return answer, resolvers.points


# Queries of clients.

FLOOR = """query Floor($id: ID!, $n: Int = 10) { floor(id: $id) { ...Head bags(first: $n) { id grams }
 pending { id to } } }
fragment Head on Floor { id name counts { clean soiled } }"""
MORNING = "{ floors(first: 4) { id counts { clean soiled } bags(first: 6) { id grams } } }"
DEEP = """query Deep($id: ID!, $full: Boolean!) { floor(id: $id) { bags(first: 8) { id history(first: 3) { id to }
 floor @include(if: $full) { name counts { soiled } } } } }"""
SEARCH = """query($t: String!) { search(text: $t, first: 6) { id ... on Bag { grams floor { name } }
 ... on Floor { name } } }"""
HANDOVER = "mutation Hand($b: ID!, $to: String!) { handover(bag: $b, to: $to) { id bag { id } } }"
HIDDEN = """query Look($b: ID!) { bag(id: $b) { id grams } }
mutation Hand($b: ID!, $to: String!) { ...Act } fragment Act on Mutation { given: handover(bag: $b, to: $to) { id } }"""
SMALL = "query($b: ID!) { bag(id: $b) { id grams } }"


@dataclass(frozen=True, slots=True)
class GraphQLRequest:
    """One request of a client: its body, its true cost in points and the response of a server."""

    body: bytes
    mutation: bool
    points: float
    answer: str  # JSON of the response, without the cost


def build_request(seed: int, arrival: Arrival, mutation: bool) -> GraphQLRequest:
    """Build a realistic request, decided only by the seed and the number of the arrival."""
    rng = random_for(seed, "graphql", arrival.number)
    rows = _mutation(rng) if mutation else _query(rng)
    answers, points = list[dict[str, Any]](), 0.0
    for query, variables, operation in rows:
        answer, cost = _execute_cached(query, json.dumps(variables, sort_keys=True), operation)
        answers.append(answer)
        points += cost
    operations = [
        {"query": query, "variables": variables, **({"operationName": name} if name else {})}
        for query, variables, name in rows
    ]
    is_single = len(rows) == 1
    body = json.dumps(operations[0] if is_single else operations).encode()
    return GraphQLRequest(body, mutation, points, json.dumps(answers[0] if is_single else answers))


Row = tuple[str, dict[str, Any], str | None]


def _query(rng: Random) -> list[Row]:
    floor_id, bag_id = str(rng.randrange(FLOOR_COUNT)), str(rng.randrange(BAG_COUNT))
    kinds: list[Row] = [
        (FLOOR, {"id": floor_id, "n": rng.choice((5, 10, 20))}, None), (MORNING, {}, None),
        (DEEP, {"id": floor_id, "full": rng.random() < 0.5}, "Deep"),
        (SEARCH, {"t": f"room {rng.randrange(30)}"}, None),
        (SMALL, {"b": bag_id}, None), (HIDDEN, {"b": bag_id}, "Look"),
    ]  # fmt: skip
    first = kinds[rng.choices(range(6), (4, 1, 1, 2, 6, 3))[0]]
    return [first, kinds[4]] if rng.random() < 0.1 else [first]


def _mutation(rng: Random) -> list[Row]:
    values = {"b": str(rng.randrange(BAG_COUNT)), "to": f"cart-{rng.randrange(9)}"}
    kind = rng.random()
    if kind < 0.6:
        return [(HANDOVER, values, None)]
    if kind < 0.85:
        return [(HIDDEN, values, "Hand")]
    return [(SMALL, {"b": values["b"]}, None), (HANDOVER, values, "Hand")]


@lru_cache(maxsize=20_000)
def _execute_cached(query: str, variables: str, operation: str | None) -> tuple[dict[str, Any], float]:
    return run(query, json.loads(variables), operation)


def abusive_bodies() -> dict[str, bytes]:
    """Abusive request bodies by name. Each must be answered with an error and must not reach a server."""

    def of(query: str, **more: object) -> bytes:
        return json.dumps({"query": query, **more}).encode()

    nest = "bags(first:1){floor{" * 60
    cycle = "fragment A on Floor{...B} fragment B on Floor{...A}"
    return {
        "aliases": of("{" + " ".join(f"a{n}:bag(id:1){{id}}" for n in range(2000)) + "}"),
        "fragment cycle": of("{floor(id:1){...A}} " + cycle),
        "nesting": of("{floor(id:1){" + nest + "id" + "}}" * 60 + "}}"),
        "huge list": of("{floors(first:1000000){bags(first:1000000){id}}}"),
        "huge list by variable": of(
            "query($n:Int){floors(first:$n){id bags(first:$n){id}}}", variables={"n": 2**31 - 1}
        ),
        "negative list": of("{floors(first:-5){id}}"),
        "directives": of("{floor(id:1)" + "@skip(if:false)" * 500 + "{id}}"),
        "open braces": b"{" * 65_000,
        "open braces in a query": of("{" * 60_000),
        "key twice": b'{"query":"{bag(id:1){id}}","query":"mutation{handover(bag:1,to:\\"x\\"){id}}"}',
        "wrong hash": of("{bag(id:1){id}}", extensions={"persistedQuery": {"version": 1, "sha256Hash": "0" * 64}}),
        "unknown hash": json.dumps({"extensions": {"persistedQuery": {"version": 1, "sha256Hash": "1" * 64}}}).encode(),
        "unknown operation": of("query A{bag(id:1){id}} mutation B{handover(bag:1,to:\"x\"){id}}", operationName="C"),
        "no operation named": of("query A{bag(id:1){id}} mutation B{handover(bag:1,to:\"x\"){id}}"),
        "variables of the wrong type": of("query($b:ID!){bag(id:$b){id}}", variables={"b": {"a": [1]}}),
        "variables no object": of("{bag(id:1){id}}", variables=[1, 2]),
        "escape in a name": of("{b\\u0061g(id:1){id}}"),
        "no JSON": b"\xff\xfe{bag}",
        "NaN": b'{"query":"{bag(id:1){id}}","variables":{"a":NaN}}',
        "deep JSON": b'{"query":"{bag(id:1){id}}","variables":' + b'{"a":' * 5000 + b"1" + b"}" * 5000 + b"}",
        "subscription": of("subscription{bag(id:1){id}}"),
        "batch": json.dumps([{"query": "{bag(id:1){id}}"}] * 50).encode(),
        "empty batch": b"[]",
        "spreads that double": of(
            "{floor(id:1){...F0}} "
            + " ".join(
                f"fragment F{n} on Floor{{a{n}:bags(first:1){{floor{{...F{n + 1}}}}} "
                f"b{n}:bags(first:1){{floor{{...F{n + 1}}}}}}}"
                for n in range(9)
            )
            + " fragment F9 on Floor{id}"
        ),
    }  # fmt: skip
