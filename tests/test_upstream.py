"""Tests of the connections to servers over loopback sockets: exchange statuses, pooling, drains and limits."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from collections.abc import Callable

import pytest

from cypresspulley.interface import Status
from cypresspulley.net import upstream
from cypresspulley.net.node import UnixClock
from cypresspulley.net.upstream import MAX_CONNECTIONS_PER_SERVER, Exchange, Upstream, parse_load_report
from tests.loopback import OK, Origin, listening, read_message, run

HEAD = b"GET /lookup HTTP/1.1\r\nHost: x\r\n"


class Pool:
    """An ``Upstream`` with one server, ``s1``, and exchanges that can be awaited."""

    def __init__(
        self, dial: str, conn_idle: float = 30.0, max_connections: int = 200, dial_timeout: float = 5.0
    ) -> None:
        self.clock: Callable[[], float] = UnixClock()
        self.upstream = Upstream(self.clock, dial_timeout, conn_idle, max_connections)
        self.upstream.update_server("s1", dial, True)

    def start(
        self, timeout: float = 10.0, server: str = "s1", body: bytes = b""
    ) -> tuple[Exchange, asyncio.Future[Exchange]]:
        future = asyncio.get_running_loop().create_future()
        head = HEAD if not body else HEAD + b"Content-Length: %d\r\n" % len(body)
        exchange = Exchange(server, head, body, self.clock() + timeout, future.set_result)
        self.upstream.start(exchange)
        return exchange, future

    async def fetch(self, timeout: float = 10.0, server: str = "s1") -> Exchange:
        return await self.start(timeout, server)[1]


def reply(status: str, extra: str = "") -> bytes:
    return f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n{extra}\r\n".encode()


@pytest.mark.parametrize(
    ("answer", "status"),
    [
        (OK, Status.OK),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + OK, Status.OK),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", Status.OK),
        (reply("500 Error"), Status.ERROR),
        (reply("404 Not Found"), Status.REJECTED),
        (reply("400 Bad Request"), Status.REJECTED),
        (reply("503 Full", "X-Not-Processed: 1\r\n"), Status.FULL),
        (reply("504 Full", "X-Not-Processed: 1\r\n"), Status.FULL),
        (reply("503 Full"), Status.ERROR),
        (reply("503 Full", "X-Not-Processed: 0\r\n"), Status.ERROR),
        (b"", Status.BROKEN),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nhi", Status.TIMEOUT),
        # Malformed: the request may have run, and the server is alive. Each is detected before the response ends.
        (b"what is this\r\n\r\n", Status.ERROR),
        (b"\x00\xff\x13\x37", Status.ERROR),
        (b"HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nhi", Status.ERROR),
        (reply("200 OK", "X: y\r\n" * 20_000), Status.ERROR),
        (b"HTTP/1.1 200 OK\r\nX: " + b"y" * 300_000, Status.ERROR),
        (b"HTTP/1.1 100 Continue\r\n\r\n" * 20_000, Status.ERROR),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", Status.ERROR),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n", Status.ERROR),
        (b"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nhi", Status.ERROR),
        (b"HTTP/1.1 200 OK\r\nContent-Length: two\r\n\r\nhi", Status.ERROR),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nhi", Status.ERROR),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi", Status.ERROR),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nhi", Status.ERROR),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\nhi", Status.ERROR),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nhi", Status.ERROR),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", Status.ERROR),
        (b"HTTP/1.1 200 OK\r\n\r\nhi", Status.ERROR),
    ],
    ids=lambda value: value.name if isinstance(value, Status) else repr(value[:60]),
)
def test_each_ending_has_its_outcome(answer: bytes, status: Status) -> None:
    async def main() -> None:
        async with listening(Origin(lambda _n: answer).talk) as dial:
            pool = Pool(dial)
            done = await pool.fetch(0.3 if status is Status.TIMEOUT else 10.0)
            assert done.status is status
            assert done.response_body == (b"hi" if status is Status.OK else b"")
            pool.upstream.close()

    run(main())


def test_a_refused_connection_never_ran() -> None:
    async def main() -> None:
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))  # bound but not listening: connections are refused
            pool = Pool(f"127.0.0.1:{taken.getsockname()[1]}")
            assert (await pool.fetch()).status is Status.UNREACHABLE
            pool.upstream.close()

    run(main())


ENDINGS = (
    errno.ECONNRESET, errno.EPIPE, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ENETDOWN,
    errno.ENOBUFS, errno.ENOMEM, errno.EIO, errno.ECONNABORTED,
)  # fmt: skip


@pytest.mark.parametrize("number", ENDINGS, ids=lambda number: errno.errorcode[number])
@pytest.mark.parametrize("whole", [True, False], ids=["written", "in part"])
def test_whatever_error_ends_a_connection_what_was_written_tells_whether_it_ran(
    whole: bool, number: int
) -> None:
    """These are the read and write errors that Linux documents for an open connection. Before the last byte of the
    request has been sent, each proves that it did not run; afterwards none does."""

    async def main() -> None:
        asked = asyncio.Event()

        async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            asked.set()
            await asyncio.sleep(10)

        async with listening(silent) as dial:
            pool = Pool(dial)
            exchange, ended = pool.start(body=b"" if whole else b"x" * 50_000_000)
            await asyncio.wait_for(asked.wait(), 5)
            assert exchange.written is whole
            connection = exchange.connection
            assert connection is not None
            transport = connection.transport
            connection.connection_lost(OSError(number, os.strerror(number)))
            assert (await ended).status is (Status.BROKEN if whole else Status.DROPPED)
            assert transport is not None
            transport.abort()
            pool.upstream.close()

    run(main())


@pytest.mark.parametrize("size", [1, 2, 7])
@pytest.mark.parametrize(
    "answer", [OK, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"]
)
def test_an_answer_is_read_whatever_each_read_brings(answer: bytes, size: int) -> None:
    async def main() -> None:
        async def in_pieces(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await read_message(reader):
                for at in range(0, len(answer), size):
                    writer.write(answer[at : at + size])
                    await writer.drain()
                    await asyncio.sleep(0.001)

        async with listening(in_pieces) as dial:
            pool = Pool(dial)
            for _ in range(2):
                done = await pool.fetch()
                assert (done.status, done.response_body) == (Status.OK, b"hi")
            pool.upstream.close()

    run(main())


def full_backlog() -> tuple[socket.socket, list[socket.socket]]:
    """A listener whose backlog is full: a dial to it never completes."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    held = list[socket.socket]()
    for _ in range(8):
        client = socket.socket()
        client.setblocking(False)
        client.connect_ex(listener.getsockname())
        held.append(client)
    return listener, held


@pytest.mark.parametrize(
    ("dial_timeout", "timeout", "status"),
    [(0.1, 10.0, Status.UNREACHABLE), (10.0, 0.1, Status.NOT_SENT)],
)
def test_a_dial_that_never_comes_up_never_ran(dial_timeout: float, timeout: float, status: Status) -> None:
    async def main() -> None:
        listener, held = full_backlog()
        host, port = listener.getsockname()
        pool = Pool(f"{host}:{port}", dial_timeout=dial_timeout)
        assert (await pool.fetch(timeout)).status is status
        pool.upstream.close()
        for each in (listener, *held):
            each.close()

    run(main())


def test_bytes_still_in_the_buffer_are_not_written() -> None:
    """A connection that breaks before the last byte has been sent proves that the request never ran; afterwards it
    proves nothing."""

    async def main() -> None:
        accepted, drop = asyncio.Event(), asyncio.Event()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            reader._transport.pause_reading()  # type: ignore[attr-defined]
            accepted.set()
            await drop.wait()

        async with listening(talk) as dial:
            pool = Pool(dial)
            huge, ended = pool.start(body=b"x" * 32_000_000)  # more than the socket buffers hold
            await accepted.wait()
            assert not huge.written
            drop.set()
            assert (await ended).status is Status.DROPPED
            pool.upstream.close()

    run(main())


def test_a_time_out_closes_the_connection_and_no_late_answer_meets_the_next_request() -> None:
    async def main() -> None:
        origin = Origin(lambda n: None if n == 1 else OK)
        async with listening(origin.talk) as dial:
            pool = Pool(dial)
            assert (await pool.fetch(0.1)).status is Status.TIMEOUT
            await origin.left.wait()
            assert (await pool.fetch()).status is Status.OK
            assert origin.connections == 2
            pool.upstream.close()

    run(main())


def test_bytes_behind_an_answer_do_not_meet_the_next_request() -> None:
    async def main() -> None:
        late = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
        origin = Origin(lambda n: OK + late if n == 1 else OK)
        async with listening(origin.talk) as dial:
            pool = Pool(dial)
            answers, finished = list[bytes](), asyncio.Event()

            def again(done: Exchange) -> None:
                answers.append(done.response_body)
                if len(answers) == 2:
                    finished.set()
                else:  # within the callback of the first response
                    pool.upstream.start(Exchange("s1", HEAD, b"", pool.clock() + 10, again))

            pool.upstream.start(Exchange("s1", HEAD, b"", pool.clock() + 10, again))
            await finished.wait()
            assert answers == [b"hi", b"hi"] and origin.connections == 2
            pool.upstream.close()

    run(main())


@pytest.mark.parametrize(
    "partial_response",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi",
        b"HTTP/1.1 200 OK\r\nX:",
        b"HTTP/1.1 100 Go on\r\n\r\nHTT",
    ],
)
def test_an_answer_that_begins_and_does_not_end_is_spoilt_and_no_silence(
    partial_response: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(upstream, "RESPONSE_PROGRESS_TIMEOUT_SECONDS", 0.05)

    async def main() -> None:
        async with listening(Origin(lambda _n: partial_response).talk) as dial:
            pool = Pool(dial)
            assert (await pool.fetch()).status is Status.ERROR
            pool.upstream.close()

    run(main())


def test_an_interim_answer_is_no_beginning(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(upstream, "RESPONSE_PROGRESS_TIMEOUT_SECONDS", 0.02)

    async def main() -> None:
        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            writer.write(b"HTTP/1.1 103 Early Hints\r\n\r\n")
            await asyncio.sleep(0.1)
            writer.write(OK)
            await reader.read()

        async with listening(talk) as dial:
            pool = Pool(dial)
            assert (await pool.fetch()).status is Status.OK
            pool.upstream.close()

    run(main())


def test_a_copy_that_comes_later_does_not_answer_the_next_request() -> None:
    async def main() -> None:
        release = asyncio.Event()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            writer.write(OK)
            await release.wait()
            writer.write(OK.replace(b"hi", b"no"))
            await reader.read()

        async with listening(talk) as dial:
            pool = Pool(dial)
            assert (await pool.fetch()).response_body == b"hi"
            _, second = pool.start()  # at once, before the copy has been sent
            release.set()
            assert (await second).response_body == b"hi"
            pool.upstream.close()

    run(main())


def test_nor_one_that_this_process_was_too_slow_to_read(monkeypatch: pytest.MonkeyPatch) -> None:
    # As after a stall of the process: the reuse delay is over, but nothing has been read.
    monkeypatch.setattr(upstream, "REUSE_DELAY_SECONDS", 0.0)

    async def main() -> None:
        loop, listener = asyncio.get_running_loop(), socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        pool = Pool(f"127.0.0.1:{listener.getsockname()[1]}")
        for _ in range(2):
            _, answered = pool.start()
            server, _ = await loop.sock_accept(listener)
            await loop.sock_recv(server, 4096)
            await loop.sock_sendall(server, OK)
            assert (await answered).response_body == b"hi"
            server.send(OK.replace(b"hi", b"no"))  # the event loop does not run before the next request
        pool.upstream.close()
        listener.close()

    run(main())


def test_an_answer_before_the_request_is_whole_is_none() -> None:
    async def main() -> None:
        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            reader._transport.pause_reading()  # type: ignore[attr-defined]
            writer.write(OK)
            await asyncio.Event().wait()

        async with listening(talk) as dial:
            pool = Pool(dial)
            _, ended = pool.start(body=b"x" * 32_000_000)
            assert (await ended).status is Status.DROPPED
            pool.upstream.close()

    run(main())


def test_connections_are_used_again_the_freshest_first_until_they_age(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(upstream, "REUSE_DELAY_SECONDS", 0.0)

    async def main() -> None:
        origin = Origin()
        async with listening(origin.talk) as dial:
            pool = Pool(dial, conn_idle=30.0)
            await asyncio.gather(pool.fetch(), pool.fetch())
            await pool.fetch()
            assert origin.connections == 2
            pool.clock = pool.upstream._clock = lambda: 2e9 + 16.0
            for server in pool.upstream._servers.values():
                for at, connection in enumerate(server.idle):
                    connection.idle_since = 2e9 + at * 1e-6  # 16 s idle, more than half of conn_idle
            await pool.fetch()
            assert origin.connections == 3
            pool.upstream.close()

    run(main())


def test_a_connection_that_the_server_has_closed_is_dropped() -> None:
    async def main() -> None:
        closing = OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
        origin = Origin(lambda n: closing)
        async with listening(origin.talk) as dial:
            pool = Pool(dial)
            assert [(await pool.fetch()).status for _ in range(2)] == [Status.OK, Status.OK]
            assert origin.connections == 2
            pool.upstream.close()

    run(main())


@pytest.mark.parametrize(
    "tell",
    [
        lambda u: u.update_server("s1", "127.0.0.1:1", False),
        lambda u: u.update_server("s1", "", False),
        lambda u: u.retain_servers({"s2"}),
    ],
)
def test_a_drain_closes_idle_connections_and_stops_sends_at_once(tell: Callable[[Upstream], None]) -> None:
    async def main() -> None:
        origin = Origin()
        async with listening(origin.talk) as dial:
            pool = Pool(dial)
            await pool.fetch()
            tell(pool.upstream)
            await origin.left.wait()
            assert (await pool.fetch()).status is Status.NOT_SENT
            assert len(origin.seen) == 1
            pool.upstream.close()

    run(main())


def test_a_server_that_drains_during_a_dial_gets_nothing() -> None:
    async def main() -> None:
        origin = Origin()
        async with listening(origin.talk) as dial:
            pool = Pool(dial)
            _, ended = pool.start()
            pool.upstream.update_server("s1", dial, False)
            assert (await ended).status is Status.NOT_SENT
            assert not origin.seen
            pool.upstream.close()

    run(main())


def test_a_new_address_takes_the_next_request() -> None:
    async def main() -> None:
        old, new = Origin(), Origin()
        async with listening(old.talk) as first, listening(new.talk) as second:
            pool = Pool(first)
            await pool.fetch()
            pool.upstream.update_server("s1", second, True)
            await pool.fetch()
            assert (len(old.seen), len(new.seen)) == (1, 1)
            pool.upstream.close()

    run(main())


def test_connections_are_bounded_for_each_server_and_in_all() -> None:
    async def main() -> None:
        silent = Origin(lambda _n: None)
        async with listening(silent.talk) as dial:
            pool = Pool(dial, max_connections=MAX_CONNECTIONS_PER_SERVER + 1)
            out = [pool.start()[0] for _ in range(MAX_CONNECTIONS_PER_SERVER)]
            assert (await pool.fetch()).status is Status.FULL
            pool.upstream.update_server("s2", dial, True)
            out.append(pool.start(server="s2")[0])
            assert (await pool.fetch(server="s2")).status is Status.FULL
            for exchange in out:
                pool.upstream.cancel(exchange)
            assert all(exchange.status is Status.CANCELLED for exchange in out)
            pool.upstream.close()

    run(main())


def test_at_the_limit_an_idle_connection_makes_room() -> None:
    async def main() -> None:
        origin = Origin()
        async with listening(origin.talk) as dial:
            pool = Pool(dial, max_connections=1)
            pool.upstream.update_server("s2", dial, True)
            assert (await pool.fetch()).status is Status.OK
            assert (await pool.fetch(server="s2")).status is Status.OK
            pool.upstream.close()

    run(main())


def test_load_reports_are_read_and_odd_ones_dropped() -> None:
    assert parse_load_report("inflight=7,queue=2,util=0.61") == {"inflight": 7.0, "queue": 2.0, "util": 0.61}
    for odd in ("", "queue", "queue=nan", "=3", "queue=2,,"):
        assert parse_load_report(odd) == {}

    async def main() -> None:
        origin = Origin(lambda _n: reply("200 OK", "X-Server-Load: queue=2\r\n"))
        async with listening(origin.talk) as dial:
            pool = Pool(dial)
            assert (await pool.fetch()).report == {"queue": 2.0}
            pool.upstream.close()

    run(main())


def test_a_server_that_is_gone_is_forgotten_once_its_last_connection_is() -> None:
    async def main() -> None:
        release = asyncio.Event()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            await release.wait()
            writer.write(OK)
            await reader.read()

        async with listening(talk) as dial:
            pool = Pool(dial)
            busy, answered = pool.start()
            while not busy.written:
                await asyncio.sleep(0.001)
            for at in range(100):
                pool.upstream.update_server(f"t{at}", dial, True)
                pool.upstream.retain_servers({f"t{at}"})
            assert set(pool.upstream._servers) == {"s1", "t99"}
            release.set()
            assert (await answered).status is Status.OK  # a request in progress may complete
            while "s1" in pool.upstream._servers:
                await asyncio.sleep(0.001)
            assert (await pool.fetch()).status is Status.NOT_SENT
            # It is listed again at an old address and starts without connections.
            pool.upstream.update_server("s1", dial, True)
            assert pool.upstream._servers["s1"].open_connections == 0
            assert (await pool.fetch()).status is Status.OK
            pool.upstream.close()

    run(main())


def test_where_kept_connections_break_at_the_next_request_none_is_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(upstream, "REUSE_DELAY_SECONDS", 0.0)

    async def main() -> None:
        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            writer.write(OK)
            await read_message(reader)  # returns, which closes the connection at the second request

        async with listening(talk) as dial:
            pool = Pool(dial)
            results = list[Status]()
            for second in range(6):  # equal idle times, however busy the machine is
                pool.clock = pool.upstream._clock = lambda now=float(second): now  # type: ignore[misc]
                results.append((await pool.fetch()).status)
            assert results == [Status.OK, Status.BROKEN, *[Status.OK] * 4]
            pool.upstream.close()

    run(main())
