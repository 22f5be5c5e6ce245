"""Streaming of large bodies in both directions: backpressure, memory limits and every framing of HTTP/1.1."""

from __future__ import annotations

import asyncio
import hashlib
import socket
from collections.abc import Awaitable, Callable
from dataclasses import replace
from random import Random

import pytest

from cypresspulley import interface as api
from cypresspulley.explore.examine import open_counts
from cypresspulley.net import frontend as net_frontend
from cypresspulley.net import relay as net_relay
from cypresspulley.net import upstream as net_upstream
from cypresspulley.net.relay import (
    HIGH_WATER_DIVISOR,
    MAX_BUFFERED_BYTES,
    MAX_HIGH_WATER_BYTES,
    MAX_REPLAYABLE_BYTES,
    MIN_HIGH_WATER_BYTES,
    SOCKET_BUFFER_BYTES,
    Download,
    Relay,
    Upload,
)
from cypresspulley.policy.gateway import Gateway
from tests import world as w
from tests.loopback import OK, SETTINGS, Limiter, Script, ask, forward, listening, read_message, run

POST = "/post?account=00000000b4d65521"
LARGE = Random(4).randbytes(3_000_000)
Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter
Talk = Callable[[Reader, Writer], Awaitable[None]]


class CollectingSink:
    """A sink that collects what it is given."""

    def __init__(self) -> None:
        self.data, self.ended = b"", False

    def put(self, data: bytes) -> None:
        self.data += data

    def put_end(self) -> None:
        self.ended = True


def make_upload(length: int | None = None) -> tuple[Upload, list[bool], list[tuple[bool, bool]]]:
    """Return an upload that may be read ahead by ``MAX_REPLAYABLE_BYTES``, its holds and its progress."""
    holds, told, relay = list[bool](), list[tuple[bool, bool]](), Relay()
    relay.limit_bytes = (1 + HIGH_WATER_DIVISOR) * MAX_REPLAYABLE_BYTES
    body = Upload(length, holds.append, relay)
    body.on_progress = lambda whole, kept: told.append((whole, kept))
    return body, holds, told


def test_an_upload_waits_for_its_sink_and_is_kept_up_to_a_bound() -> None:
    body, holds, told = make_upload(2 * MAX_REPLAYABLE_BYTES)
    body.feed(b"a" * MAX_REPLAYABLE_BYTES)
    assert holds == []
    body.feed(b"b")
    assert holds == [True], "no attempt takes it yet: the client is paused"
    sink = CollectingSink()
    assert body.attach(sink) and holds == [True, False] and told == [(False, False)]
    assert sink.data == b"a" * MAX_REPLAYABLE_BYTES + b"b" and not body.attach(CollectingSink()), (
        "it cannot be replayed"
    )
    body.feed(b"c" * (MAX_REPLAYABLE_BYTES - 1))
    body.finish()
    assert sink.ended and told[-1] == (True, False) and len(sink.data) == 2 * MAX_REPLAYABLE_BYTES


def test_a_short_upload_goes_to_a_second_attempt_from_its_first_byte() -> None:
    body, _, told = make_upload()
    first, second = CollectingSink(), CollectingSink()
    body.feed(b"hello ")
    assert body.attach(first)
    body.detach(first)
    body.feed(b"world")
    assert body.attach(second)
    body.finish()
    assert first.data == b"6\r\nhello \r\n" and second.data == b"b\r\nhello world\r\n0\r\n\r\n"
    assert told == [(True, True)] and not first.ended and second.ended


def test_however_many_transfers_fill_up_they_hold_no_more_than_the_bound() -> None:
    relay = Relay()
    for count in range(1, 3000):
        mark = relay.high_water()
        assert MIN_HIGH_WATER_BYTES <= mark <= MAX_HIGH_WATER_BYTES
        relay.buffered += mark
        assert relay.buffered <= MAX_BUFFERED_BYTES + count * MIN_HIGH_WATER_BYTES
    relay.buffered = 0
    assert relay.high_water() == MAX_HIGH_WATER_BYTES, "a single transfer gets the full buffer"


def test_a_download_waits_for_its_turn_and_holds_its_server() -> None:
    class Server:
        def __init__(self) -> None:
            self.held = list[bool]()

        def hold(self, held: bool) -> None:
            self.held.append(held)

        def drop(self) -> None: ...

    server, out = Server(), list[bytes]()
    stream = Download(None, b"", server)
    stream.put(b"abc")
    assert server.held == [True] and out == []
    stream.start(out.append, chunked=True)
    stream.put(b"d")
    assert server.held == [True, False] and out == [b"3\r\nabc\r\n", b"1\r\nd\r\n"]


async def read_request(reader: Reader) -> tuple[str, bytes]:
    """Read a request's head and body, delimited by length or in chunks."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    if "transfer-encoding: chunked" in head:
        body = b""
        while size := int(await reader.readline(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
        return head, body
    length = next((line for line in head.split("\r\n") if line.startswith("content-length")), "x: 0")
    return head, await reader.readexactly(int(length.split(":")[1]))


async def read_answer(reader: Reader) -> tuple[str, bytes]:
    """Read a response's head and body, delimited by length, in chunks or by the connection's end."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    if "transfer-encoding: chunked" in head:
        body = b""
        while size := int(await reader.readline(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
        return head, body
    length = next((line for line in head.split("\r\n") if line.startswith("content-length")), "")
    return head, await (reader.readexactly(int(length.split(":")[1])) if length else reader.read())


def chunked(body: bytes, size: int = 40_000, extension: bytes = b"") -> bytes:
    pieces = (body[at : at + size] for at in range(0, len(body), size))
    return b"".join(b"%x%b\r\n%b\r\n" % (len(p), extension, p) for p in pieces) + b"0\r\n\r\n"


def answer_requests(
    answer: bytes, seen: list[tuple[str, bytes]], close: bool = False
) -> Callable[[Reader, Writer], Awaitable[None]]:
    async def talk(reader: Reader, writer: Writer) -> None:
        while True:
            seen.append(await read_request(reader))
            writer.write(answer)
            if close:
                await writer.drain()
                writer.close()
                return await writer.wait_closed()

    return talk


LARGE_RESPONSES = {
    "length": (b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LARGE) + LARGE, False),
    "chunks": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(LARGE, extension=b";a=b"), False),
    "trailers": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n"
        + chunked(LARGE)[:-2] + b"X-Sum: 1\r\n\r\n", False,
    ),
    "end": (b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + LARGE, True),
    "1.0": (b"HTTP/1.0 200 OK\r\n\r\n" + LARGE, True),
    "interim": (
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LARGE) + LARGE, False,
    ),
}  # fmt: skip


@pytest.mark.parametrize("form", LARGE_RESPONSES)
@pytest.mark.parametrize("version", ["HTTP/1.1", "HTTP/1.0"])
def test_large_answers_of_every_form_come_whole(form: str, version: str) -> None:
    async def main() -> None:
        answer, close = LARGE_RESPONSES[form]
        script = Script(forward)
        async with (
            listening(answer_requests(answer, [], close)) as dial,
            Limiter(script, {"s1": dial}) as limiter,
        ):
            reader, writer = await limiter.connect()
            for _ in range(2 if version == "HTTP/1.1" else 1):  # the connection serves a second request
                writer.write(ask().replace(b"HTTP/1.1", version.encode()))
                head, body = await read_answer(reader)
                assert " 200 " in head and hashlib.sha256(body).digest() == hashlib.sha256(LARGE).digest()
                assert ("chunked" in head) is (form not in ("length", "interim") and version == "HTTP/1.1")
            writer.close()
            outcomes = await script.until(api.Outcome)
            assert {o.status for o in outcomes} == {api.Status.OK} and all(o.finished for o in outcomes)
            assert limiter.upstream.relay.active == 0 and not limiter.frontend.open_ids

    run(main())


@pytest.mark.parametrize(
    ("answer", "close"),
    [
        (b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhi", True),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=y\r\nh\r\n1\r\ni\r\n0\r\nX-Sum: 1\r\n\r\n",
            False,
        ),
        (b"HTTP/1.1 200 OK \r\nContent-Length: 2 \r\n\r\nhi", False),
    ],
)
def test_small_answers_of_every_form_are_handed_over_whole(answer: bytes, close: bool) -> None:
    async def main() -> None:
        talk = answer_requests(answer, [], close)
        async with listening(talk) as dial, Limiter(Script(forward), {"s1": dial}) as limiter:
            status, headers, body = await limiter.fetch(ask())
            assert " 200 " in status and body == b"hi" and headers["content-length"] == "2"

    run(main())


@pytest.mark.parametrize("status", [204, 304])
def test_answers_without_a_body_are_read_as_such_and_fail(status: int) -> None:
    async def main() -> None:
        seen = list[tuple[str, bytes]]()
        async with listening(
            answer_requests(b"HTTP/1.1 %d X\r\nContent-Length: 7\r\n\r\n" % status, seen)
        ) as dial:
            script = Script(forward)
            async with Limiter(script, {"s1": dial}) as limiter:
                for _ in range(2):
                    assert " 429 " in (await limiter.fetch(ask()))[0]
                assert {o.status for o in await script.until(api.Outcome, 2)} == {api.Status.ERROR}

    run(main())


@pytest.mark.long
@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_large_uploads_come_whole_and_their_connection_serves_on(framing: str) -> None:
    async def main() -> None:
        seen, script = list[tuple[str, bytes]](), Script(forward)
        async with listening(answer_requests(OK, seen)) as dial, Limiter(script, {"s1": dial}) as limiter:
            reader, writer = await limiter.connect()
            for _ in range(2):
                request = ask(POST, LARGE)
                if framing == "chunks":
                    head = request[: -len(LARGE)].replace(
                        b"Content-Length: 3000000", b"Transfer-Encoding: chunked"
                    )
                    request = head + chunked(LARGE, 7000, b";q=1")[:-2] + b"X-Trailer: x\r\n\r\n"
                rng, at = Random(8), 0
                while at < len(request):  # in pieces cut at random positions
                    size = rng.choice((1, 900, 40_000, 300_000))
                    writer.write(request[at : at + size])
                    await writer.drain()
                    at += size
                status, _, body = await read_message(reader)
                assert " 200 " in status and body == b"hi"
            writer.close()
            assert [hashlib.sha256(body).digest() for _, body in seen] == [hashlib.sha256(LARGE).digest()] * 2
            assert all("x-trailer" not in head for head, _ in seen)
            requests = await script.until(api.Request)
            assert all(r.body_pending for r in requests) and limiter.upstream.relay.active == 0
            (first, *_) = await script.until(api.BodyProgress)
            assert first == api.BodyProgress(requests[0].id, complete=False, replayable=False)

    run(main())


@pytest.mark.parametrize(
    ("head", "first", "rest", "got"),
    [
        (b"Content-Length: 100000\r\n\r\n", b"first", b"x" * 99_995, b"x" * 99_995),
        (
            b"Transfer-Encoding: chunked\r\n\r\n5\r\n",
            b"first",
            b"\r\n1\r\nx\r\n0\r\n\r\n",
            b"\r\n1\r\nx\r\n0\r\n\r\n",
        ),
    ],
    ids=["length", "chunks"],
)
def test_first_bytes_are_passed_on_at_once_and_no_total_time_is_on_the_rest(
    head: bytes, first: bytes, rest: bytes, got: bytes
) -> None:
    async def main() -> None:
        more = asyncio.Event()

        async def talk(reader: Reader, writer: Writer) -> None:
            await read_request(reader)
            writer.write(b"HTTP/1.1 200 OK\r\n" + head + first)
            await more.wait()
            writer.write(rest)

        async with listening(talk) as dial, Limiter(Script(forward), {"s1": dial}) as limiter:
            reader, writer = await limiter.connect()
            writer.write(ask(ttl=150))
            await reader.readuntil(first)
            await asyncio.sleep(0.3)  # past the client's deadline, which the start of the response has met
            more.set()
            assert await reader.readexactly(len(got)) == got
            writer.close()

    run(main())


@pytest.mark.parametrize(
    ("version", "expected"),
    [
        ("HTTP/1.1", (asyncio.IncompleteReadError, ConnectionResetError, ValueError)),
        (
            "HTTP/1.0",
            ConnectionResetError,
        ),  # the end of the connection ends the body, so it must be a reset
    ],
)
def test_a_server_that_breaks_mid_answer_ends_the_clients_connection_and_no_other_is_asked(
    version: str, expected: type[Exception] | tuple[type[Exception], ...]
) -> None:
    async def main() -> None:
        seen, may_continue = list[bytes](), asyncio.Event()

        async def talk(reader: Reader, writer: Writer) -> None:
            seen.append((await read_request(reader))[1])
            writer.write(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n" + b"x" * 0x20000 + b"\r\n"
            )
            await may_continue.wait()
            writer.transport.abort()

        script = Script(forward)
        async with listening(talk) as dial, Limiter(script, {"s1": dial}) as limiter:
            reader, writer = await limiter.connect()
            writer.write(ask().replace(b"HTTP/1.1", version.encode()))
            await reader.readuntil(b"\r\n\r\n")
            may_continue.set()
            with pytest.raises(expected):
                while True:
                    size = int(await reader.readline(), 16) if version == "HTTP/1.1" else 1
                    assert await reader.read(size + 2) or version == "HTTP/1.1", (
                        "orderly end of a truncated body"
                    )
            (outcome,) = await script.until(api.Outcome)
            assert outcome.finished and outcome.status is api.Status.BROKEN and len(seen) == 1
            assert limiter.node.open_requests == 0 and limiter.upstream.relay.active == 0

    run(main())


def test_a_server_that_stalls_mid_answer_is_left(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(net_upstream, "SERVER_STALL_SECONDS", 0.05)
    monkeypatch.setattr(net_upstream, "SWEEP_INTERVAL_SECONDS", 0.02)

    async def main() -> None:
        async def talk(reader: Reader, writer: Writer) -> None:
            await read_request(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nfirst")
            await reader.read()

        async with listening(talk) as dial, Limiter(Script(forward), {"s1": dial}) as limiter:
            reader, writer = await limiter.connect()
            writer.write(ask())
            with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError)):
                await read_answer(reader)

    run(main())


def test_an_upload_cut_by_its_client_ends_its_attempt_and_is_not_repeated() -> None:
    async def main() -> None:
        ended = asyncio.Event()

        async def talk(reader: Reader, writer: Writer) -> None:
            try:
                await read_request(reader)
            except (asyncio.IncompleteReadError, ConnectionResetError):
                ended.set()

        gateway = Gateway(SETTINGS, 1, 0.0)
        script = Script(lambda _event: [])
        script.handle = lambda now, event: script.events.append(event) or gateway.handle(now, event)  # type: ignore
        async with listening(talk) as dial, Limiter(script, {"s1": dial, "s2": dial}) as limiter:
            _, writer = await limiter.connect()
            writer.write(ask(POST, LARGE)[:1_000_000])
            while not limiter.upstream.relay.active:
                await asyncio.sleep(0.001)
            level = next(iter(gateway.quotas.accounts.values())).level
            writer.transport.abort()
            await ended.wait()
            while limiter.node.open_requests:
                await asyncio.sleep(0.001)
            assert not any(open_counts(gateway).values())
            assert next(iter(gateway.quotas.accounts.values())).level <= level + 1.0, "its units stay charged"
            assert sum(isinstance(e, api.Request) for e in script.events) == 1

    run(main())


def test_a_refusal_before_the_uploads_end_comes_at_once() -> None:
    async def main() -> None:
        def refuse(event: api.Event) -> list[api.Action]:
            return [api.Refuse(event.id, 0.25)] if isinstance(event, api.Request) else []

        async with Limiter(Script(refuse), {}) as limiter:
            reader, writer = await limiter.connect()
            writer.write(ask(POST, LARGE)[:70_000])
            status, headers, _ = await read_message(reader)
            assert (
                " 429 " in status and headers["connection"] == "close" and headers["retry-after"] == "0.250"
            )
            writer.close()

    run(main())


def test_a_server_that_turns_an_upload_away_early_is_one_attempt_that_never_ran() -> None:
    async def main() -> None:
        async def talk(reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
            await reader.read()

        script = Script(forward)
        async with listening(talk) as dial, Limiter(script, {"s1": dial}) as limiter:
            reader, writer = await limiter.connect()
            writer.write(
                ask(POST, LARGE)[:30_000].replace(b"Content-Length: 3000000", b"Content-Length: 90000")
            )
            status, _, _ = await read_message(reader)
            (outcome,) = await script.until(api.Outcome)
            assert " 429 " in status and outcome.status is api.Status.FULL
            writer.close()

    run(main())


def test_the_time_of_a_request_counts_from_its_uploads_last_byte() -> None:
    async def main() -> None:
        async def talk(reader: Reader, writer: Writer) -> None:
            await read_request(reader)
            await reader.read()

        script = Script(forward)
        async with listening(talk) as dial, Limiter(script, {"s1": dial}) as limiter:
            reader, writer = await limiter.connect()
            request = ask(POST, LARGE[:100_000], ttl=200)
            writer.write(request[:-10])
            await asyncio.sleep(0.35)
            assert not [e for e in script.events if isinstance(e, api.Outcome)], (
                "the deadline runs from the last byte of the upload"
            )
            started = asyncio.get_running_loop().time()
            writer.write(request[-10:])
            status, _, _ = await read_message(reader)
            assert " 429 " in status or " 504 " in status
            assert 0.1 < asyncio.get_running_loop().time() - started < 1.0
            (outcome,) = await script.until(api.Outcome)
            assert outcome.status is api.Status.TIMEOUT
            writer.close()

    run(main())


@pytest.mark.parametrize("size", [2, 100_000])
def test_who_waits_to_be_told_to_send_is_told(size: int) -> None:
    async def main() -> None:
        seen = list[tuple[str, bytes]]()
        async with (
            listening(answer_requests(OK, seen)) as dial,
            Limiter(Script(forward), {"s1": dial}) as limiter,
        ):
            reader, writer = await limiter.connect()
            request = ask(POST, LARGE[:size], Expect="100-continue")
            writer.write(request[:-size])
            assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
            writer.write(request[-size:])
            assert " 200 " in (await read_message(reader))[0]
            assert seen[0][1] == LARGE[:size] and "expect" not in seen[0][0]
            writer.close()

    run(main())


def test_who_waits_behind_another_request_is_told_when_that_is_answered() -> None:
    async def main() -> None:
        release = asyncio.Event()

        async def talk(reader: Reader, writer: Writer) -> None:
            while True:
                await read_request(reader)
                await release.wait()
                writer.write(OK)

        async with listening(talk) as dial, Limiter(Script(forward), {"s1": dial}) as limiter:
            reader, writer = await limiter.connect()
            request = ask(POST, b"hi", Expect="100-continue")
            writer.write(ask() + request[:-2])
            await asyncio.sleep(0.02)
            release.set()
            assert " 200 " in (await read_message(reader))[0]
            assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
            writer.write(b"hi")
            assert " 200 " in (await read_message(reader))[0]
            writer.close()

    run(main())


def test_a_server_that_takes_nothing_of_an_upload_is_left_and_never_ran_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(net_upstream, "SERVER_STALL_SECONDS", 0.05)
    monkeypatch.setattr(net_upstream, "SWEEP_INTERVAL_SECONDS", 0.02)

    async def main() -> None:
        async def talk(reader: Reader, writer: Writer) -> None:
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            await asyncio.Event().wait()

        script = Script(forward)
        async with listening(talk) as dial, Limiter(script, {"s1": dial}) as limiter:
            reader, writer = await limiter.connect()
            writer.write(ask(POST, LARGE * 5))
            status, headers, _ = await read_message(reader)
            assert " 429 " in status and headers["connection"] == "close"
            (outcome,) = await script.until(api.Outcome)
            assert outcome.status is api.Status.DROPPED and limiter.upstream.relay.active == 0
            writer.transport.abort()

    run(main())


def test_an_upload_of_a_client_that_does_not_read_its_last_answer_is_not_taken_for_stalled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for name, value in (("UPLOAD_RATE_WINDOW_SECONDS", 0.05), ("SWEEP_INTERVAL", 0.01)):
        monkeypatch.setattr(net_frontend, name, value)

    async def main() -> None:
        answers = [LARGE_RESPONSES["length"][0], OK]

        async def talk(reader: Reader, writer: Writer) -> None:
            await read_request(reader)
            writer.write(answers.pop(0))
            await reader.read()

        async with listening(talk) as dial, Limiter(Script(forward), {"s1": dial}) as limiter:
            reader, writer = await limiter.connect()
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            upload = ask(POST, LARGE[:200_000])
            writer.write(ask() + upload[:-100_000])
            await asyncio.sleep(0.3)
            writer.transport.resume_reading()  # type: ignore[attr-defined]
            assert hashlib.sha256((await read_answer(reader))[1]).digest() == hashlib.sha256(LARGE).digest()
            writer.write(upload[-100_000:])
            assert " 200 " in (await read_message(reader))[0]
            writer.close()

    run(main())


def test_a_small_answer_behind_a_large_one_keeps_its_place() -> None:
    async def main() -> None:
        answers = [LARGE_RESPONSES["length"][0], OK, OK]

        async def talk(reader: Reader, writer: Writer) -> None:
            while True:
                await read_request(reader)
                writer.write(answers.pop(0))

        async with listening(talk) as dial, Limiter(Script(forward), {"s1": dial}) as limiter:
            reader, writer = await limiter.connect()
            writer.write(ask())
            await reader.readuntil(b"\r\n\r\n")
            writer.write(ask() + ask())  # while the large response is streamed
            assert (
                hashlib.sha256(await reader.readexactly(len(LARGE))).digest()
                == hashlib.sha256(LARGE).digest()
            )
            for _ in range(2):
                assert (await read_message(reader))[2] == b"hi"
            writer.close()

    run(main())


def test_a_stalled_client_holds_its_server_and_no_more_than_the_bound(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(net_relay, "MAX_BUFFERED_BYTES", 1024 * 1024)

    async def main() -> None:
        sent = 0

        async def talk(reader: Reader, writer: Writer) -> None:
            nonlocal sent
            await read_request(reader)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65_536)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n")
            for _ in range(300):
                writer.write(b"x" * 100_000)
                await writer.drain()
                sent += 100_000

        async with listening(talk) as dial, Limiter(Script(forward), {"s1": dial}) as limiter:
            sockets = []
            for _ in range(30):
                sock = socket.create_connection(limiter._address)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                sock.setblocking(False)
                sock.send(ask())
                sockets.append(sock)
            settled = -1
            while settled != sent or sent == 0:  # until no more data is transferred
                settled = sent
                await asyncio.sleep(0.2)
            clients = list(limiter.frontend._clients)
            held = [c._transport.get_write_buffer_size() for c in clients if c._transport is not None]
            assert len(held) == 30 and all(held)
            # The limit for all transfers, and what one read of each may add.
            assert sum(held) <= net_relay.MAX_BUFFERED_BYTES + 30 * (
                MIN_HIGH_WATER_BYTES + 4 * SOCKET_BUFFER_BYTES
            )
            assert limiter.upstream.relay.buffered == 0 and limiter.frontend.relay.buffered > 0
            assert sent < 30 * 1_000_000, "the servers are paused too"
            for sock in sockets:
                sock.close()
            while limiter.frontend._clients:
                await asyncio.sleep(0.01)
            assert limiter.frontend.relay.buffered == 0, "closed connections are no longer counted"

    run(main())


def test_a_client_that_reads_slowly_gets_all_of_it() -> None:
    async def main() -> None:
        talk = answer_requests(LARGE_RESPONSES["chunks"][0], [])
        async with listening(talk) as dial, Limiter(Script(forward), {"s1": dial}) as limiter:
            loop = asyncio.get_running_loop()
            sock = socket.create_connection(limiter._address)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
            sock.setblocking(False)
            await loop.sock_sendall(sock, ask())
            got = b""
            while not got.endswith(b"\r\n0\r\n\r\n"):
                got += await loop.sock_recv(sock, 30_000)
                if len(got) < 200_000:
                    await asyncio.sleep(0.002)
            assert len(got) > len(LARGE)
            sock.close()

    run(main())


def test_a_body_on_its_way_is_no_work_of_its_server_and_no_silence() -> None:
    world = w.World(w.settings(plans=(api.Plan("free"),), has_counter=False))
    world.feed(w.servers("s0"))
    world.feed(replace(w.request(1, "post"), body_pending=True))
    server = world.gateway.load_balancer.servers["s0"]
    assert world.open_attempts and server.outstanding_work == 0.0 and server.silent_since is None
    assert world.gateway._requests[1].account.open_attempts == 0, (
        "an attempt counts as open from its last byte on"
    )
    world.gateway.handle(world.now + 60.0, api.BodyProgress(1, complete=True, replayable=False))
    assert server.outstanding_work > 0.0 and server.silent_since == world.now + 60.0
    request = world.gateway._requests[1]
    assert request.deadline == world.now + 63.0, "the deadline counts from the last byte"
    world.gateway.handle(world.now + 60.2, api.ResponseStarted(1, 0, "s0", 0.2, {}))
    assert (
        server.outstanding_work == 0.0 and server.silent_since is None and request.account.open_attempts == 1
    )
    world.gateway.handle(world.now + 99.0, api.Outcome(1, 0, "s0", api.Status.OK, 0.2, True, {}))
    assert request.account.open_attempts == 0 and open_counts(world.gateway)["work"] == 0


def test_a_body_that_is_spent_is_not_tried_again() -> None:
    for kept, attempts in ((True, 2), (False, 1)):
        world = w.World(w.settings(plans=(api.Plan("free"),), has_counter=False))
        world.feed(w.servers("s0", "s1"))
        world.feed(replace(w.request(1, "post"), body_pending=True))
        world.gateway.handle(world.now, api.BodyProgress(1, complete=False, replayable=kept))
        (key,) = world.open_attempts
        world.feed(w.outcome(*key, world.open_attempts[key][0], api.Status.UNREACHABLE))
        assert len(world.attempts[1]) == attempts
