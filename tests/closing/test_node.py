"""A caching node over loopback sockets: cached answers, requests that bypass the cache, the access log, the
operators' interface, and a process with closing off.
"""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from cypresspulley import interface as api
from cypresspulley.accesslog import LogFile, LoggedNode
from cypresspulley.closing.limiter import ClosingCache
from cypresspulley.histories.events import Kind
from cypresspulley.lifecycle import Lifecycle
from cypresspulley.net.frontend import Frontend
from cypresspulley.net.node import Node, UnixClock
from cypresspulley.net.upstream import Upstream
from cypresspulley.service import Service
from tests.closing.test_together import CLOSE, calendar, options
from tests.closing.world import BEGIN, RecordedHistory, View, World
from tests.loopback import (
    OK,
    SETTINGS,
    ConnectionHandler,
    Origin,
    Script,
    ask,
    forward,
    listening,
    listing,
    read_message,
    run,
)
from tests.test_door import admin_server, call


class CachingLimiter:
    """A limiter that is alone in its installation; the test sets its wall clock."""

    def __init__(self, dial: str, file: LogFile | None = None) -> None:
        clock = UnixClock()
        self.now, self.history = CLOSE - 20, RecordedHistory()
        world = World(1, configured_limiters=1)
        simulated = world.add("n0", options(calendar(1, BEGIN - 86_400, CLOSE)))
        self.closing = ClosingCache(
            simulated.options,
            View(simulated, 1),
            clock,
            lambda: self.now,
            self.history,
            configured_limiters=1,
        )
        self.closing.start()
        self.script = Script(forward)
        self.upstream = Upstream(clock, dial_timeout=0.25, conn_idle=30.0, max_connections=64)
        kind = self.closing.node(Node if file is None else LoggedNode)
        arguments: list[Any] = [SETTINGS, self.script, clock, self.upstream, None]
        self.node = kind(*arguments, *([file] if file is not None else []))
        self.frontend = Frontend(self.node, SETTINGS, max_connections=64)
        self.node.apply_listing(listing({"s1": dial}))
        self.address = ("", 0)

    async def fetch(self, request: bytes | None = None) -> tuple[str, dict[str, str], bytes]:
        reader, writer = await asyncio.open_connection(*self.address)
        writer.write(request or ask())
        answer = await read_message(reader)
        writer.close()
        return answer


@asynccontextmanager
async def run_limiter(talk: ConnectionHandler, file: LogFile | None = None) -> AsyncIterator[CachingLimiter]:
    async with listening(talk) as dial:
        limiter = CachingLimiter(dial, file)
        limiter.address = await limiter.frontend.listen("127.0.0.1", 0)
        try:
            yield limiter
        finally:
            limiter.closing.close()
            await limiter.frontend.close(0.1)
            limiter.upstream.close()


def test_a_kept_answer_has_its_age_and_causes_no_event() -> None:
    async def main() -> None:
        origin = Origin(lambda n: b"HTTP/1.1 200 OK\r\nX-Number: %d\r\nContent-Length: 2\r\n\r\nhi" % n)
        async with run_limiter(origin.talk) as limiter:
            _, headers, body = await limiter.fetch()
            assert body == b"hi" and headers["x-number"] == "1" and "age" not in headers
            events = len(limiter.script.events)
            first, headers, body = await limiter.fetch()
            assert " 200 " in first and body == b"hi" and (headers["x-number"], headers["age"]) == ("1", "0")
            assert len(limiter.script.events) == events and limiter.node.open_requests == 0
            assert [each["account"] for each in limiter.history.facts_of(Kind.SERVED)] == ["00000000b4d65521"]
            _, headers, _ = await limiter.fetch(ask("/lookup?account=00000000b4d65521&q=2"))
            assert headers["x-number"] == "2"

    run(main())


def test_at_the_close_it_is_gone_and_round_it_nothing_is_kept() -> None:
    async def main() -> None:
        origin = Origin()
        async with run_limiter(origin.talk) as limiter:
            expected_requests = 0
            for at, requests in (
                (CLOSE - 20, 1), (CLOSE - 0.3, 0), (CLOSE - 0.2, 1), (CLOSE, 1), (CLOSE + 0.2, 1), (CLOSE + 0.3, 1),
                (CLOSE + 9, 0), (CLOSE - 5, 1), (CLOSE + 8, 1), (CLOSE + 9.5, 0),
            ):  # fmt: skip
                limiter.now = at
                await limiter.fetch()
                expected_requests += requests
                assert len(origin.seen) == expected_requests, at

    run(main())


def test_an_answer_asked_for_before_the_close_is_passed_on_after_it_and_not_kept() -> None:
    async def main() -> None:
        origin, received, may_answer = Origin(), asyncio.Event(), asyncio.Event()

        async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            received.set()
            await may_answer.wait()
            writer.write(OK)
            await origin.talk(reader, writer)

        async with run_limiter(slow) as limiter:
            first = asyncio.create_task(limiter.fetch())
            await received.wait()
            limiter.now = CLOSE + 5
            may_answer.set()
            assert (await first)[2] == b"hi" and not limiter.history.facts_of(Kind.KEPT)
            limiter.now = CLOSE + 6
            assert "age" not in (await limiter.fetch())[1] and "age" in (await limiter.fetch())[1]

    run(main())


@pytest.mark.parametrize(
    "reply",
    [
        b"HTTP/1.1 200 OK\r\nSet-Cookie: a=b\r\nContent-Length: 2\r\n\r\nhi",
        b"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nhi",
        b"HTTP/1.1 200 OK\r\nVary: Accept\r\nContent-Length: 2\r\n\r\nhi",
        b"HTTP/1.1 200 OK\r\nCache-Control: max-age=3, no-store\r\nContent-Length: 2\r\n\r\nhi",
        b"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n" + b"x" * 70_000,
        b"HTTP/1.1 500 Error\r\nContent-Length: 2\r\n\r\nhi",
    ],
    ids=["cookie", "encoded", "vary", "no-store", "large", "error"],
)
def test_an_answer_that_is_not_for_all_is_large_or_no_answer_is_not_kept(reply: bytes) -> None:
    async def main() -> None:
        origin = Origin(lambda _n: reply)
        async with run_limiter(origin.talk) as limiter:
            for _ in range(2):
                await limiter.fetch()
            assert len(origin.seen) >= 2 and not limiter.history.facts_of(Kind.KEPT)

    run(main())


@pytest.mark.parametrize(
    ("name", "value"),
    [("Range", "bytes=0-1"), ("If-None-Match", "x"), ("Cache-Control", "no-cache"), ("Cookie", "a=b")],
)
def test_a_request_that_asks_for_more_is_passed_on(name: str, value: str) -> None:
    async def main() -> None:
        origin = Origin()
        async with run_limiter(origin.talk) as limiter:
            await limiter.fetch()
            line = f"\r\n{name}: {value}\r\n\r\n".encode()
            assert "age" not in (await limiter.fetch(ask().replace(b"\r\n\r\n", line)))[1]

    run(main())


def test_another_account_is_never_kept_and_costs_no_look() -> None:
    async def main() -> None:
        origin = Origin()
        async with run_limiter(origin.talk) as limiter:
            for _ in range(2):
                await limiter.fetch(ask("/lookup?account=0000000000000001"))
            assert len(origin.seen) == 2 and not limiter.history.facts_of(Kind.KEPT)

    run(main())


def test_a_change_drops_what_is_kept_of_its_account_from_its_begin_on() -> None:
    async def main() -> None:
        origin = Origin()
        async with run_limiter(origin.talk) as limiter:
            await limiter.fetch()
            await limiter.fetch(ask("/post?account=00000000b4d65521", b"abc"))
            assert "age" not in (await limiter.fetch())[1] and "age" in (await limiter.fetch())[1]
            told = [each["what"] for each in limiter.history.facts_of(Kind.PURGE)]
            assert told == ["asked", "applied"]

    run(main())


def test_a_change_that_was_refused_untried_purges_nothing_and_one_that_failed_purges_for_longer() -> None:
    async def main() -> None:
        origin = Origin(lambda _n: b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
        async with run_limiter(origin.talk) as limiter:
            forward_answer = limiter.script.answer
            limiter.script.answer = lambda event: (
                [api.Refuse(event.id, 1.0)] if isinstance(event, api.Request) else []
            )
            assert " 429 " in (await limiter.fetch(ask("/post?account=00000000b4d65521", b"abc")))[0]
            assert not limiter.history.facts_of(Kind.PURGE)
            limiter.script.answer = forward_answer
            await limiter.fetch(ask("/post?account=00000000b4d65521", b"abc"))
            origin.reply = lambda _n: OK
            for _ in range(2):
                assert "age" not in (await limiter.fetch())[1]  # the write may still be running
            assert limiter.closing.cache._purge_watermarks["00000000b4d65521"] > limiter.closing._clock() + 4

    run(main())


def test_it_combines_with_the_access_log(tmp_path: Path) -> None:
    async def main() -> None:
        file, origin = LogFile(str(tmp_path / "log")), Origin()
        async with run_limiter(origin.talk, file) as limiter:
            await limiter.fetch()
            await limiter.fetch()
        file.close()
        lines = [json.loads(line) for line in (tmp_path / "log").read_text().splitlines()]
        assert [(each["status"], each["why"], each["attempts"]) for each in lines] == [
            (200, "", 1),
            (200, "kept", 0),
        ]

    run(main())


def test_a_purge_by_hand_at_the_door() -> None:
    async def main() -> None:
        service, origin = Service(Lifecycle()), Origin()
        path = "/v1/accounts/00000000b4d65521/purge"
        async with admin_server(service) as door, run_limiter(origin.talk) as limiter:
            assert (await call(door, "PUT", path))[0] == 503  # the limiter is starting
            service.serve(limiter.node, limiter.frontend)
            assert (await call(door, "PUT", path))[0] == 404  # closing is off
            service.purge = limiter.closing.purge
            await limiter.fetch()
            assert (await call(door, "PUT", path)) == (200, {"account": "00000000b4d65521", "purged": True})
            assert "age" not in (await limiter.fetch())[1]
            status, body = await call(door, "PUT", "/v1/accounts/nobody/purge")
            assert status == 400 and "expected an account" in body["error"]
            assert (await call(door, "GET", path))[0] == 405

            async def missing(_account: str) -> tuple[str, ...]:
                return ("n2",)

            service.purge = missing
            assert (await call(door, "PUT", path)) == (
                503,
                {"account": "00000000b4d65521", "missing": ["n2"]},
            )

    run(main())


def test_off_it_is_not_even_imported() -> None:
    text = "import cypresspulley.__main__, sys; print([m for m in sys.modules if 'closing' in m or 'cachetools' in m])"
    done = subprocess.run([sys.executable, "-c", text], capture_output=True, text=True, check=True)
    assert done.stdout == "[]\n"
