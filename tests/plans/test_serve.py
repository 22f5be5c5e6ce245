"""The writer and its followers on loopback: snapshot, changes, a restarted writer, tokens, invalid input."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from contextlib import suppress

import pytest

from cypresspulley.plans import serve
from cypresspulley.plans.book import Terms
from cypresspulley.plans.channel import WriterAddress, WriterChannel
from cypresspulley.plans.follow import Follower, FollowerState
from cypresspulley.plans.plan_writer import PlanWriter
from cypresspulley.plans.serve import Publisher, RejectedCallError, parse_request_head
from cypresspulley.plans.store import Store
from tests.plans.disk import Disk

TOKEN = "t0ken"
TERMS = Terms(1.0, 4.0, 2.0, 8.0)


class Followed:
    """A follower with its channel, and a method that waits until a condition holds."""

    def __init__(self, address: tuple[str, int], token: str = TOKEN) -> None:
        self.follower = Follower("vadodara")
        self._change_event = asyncio.Event()
        self.channel = WriterChannel(
            WriterAddress(*address, token), self.follower, self._change_event.set, seed=1
        )
        self.channel.start()

    async def until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(10):
            while not condition():
                self._change_event.clear()
                if not condition():
                    with suppress(TimeoutError):
                        await asyncio.wait_for(self._change_event.wait(), 0.05)


Scenario = Callable[[Publisher, PlanWriter, tuple[str, int]], Awaitable[None]]


def with_writer(scenario: Scenario, disk: Disk | None = None) -> None:
    async def run() -> None:
        plan_writer = PlanWriter(Store(disk or Disk()), "vadodara")
        publisher = Publisher(plan_writer, TOKEN, heartbeat_s=0.05)
        address = await publisher.listen("127.0.0.1", 0)
        try:
            await scenario(publisher, plan_writer, address)
        finally:
            await publisher.close()

    asyncio.run(run())


async def send_raw(address: tuple[str, int], raw: bytes) -> tuple[int, bytes]:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(raw)
    async with asyncio.timeout(5):
        whole = await reader.read()
    writer.close()
    return int(whole.split(b" ", 2)[1]), whole.partition(b"\r\n\r\n")[2]


def post_request(body: bytes, token: str = TOKEN) -> bytes:
    head = f"POST /v1/plans HTTP/1.1\r\nAuthorization: Bearer {token}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def test_followers_get_the_book_and_each_change() -> None:
    async def scenario(publisher: Publisher, plan_writer: PlanWriter, address: tuple[str, int]) -> None:
        now = serve.unix_ms()
        plan_writer.set_terms("p", TERMS, now, now, "m")
        followed = [Followed(address) for _ in range(3)]
        for one in followed:
            await one.until(lambda one=one: one.follower.book == plan_writer.book)  # type: ignore[misc]
        wish = {"wish": "assign", "account": "hotel", "plan": "p", "effective": "+1", "author": "m"}
        status, answer = await send_raw(address, post_request(json.dumps(wish).encode()))
        assert status == 200 and json.loads(answer)["change"]["account"] == "hotel"
        for one in followed:
            await one.until(lambda one=one: one.follower.book == plan_writer.book)  # type: ignore[misc]
            assert one.follower.state is FollowerState.CURRENT and "hotel" in one.follower.book.accounts
            one.channel.close()

    with_writer(scenario)


def test_a_writer_that_dies_is_followed_again_under_its_next_epoch() -> None:
    disk = Disk()

    async def run() -> None:
        plan_writer = PlanWriter(Store(disk), "vadodara")
        first = Publisher(plan_writer, TOKEN, heartbeat_s=0.05)
        address = await first.listen("127.0.0.1", 0)
        plan_writer.set_terms("p", TERMS, serve.unix_ms() + 10_000, serve.unix_ms(), "m")
        one = Followed(address)
        await one.until(lambda: one.follower.epoch == 1 and one.follower.book == plan_writer.book)
        await first.close()
        restarted = PlanWriter(Store(disk), "vadodara")
        restarted.set_terms("q", TERMS, serve.unix_ms() + 10_000, serve.unix_ms(), "m")
        second = Publisher(restarted, TOKEN, heartbeat_s=0.05)
        await second.listen(*address)
        await one.until(lambda: one.follower.epoch == 2 and one.follower.book == restarted.book)
        assert set(one.follower.book.plans) == {"p", "q"}
        one.channel.close()
        await second.close()

    asyncio.run(run())


def test_a_follower_without_the_token_gets_nothing() -> None:
    async def scenario(publisher: Publisher, plan_writer: PlanWriter, address: tuple[str, int]) -> None:
        one = Followed(address, "wrong")
        await one.until(lambda: "401" in one.channel.last_error)
        assert one.follower.state is FollowerState.EMPTY and publisher.follower_count == 0
        one.channel.close()

    with_writer(scenario)


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"GET /v1/plans HTTP/1.1\r\n\r\n", 401),
        (b"GET /v1/plans HTTP/1.1\r\nAuthorization: Bearer t0ken2\r\n\r\n", 401),
        (b"GET /other HTTP/1.1\r\nAuthorization: Bearer t0ken\r\n\r\n", 404),
        (b"PUT /v1/plans HTTP/1.1\r\nAuthorization: Bearer t0ken\r\n\r\n", 405),
        (b"GET /v1/plans?epoch=x HTTP/1.1\r\nAuthorization: Bearer t0ken\r\n\r\n", 400),
        (b"GET /v1/plans?since=-1 HTTP/1.1\r\nAuthorization: Bearer t0ken\r\n\r\n", 400),
        (b"\xff\xfe\r\n\r\n", 400),
        (b"x" * 20_000, 400),
        (post_request(b"{}", "wrong"), 401),
        (post_request(b"{"), 409),
        (post_request(b"{}"), 409),
        (post_request(b"[" * 60_000), 400),
        (
            post_request(
                json.dumps({"wish": "assign", "account": "h", "plan": "nope", "author": "m"}).encode()
            ),
            409,
        ),
        (
            post_request(
                json.dumps({"wish": "assign", "account": "h", "plan": "p", "author": "m", "x": 1}).encode()
            ),
            409,
        ),
        (
            b"POST /v1/plans HTTP/1.1\r\nAuthorization: Bearer t0ken\r\nContent-Length: 786433\r\n\r\n",
            413,
        ),
        (
            b"POST /v1/plans HTTP/1.1\r\nAuthorization: Bearer t0ken\r\nTransfer-Encoding: chunked\r\n\r\n",
            400,
        ),
    ],
)
def test_what_is_no_call_is_told_and_changes_nothing(raw: bytes, status: int) -> None:
    async def scenario(publisher: Publisher, plan_writer: PlanWriter, address: tuple[str, int]) -> None:
        before = plan_writer.book
        found, body = await send_raw(address, raw)
        assert found == status and "error" in json.loads(body) and plan_writer.book is before

    with_writer(scenario)


def test_half_a_call_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(serve, "READ_TIMEOUT_SECONDS", 0.05)

    async def scenario(publisher: Publisher, plan_writer: PlanWriter, address: tuple[str, int]) -> None:
        assert (await send_raw(address, b"GET /v1/pl"))[0] == 400
        assert (await send_raw(address, post_request(b"{}" * 10)[:-3]))[0] == 400

    with_writer(scenario)


def test_followers_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(serve, "MAX_FOLLOWERS", 1)

    async def scenario(publisher: Publisher, plan_writer: PlanWriter, address: tuple[str, int]) -> None:
        one = Followed(address)
        await one.until(lambda: one.follower.state is FollowerState.CURRENT)
        head = f"GET /v1/plans HTTP/1.1\r\nAuthorization: Bearer {TOKEN}\r\n\r\n"
        assert (await send_raw(address, head.encode()))[0] == 503
        one.channel.close()

    with_writer(scenario)


def test_a_full_disk_is_a_503_and_no_follower_hears_of_the_change() -> None:
    disk = Disk()

    async def scenario(publisher: Publisher, plan_writer: PlanWriter, address: tuple[str, int]) -> None:
        disk.free_bytes = 3
        terms = {"rate": 1, "burst": 2}
        wish = {"wish": "change", "plan": "p", "terms": terms, "author": "m"}
        status, body = await send_raw(address, post_request(json.dumps(wish).encode()))
        assert status == 503 and b"no space" in body and not plan_writer.book.plans

    with_writer(scenario, disk)


@pytest.mark.parametrize(
    "lines",
    [
        b"no json\n", b"[]\n", b'{"kind":"beat"}\n', b'{"kind":"beat","epoch":1,"sent":1}\n',
        b'{"kind":"beat","epoch":1,"sent":1,"lease":1,"last":[1]}\n', b'{"kind":"what","epoch":1,"sent":1,"lease":1}\n',
        b'{"kind":"whole","epoch":1,"sent":1,"lease":1,"changes":-1}\n', b'{"kind":"change","epoch":1,"change":3}\n',
        b'{"kind":"whole","epoch":1,"sent":1,"lease":1,"changes":1,"installation":"vadodara"}\n{"kind":"version"}\n',
        b"x" * 100_000 + b"\n", b"[" * 50_000 + b"\n",
    ],
)  # fmt: skip
def test_a_rude_writer_ends_its_connection_and_nothing_else(lines: bytes) -> None:
    async def run() -> None:
        async def send_invalid_lines(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + lines)
            await reader.read()
            writer.close()

        server = await asyncio.start_server(send_invalid_lines, "127.0.0.1", 0)
        one = Followed(server.sockets[0].getsockname()[:2])
        await one.until(lambda: bool(one.channel.last_error))
        assert one.follower.state is FollowerState.EMPTY and one.follower.book.last_stamp.seq == 0
        one.channel.close()
        server.close()

    asyncio.run(run())


def test_a_head_is_read_whole_or_refused() -> None:
    call = parse_request_head(
        b"GET /v1/plans?epoch=3&since=7 HTTP/1.1\r\nauthorization:  Bearer t0ken ", TOKEN
    )
    assert (call.epoch, call.since, call.body) == (3, 7, None)
    with pytest.raises(RejectedCallError, match=r"HTTP/1\.1"):
        parse_request_head(b"GET /v1/plans SPDY/3", TOKEN)


def test_an_empty_token_is_refused() -> None:
    with pytest.raises(ValueError, match="token"):
        Publisher(PlanWriter(Store(Disk()), "vadodara"), "")
