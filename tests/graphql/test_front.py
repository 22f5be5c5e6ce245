"""Tests the GraphQL handler over loopback sockets: media types, error codes, classes, charging and options."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from cypresspulley import interface as api
from cypresspulley.graphql.budget import AnalysisBudget
from cypresspulley.graphql.handler import GraphQLHandler
from cypresspulley.graphql.options import (
    Options,
    OptionsError,
    load_document_cache,
    load_options,
    options_from,
)
from cypresspulley.net.frontend import Frontend
from cypresspulley.net.node import UnixClock
from cypresspulley.rehearsal.standins.graphql import OPERATORS_PATH, SCHEMA_PATH, abusive_bodies
from tests.loopback import SETTINGS, Limiter, Origin, Script, ask, forward, listening, read_message, run

LOOKUP_QUERY, HANDOVER_MUTATION = "{bag(id:1){id}}", 'mutation{handover(bag:1,to:"x"){id}}'
LONG_QUERY = "{bag(id:1){" + " ".join(f"a{n}:floor{{id}}" for n in range(25)) + "}}"
RESPONSE_MEDIA_TYPE = "application/graphql-response+json"


def make_options(**changes: Any) -> Options:
    return options_from(
        {"schema": str(SCHEMA_PATH), "query": "lookup", "mutation": "post", **changes}, "test.toml"
    )


class GraphQLLimiter(Limiter):
    """The limiter of the loopback tests with GraphQL enabled."""

    def __init__(self, script: Script, dials: dict[str, str], **changes: Any) -> None:
        super().__init__(script, dials)
        options = make_options(**changes)
        self.graphql = GraphQLHandler(SETTINGS, options, load_document_cache(options), UnixClock())
        self.frontend = Frontend(self.node, SETTINGS, 64, self.graphql)

    async def __aenter__(self) -> GraphQLLimiter:
        await super().__aenter__()
        return self


def post(body: object, content: str = "application/json", **headers: str) -> bytes:
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    fields: dict[str, Any] = {"Content_Type": content, "X_Priority_Class": "", **headers}
    return ask("/graphql?account=00000000b4d65521", data, **fields)


def response_with_cost(cost: object = 3, data: str = '{"bag":{"id":"b1"}}') -> bytes:
    body = b'{"extensions":{"cost":{"actual":%b}},"data":%b}' % (json.dumps(cost).encode(), data.encode())
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


def run_limiter(
    work: Callable[[GraphQLLimiter, Origin, Script], Any], reply: Callable[[int], bytes | None] | None = None,
    script: Script | None = None, **changes: Any,
) -> None:  # fmt: skip
    async def main() -> None:
        origin, decisions = Origin(reply or (lambda _n: response_with_cost())), script or Script(forward)
        async with (
            listening(origin.talk) as dial,
            GraphQLLimiter(decisions, {"s1": dial}, **changes) as limiter,
        ):
            await work(limiter, origin, decisions)

    run(main())


def test_a_query_is_priced_and_goes_on_unchanged_as_its_class() -> None:
    async def work(limiter: GraphQLLimiter, origin: Origin, script: Script) -> None:
        request = post({"query": LOOKUP_QUERY}, Accept=RESPONSE_MEDIA_TYPE)
        first, _, body = await limiter.fetch(request)
        assert " 200 " in first and json.loads(body)["data"] == {"bag": {"id": "b1"}}
        (event,) = await script.until(api.Request)
        assert (event.request_class, event.units, event.bound) == ("lookup", 0.1, 0.1)
        line, fields, sent = origin.seen[0]
        assert (
            line == "POST /graphql?account=00000000b4d65521 HTTP/1.1"
            and sent == json.dumps({"query": LOOKUP_QUERY}).encode()
        )
        assert fields["x-priority-class"] == "lookup" and "idempotency-key" not in fields

    run_limiter(work)


@pytest.mark.parametrize("keep", [True, False], ids=["kept", "closing"])
def test_an_unexpected_error_while_a_query_is_read_ends_in_one_answer(
    keep: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a request that nobody answers: the 500 was set for another one behind it."""

    async def work(limiter: GraphQLLimiter, _origin: Origin, _script: Script) -> None:
        def fail(*_arguments: object) -> None:
            raise ZeroDivisionError

        monkeypatch.setattr(limiter.graphql, "_spend_budget", fail)
        request = post({"query": LOOKUP_QUERY}, **({} if keep else {"Connection": "close"}))
        reader, writer = await limiter.connect()
        writer.write(request)
        first, headers, body = await read_message(reader)
        assert " 500 " in first and headers["connection"] == "close"
        assert json.loads(body)["errors"][0]["extensions"]["code"] == "INTERNAL_ERROR"
        assert await reader.read() == b"" and not limiter.frontend.open_ids
        writer.close()
        monkeypatch.undo()
        assert " 200 " in (await limiter.fetch(post({"query": LOOKUP_QUERY})))[0]

    run_limiter(work)


@pytest.mark.parametrize(
    "body, name",
    [
        ({"query": HANDOVER_MUTATION}, "post"),
        ({"query": f"query A{LOOKUP_QUERY} mutation B{HANDOVER_MUTATION[8:]}", "operationName": "B"}, "post"),
        (
            {"query": f"query A{LOOKUP_QUERY} mutation B{HANDOVER_MUTATION[8:]}", "operationName": "A"},
            "lookup",
        ),
        ({"query": 'mutation{...M} fragment M on Mutation{handover(bag:1,to:"x"){id}}'}, "post"),
        ([{"query": LOOKUP_QUERY}, {"query": HANDOVER_MUTATION}], "post"),
        ([{"query": LOOKUP_QUERY}, {"query": LOOKUP_QUERY}], "lookup"),
    ],
)
def test_the_class_follows_from_what_is_selected(body: object, name: str) -> None:
    async def work(limiter: GraphQLLimiter, origin: Origin, script: Script) -> None:
        # The class that the client claims is ignored, so that it cannot declare a mutation as safe.
        await limiter.fetch(post(body, X_Priority_Class="lookup"))
        (event,) = await script.until(api.Request)
        assert event.request_class == name and origin.seen[0][1]["x-priority-class"] == name

    run_limiter(work)


@pytest.mark.parametrize(
    "request_bytes, status, code",
    [
        (post({"query": "{"}), 400, "GRAPHQL_PARSE_FAILED"),
        (post({"query": "{nothing}"}), 400, "GRAPHQL_VALIDATION_FAILED"),
        (post({"query": LOOKUP_QUERY, "operationName": "X"}), 400, "OPERATION_UNKNOWN"),
        (post({"query": LOOKUP_QUERY}, "text/plain"), 415, "UNSUPPORTED_MEDIA_TYPE"),
        (post({"query": LOOKUP_QUERY}, "application/json; charset=latin-1"), 415, "UNSUPPORTED_MEDIA_TYPE"),
        (post({"query": LOOKUP_QUERY}, Accept="text/html"), 406, "NOT_ACCEPTABLE"),
        (post(b'{"query":"{a}","query":"{b}"}'), 400, "BAD_REQUEST"),
        (post([{"query": LOOKUP_QUERY}] * 11), 400, "QUERY_TOO_COMPLEX"),
        (post({}), 400, "BAD_REQUEST"),
        (ask("/graphql?account=00000000b4d65521&query=" + HANDOVER_MUTATION, X_Priority_Class=""),
         405, "METHOD_NOT_ALLOWED"),
        (ask("/graphql?account=00000000b4d65521&query={}&query={}", X_Priority_Class=""), 400, "BAD_REQUEST"),
    ],
)  # fmt: skip
def test_what_is_no_request_gets_its_code_and_reaches_nobody(
    request_bytes: bytes, status: int, code: str
) -> None:
    async def work(limiter: GraphQLLimiter, origin: Origin, script: Script) -> None:
        first, headers, body = await limiter.fetch(request_bytes)
        assert f" {status} " in first and headers["content-type"].startswith("application/")
        (error,) = json.loads(body)["errors"]
        assert error["extensions"]["code"] == code and error["message"]
        assert not origin.seen and not any(isinstance(e, api.Request) for e in script.events)
        assert " 200 " in (await limiter.fetch(post({"query": LOOKUP_QUERY})))[0]

    run_limiter(work)


@pytest.mark.parametrize("name", abusive_bodies())
def test_abuse_gets_an_error_at_once(name: str) -> None:
    async def work(limiter: GraphQLLimiter, origin: Origin, script: Script) -> None:
        first, _, body = await limiter.fetch(post(abusive_bodies()[name]))
        assert first.split()[1] in ("400", "404", "429") and "data" not in json.loads(body)
        assert not origin.seen

    script = Script(
        lambda event: [api.Refuse(event.id, 1.0, "too dear")] if isinstance(event, api.Request) else []
    )
    run_limiter(work, script=script)


def test_a_query_by_get_is_taken_and_its_query_string_kept() -> None:
    async def work(limiter: GraphQLLimiter, origin: Origin, script: Script) -> None:
        target = (
            "/graphql?account=00000000b4d65521&query=query($b:ID!){bag(id:$b){id}}&variables=%7B%22b%22:1%7D"
        )
        assert " 200 " in (await limiter.fetch(ask(target, X_Priority_Class="")))[0]
        assert origin.seen[0][0] == f"GET {target} HTTP/1.1"

    run_limiter(work)


def test_a_refusal_tells_cost_and_what_is_left_and_when_to_come_back() -> None:
    async def work(limiter: GraphQLLimiter, origin: Origin, script: Script) -> None:
        first, headers, body = await limiter.fetch(post({"query": LOOKUP_QUERY}, Accept="application/json"))
        assert " 429 " in first and float(headers["retry-after"]) == 0.5
        assert headers["content-type"] == "application/json; charset=utf-8"
        extensions = json.loads(body)["errors"][0]["extensions"]
        assert extensions == {
            "code": "COST_LIMITED", "cost": {"expected": 1, "bound": 1}, "left": 20.0, "retryAfter": 0.5,
        }  # fmt: skip

    script = Script(
        lambda event: [api.Refuse(event.id, 0.5, "quota", 2.0)] if isinstance(event, api.Request) else []
    )
    run_limiter(work, script=script)


@pytest.mark.parametrize(
    "cost, units",
    [(1, 0.1), (0, 0.0), (0.5, 0.05), (-1, None), (1e9, None), ("many", None), (None, None), (True, None)],
)
def test_the_true_cost_settles_and_an_absurd_one_does_not(cost: object, units: float | None) -> None:
    async def work(limiter: GraphQLLimiter, origin: Origin, script: Script) -> None:
        assert " 200 " in (await limiter.fetch(post({"query": LOOKUP_QUERY})))[0]
        (outcome,) = await script.until(api.Outcome)
        assert outcome.units == units and outcome.status is api.Status.OK

    run_limiter(work, lambda _n: response_with_cost(cost))


@pytest.mark.parametrize(
    "body, status",
    [
        ({"errors": [{"message": "x", "extensions": {"code": "NOT_EXECUTED"}}]}, api.Status.FULL),
        ({"errors": [{"message": "x", "extensions": {"code": "OTHER"}}]}, api.Status.OK),
        ({"errors": [{"message": "x"}, {"extensions": {"code": "NOT_EXECUTED"}}]}, api.Status.OK),
        ({"data": {"bag": None}, "errors": [{"extensions": {"code": "NOT_EXECUTED"}}]}, api.Status.OK),
    ],
)
def test_errors_without_data_never_ran_only_where_the_file_names_the_code(
    body: object, status: api.Status
) -> None:
    async def work(limiter: GraphQLLimiter, origin: Origin, script: Script) -> None:
        _, _, said = await limiter.fetch(post({"query": HANDOVER_MUTATION}))
        (outcome,) = await script.until(api.Outcome)
        assert outcome.status is status and outcome.finished is (status is api.Status.OK)
        assert (json.loads(said) == body) is (status is api.Status.OK)

    data = json.dumps(body).encode()
    reply = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(data), data)
    run_limiter(work, lambda _n: reply, never_ran_codes=["NOT_EXECUTED"])


def test_unknown_documents_are_read_only_as_the_budget_allows_and_known_ones_always() -> None:
    async def work(limiter: GraphQLLimiter, origin: Origin, script: Script) -> None:
        assert " 200 " in (await limiter.fetch(post({"query": LOOKUP_QUERY})))[0]
        texts = [f"{{a{n}:bag(id:1){{id grams floor{{id name}}}}}}" for n in range(20)]
        answers = [await limiter.fetch(post({"query": text})) for text in texts]
        busy = [headers for first, headers, _ in answers if " 429 " in first]
        assert busy and all(float(headers["retry-after"]) == 1.0 for headers in busy)
        assert " 200 " in (await limiter.fetch(post({"query": LOOKUP_QUERY})))[0]

    run_limiter(work, reading=0.003)


def test_the_budget_leaves_room_for_others_and_begins_anew_each_second() -> None:
    budget = AnalysisBudget(0.1)
    taken = [budget.try_spend(5.0, "one", 0.02) for _ in range(10)]
    assert taken == [True] * 2 + [False] * 8
    assert [budget.try_spend(5.5, f"other {n}", 0.02) for n in range(5)] == [True] * 3 + [False] * 2
    assert budget.try_spend(6.0, "one", 5.0) and not budget.try_spend(6.1, "two", 0.02)
    assert AnalysisBudget.estimate(1_000_000, 250) == AnalysisBudget.estimate(1000, 250)


def test_a_client_that_leaves_while_its_document_is_read_is_not_sent_on() -> None:
    async def work(limiter: GraphQLLimiter, origin: Origin, script: Script) -> None:
        _, writer = await limiter.connect()
        writer.write(post({"query": LONG_QUERY}))
        writer.transport.abort()
        assert " 200 " in (await limiter.fetch(post({"query": LOOKUP_QUERY})))[0]
        while limiter.frontend.open_ids:
            await asyncio.sleep(0.01)
        assert limiter.node.open_requests == 0

    run_limiter(work)


def test_answers_keep_their_order_while_documents_are_read() -> None:
    async def work(limiter: GraphQLLimiter, origin: Origin, script: Script) -> None:
        reader, writer = await limiter.connect()
        slow = post({"query": LONG_QUERY})
        writer.write(slow + post({"query": "{"}))
        assert " 200 " in (await read_message(reader))[0]
        assert " 400 " in (await read_message(reader))[0]

    run_limiter(work)


def test_plain_requests_are_as_before_and_graphql_is_not_there_when_off() -> None:
    async def main() -> None:
        async with listening(Origin().talk) as dial, GraphQLLimiter(Script(forward), {"s1": dial}) as on:
            assert (await on.fetch(ask()))[2] == b"hi"
        async with listening(Origin().talk) as dial, Limiter(Script(forward), {"s1": dial}) as off:
            assert " 404 " in (await off.fetch(post({"query": LOOKUP_QUERY}, X_Priority_Class="graphql")))[0]

    run(main())


def test_off_imports_nothing_of_it() -> None:
    code = "import sys, cypresspulley.__main__; print([m for m in sys.modules if 'graphql' in m])"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"


# The options in the operators' file.


@pytest.mark.parametrize(
    "key, value, said",
    [
        ("shema", "x", "graphql.shema: unknown"),
        ("points_per_unit", 0, "above 0"),
        ("points_per_unit", "many", "a number"),
        ("longest_list", 1.5, "a whole number"),
        ("batch", "maybe", "one of price, refuse"),
        ("never_ran_codes", "X", "a list of texts"),
        ("introspection", 1, "true or false"),
        ("bounds", {"tokens": 0}, "graphql.bounds.tokens"),
        ("bounds", {"tokn": 5}, "graphql.bounds.tokn: unknown"),
        ("path", "graphql", "a path like /graphql"),
        ("schema", "", "graphql.schema: missing"),
    ],
)
def test_a_wrong_key_is_named_with_what_was_expected(key: str, value: object, said: str) -> None:
    with pytest.raises(OptionsError, match=said):
        make_options(**{key: value})


def test_shipped_files_load_and_classes_must_fit() -> None:
    for path in (str(OPERATORS_PATH), str(Path(__file__).parents[2] / "deploy" / "graphql.toml")):
        load_document_cache(load_options(path))

    async def main() -> None:
        for key, name in (("query", "post"), ("mutation", "lookup"), ("keyed", "post")):
            options = make_options(**{key: name})
            with pytest.raises(OptionsError, match=f"graphql.{key}"):
                GraphQLHandler(SETTINGS, options, load_document_cache(options), UnixClock())

    run(main())


def test_one_key_of_one_account_is_one_key_at_the_servers_through_any_limiter() -> None:
    """Servers deduplicate by the key, so it must not depend on the limiter, and must differ between accounts."""
    keyed = api.RequestClass("weigh", 2.0, 1.0, api.Effect.KEYED, window=5.0)
    settings = replace(SETTINGS, classes=(*SETTINGS.classes, keyed))
    body = {"query": "mutation($k:ID!){weigh(bag:1,grams:5,key:$k){id}}", "variables": {"k": "once"}}

    async def main() -> None:
        origin = Origin(lambda _n: response_with_cost())
        async with listening(origin.talk) as dial:
            for account in ("00000000b4d65521", "00000000b4d65521", "00000000b4d65522"):
                limiter = GraphQLLimiter(Script(forward), {"s1": dial})
                options = make_options(keyed="weigh")
                front = GraphQLHandler(settings, options, load_document_cache(options), UnixClock())
                limiter.frontend = Frontend(limiter.node, settings, 64, front)
                async with limiter:
                    request = post(body, Idempotency_Key="the client's own").replace(
                        b"00000000b4d65521", account.encode()
                    )
                    assert " 200 " in (await limiter.fetch(request))[0]
        keys = [fields["idempotency-key"] for _, fields, _ in origin.seen]
        assert keys[0] == keys[1] != keys[2] and {f["x-priority-class"] for _, f, _ in origin.seen} == {
            "weigh"
        }

    run(main())
