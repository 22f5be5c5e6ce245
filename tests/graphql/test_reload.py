"""New settings while GraphQL requests are served: which effect decides how often a request is sent."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any

import pytest

from cypresspulley import interface as api
from cypresspulley.graphql.handler import GraphQLHandler
from cypresspulley.graphql.options import OptionsError, load_document_cache
from cypresspulley.net.frontend import Frontend
from cypresspulley.net.node import Node, UnixClock
from cypresspulley.net.upstream import Upstream
from cypresspulley.policy import classes
from cypresspulley.policy.gateway import Gateway
from tests.graphql.test_front import HANDOVER_MUTATION, LOOKUP_QUERY, make_options, post
from tests.loopback import Origin, listening, listing, read_message, run

LOOKUP = api.RequestClass("lookup", 1.0, 1.0, api.Effect.SAFE)
POST = api.RequestClass("post", 2.0, 5.0, api.Effect.UNSAFE, window=5.0)
KEYED_POST = api.RequestClass("keyed", 2.0, 5.0, api.Effect.KEYED, window=5.0)
SETTINGS = api.Settings(
    index=0, gateways=3, zone="a", classes=(LOOKUP, POST, KEYED_POST),
    plans=(api.Plan("basic", rate=100.0, burst=100.0),), max_attempts=4, max_retry_after=1.0,
)  # fmt: skip


class World:
    """A limiter with the real decisions, and servers that run each request and break the connection."""

    def __init__(self, dials: dict[str, str]) -> None:
        clock, options = UnixClock(), make_options()
        self.upstream = Upstream(clock, 0.25, 30.0, 64)
        self.node = Node(SETTINGS, Gateway(SETTINGS, 1, clock()), clock, self.upstream, None)
        self.graphql = GraphQLHandler(SETTINGS, options, load_document_cache(options), clock)
        self.frontend = Frontend(self.node, SETTINGS, 64, self.graphql)
        self.node.apply_listing(listing(dials))

    def retune(self, settings: api.Settings) -> None:
        """Apply settings as ``__main__.serve`` does after SIGHUP."""
        self.node.retune(settings)
        self.frontend.reader.retune(settings)
        self.graphql.retune(settings)

    async def fetch(self, address: tuple[str, int], query: str) -> str:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(post({"query": query}))
        first, _, _ = await read_message(reader)
        writer.close()
        return first.split(" ")[1]


def with_effect(name: str, effect: api.Effect) -> api.Settings:
    changed = tuple(replace(each, effect=effect) if each.name == name else each for each in SETTINGS.classes)
    return replace(SETTINGS, classes=changed)


def run_world(settings: api.Settings | None, query: str, expected: dict[str, Any]) -> None:
    async def main() -> None:
        origins = [Origin(lambda _n: b"") for _ in range(2)]
        async with listening(origins[0].talk) as one, listening(origins[1].talk) as two:
            world = World({"s1": one, "s2": two})
            address = await world.frontend.listen("127.0.0.1", 0)
            if settings is not None:
                world.retune(settings)
            status = await world.fetch(address, query)
            runs = sum(len(each.seen) for each in origins)
            assert {"status": status, "runs": runs > 1} == expected
            await world.frontend.close(0.1)
            world.upstream.close()

    run(main())


ONCE = {"status": "502", "runs": False}
MORE_THAN_ONCE = {"status": "429", "runs": True}  # refused in the end: a repeat by the client is harmless


@pytest.mark.parametrize("replaced_seconds", [6.0, 0.0], ids=["old record in force", "old record forgotten"])
@pytest.mark.parametrize(
    "settings",
    [
        None,
        with_effect("post", api.Effect.KEYED),
        with_effect("post", api.Effect.SAFE),
        replace(SETTINGS, classes=(LOOKUP,)),
    ],
    ids=["as at the start", "class keyed", "class safe", "class dropped"],
)
def test_a_mutation_without_a_key_runs_once_whatever_its_class_becomes(
    settings: api.Settings | None, replaced_seconds: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against review/3: after SIGHUP made their class keyed, mutations without a key ran twice."""
    monkeypatch.setattr(classes, "REPLACED_RECORD_SECONDS", replaced_seconds)
    run_world(settings, HANDOVER_MUTATION, ONCE)


@pytest.mark.parametrize(
    ("settings", "expected"),
    [
        (None, MORE_THAN_ONCE),
        (with_effect("lookup", api.Effect.UNSAFE), ONCE),
        (with_effect("lookup", api.Effect.KEYED), ONCE),
    ],
)
def test_a_query_is_repeated_only_while_its_class_is_safe(
    settings: api.Settings | None, expected: dict[str, Any]
) -> None:
    run_world(settings, LOOKUP_QUERY, expected)


def test_settings_that_no_longer_fit_are_logged(caplog: pytest.LogCaptureFixture) -> None:
    async def main() -> None:
        world = World({})
        world.retune(with_effect("post", api.Effect.KEYED))
        world.retune(SETTINGS)
        world.upstream.close()

    run(main())
    (message,) = [each.message for each in caplog.records if "graphql." in each.message]
    assert "graphql.mutation: 'post' is not a class of effect unsafe" in message and "sent once" in message


def test_a_start_with_such_settings_is_still_refused() -> None:
    async def main() -> None:
        options = make_options()
        with pytest.raises(OptionsError, match=r"graphql\.mutation"):
            settings = with_effect("post", api.Effect.KEYED)
            GraphQLHandler(settings, options, load_document_cache(options), UnixClock())

    run(main())
