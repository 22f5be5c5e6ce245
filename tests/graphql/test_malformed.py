"""Bodies that no query is: each ends in an answer or a close in time, and the next request is served."""

from __future__ import annotations

import asyncio
import json
from random import Random

import pytest

from cypresspulley.net.client_request import ParsedRequest
from tests.graphql.test_front import (
    HANDOVER_MUTATION,
    LOOKUP_QUERY,
    GraphQLLimiter,
    post,
    response_with_cost,
    run_limiter,
)
from tests.loopback import Origin, Script, ask, read_message

ANSWER_SECONDS = 3.0  # what a client that sends what can't be read is owed
HALF = "\\ud800"
BODIES_A_SEED = 60
TOKENS = (
    "{", "}", "[", "]", '"', "\\", ":", ",", "null", "true", "1e999", "-0", "NaN", HALF, "\\udfff",
    "\\u0000", "\\ud83d\\ude00", "query", "mutation", "fragment", "operationName", "variables",
    "extensions", "persistedQuery", "sha256Hash", "bag", "id", "(id:1)", "$x:Int!", "...",
    "@include(if:true)", "#", "\n", " ", "\u00e9", "\U0001f9fa", '\\"', "\\\\ud800", "__typename",
    "\ufeff",
)  # fmt: skip


def with_half(place: str) -> bytes:
    """Return a body with half of a surrogate pair at a place of it."""
    bodies = {
        "query": f'{{"query":"{{ bag(id: \\"{HALF}\\") {{ id }} }}"}}',
        "operation name": f'{{"query":"query A{LOOKUP_QUERY}","operationName":"{HALF}"}}',
        "value of a variable": f'{{"query":"{LOOKUP_QUERY}","variables":{{"a":["{HALF}"]}}}}',
        "name of a variable": f'{{"query":"{LOOKUP_QUERY}","variables":{{"{HALF}":1}}}}',
        "extension": f'{{"query":"{LOOKUP_QUERY}","extensions":{{"x":"{HALF}"}}}}',
        "unknown key": f'{{"query":"{LOOKUP_QUERY}","{HALF}":1}}',
        "batch": f'[{{"query":"{LOOKUP_QUERY}"}},{{"query":"{HALF}"}}]',
    }
    return bodies[place].encode()


@pytest.mark.parametrize(
    "place",
    [
        "query",
        "operation name",
        "value of a variable",
        "name of a variable",
        "extension",
        "unknown key",
        "batch",
    ],
)
def test_half_a_surrogate_pair_is_a_bad_request(place: str) -> None:
    """Guards against a request that is never answered: a text that no bytes stand for raised where it was hashed."""

    async def work(limiter: GraphQLLimiter, origin: Origin, _script: Script) -> None:
        first, _, body = await limiter.fetch(post(with_half(place)))
        assert " 400 " in first and "surrogate" in json.loads(body)["errors"][0]["message"]
        whole = json.dumps({"query": LOOKUP_QUERY, "variables": {"a": "\U0001f9fa"}}).encode()
        assert b"\\ud83e\\uddfa" in whole
        assert " 200 " in (await limiter.fetch(post(whole)))[0] and len(origin.seen) == 1

    run_limiter(work)


def test_half_a_surrogate_pair_in_the_variables_of_a_get_is_a_bad_request() -> None:
    async def work(limiter: GraphQLLimiter, _origin: Origin, _script: Script) -> None:
        target = (
            "/graphql?account=00000000b4d65521&query=%7B__typename%7D&variables=%7B%22a%22:%22%5Cud800%22%7D"
        )
        assert " 400 " in (await limiter.fetch(ask(target, X_Priority_Class="")))[0]

    run_limiter(work)


def make_body(rng: Random) -> bytes:
    """Return a body that is a valid one with pieces put in, left out or cut, or tokens in any order."""
    if rng.random() < 0.3:
        return "".join(rng.choice(TOKENS) for _ in range(rng.randint(0, 30))).encode()
    query = rng.choice((LOOKUP_QUERY, HANDOVER_MUTATION, "query A($x:Int!){bag(id:$x){id}}"))
    body = json.dumps({"query": query, "operationName": None, "variables": {"x": 1}, "extensions": {}})
    for _ in range(rng.randint(1, 4)):
        at = rng.randrange(len(body))
        body = body[:at] + rng.choice(TOKENS) + body[at + rng.choice((0, 0, 1, 3)) :]
    data = body.encode()
    return data[: rng.randrange(len(data))] + bytes([rng.randrange(256)]) if rng.random() < 0.2 else data


@pytest.mark.parametrize("seed", range(6))
def test_whatever_a_body_is_it_is_answered_and_the_next_query_too(seed: int) -> None:
    async def work(limiter: GraphQLLimiter, _origin: Origin, _script: Script) -> None:
        rng = Random(seed)
        for _ in range(BODIES_A_SEED):
            body = make_body(rng)
            reader, writer = await limiter.connect()
            writer.write(post(body, Connection="close"))
            async with asyncio.timeout(ANSWER_SECONDS):
                answer = await read_message(reader)
            assert answer[0].startswith("HTTP/1.1 ") and not limiter.frontend.open_ids, body
            writer.close()
        assert " 200 " in (await limiter.fetch(post({"query": LOOKUP_QUERY})))[0]

    run_limiter(work, lambda _n: response_with_cost())


@pytest.mark.parametrize("step", ["read_metadata", "claim_request_id", "build_head"])
def test_an_error_in_any_step_of_a_query_is_answered(step: str, monkeypatch: pytest.MonkeyPatch) -> None:
    async def work(limiter: GraphQLLimiter, _origin: Origin, _script: Script) -> None:
        def fail(*_arguments: object) -> None:
            raise ZeroDivisionError

        owner: object = limiter.frontend.reader if step == "read_metadata" else ParsedRequest
        monkeypatch.setattr(owner, step, fail)
        reader, writer = await limiter.connect()
        writer.write(post({"query": LOOKUP_QUERY}))
        async with asyncio.timeout(ANSWER_SECONDS):
            assert " 500 " in (await read_message(reader))[0]
        writer.close()
        monkeypatch.undo()
        assert " 200 " in (await limiter.fetch(post({"query": LOOKUP_QUERY})))[0]

    run_limiter(work)
