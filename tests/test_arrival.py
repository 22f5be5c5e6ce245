"""Time that a request waited in the kernel while the limiter was blocked is subtracted from its timeout."""

from __future__ import annotations

import asyncio
import itertools
import re
import signal
import socket
import time
from contextlib import closing
from pathlib import Path

import pytest

from cypresspulley import interface as api
from cypresspulley.net.arrival import FRESH_READS_UNTIL_SKIP, ArrivalClock
from cypresspulley.net.frontend import MAX_PIPELINED_REQUESTS
from tests.loopback import Limiter, Script, ask, listening, read_message, run
from tests.test_program import config, started

TTL = 3.0  # seconds
MAX_EXCESS = 0.15  # seconds by which the timeout sent to a server may exceed the client's remaining time
TIMEOUT_HEADER = re.compile(rb"X-Timeout-Ms: ([0-9]+)", re.IGNORECASE)
UNREAD_SECONDS = 0.5  # for which a request waits while its connection is not read
OTHERS_TTL = 8.0  # seconds; requests with a longer timeout are refused at once
BODY = b"x" * 70_000  # large enough to be forwarded while it arrives


class Server:
    """Responds to each request and records when its head arrived and the timeout in it, both in seconds."""

    def __init__(self) -> None:
        self.told = list[tuple[float, float]]()

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            (milliseconds,) = TIMEOUT_HEADER.findall(head)
            self.told.append((time.monotonic(), int(milliseconds) / 1000))
            if b"POST" in head:
                await reader.readexactly(len(BODY))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")


@pytest.mark.parametrize("kinds", [("kept", "new"), ("pipelined",), ("upload",)], ids="-".join)
def test_a_server_is_told_no_more_than_its_client_has_left(kinds: tuple[str, ...], tmp_path: Path) -> None:
    """The process is stopped while requests arrive on kept connections and on connections in the accept queue."""

    async def main() -> None:
        server = Server()
        async with listening(server.talk) as dial, started(upload_config(dial), tmp_path) as program:
            for held, kind in itertools.product((0.0, 0.1, 0.2, 0.4, 0.8), kinds):
                kept = await program.connect()
                kept[1].write(ask(ttl=int(TTL * 1000)))
                await kept[0].readuntil(b"hi")
                server.told.clear()
                program.process.send_signal(signal.SIGSTOP)
                reader, writer = kept if kind != "new" else await program.connect()
                sent_at = time.monotonic()
                if kind == "upload":
                    writer.write(ask("/post?account=00000000b4d65521", BODY, ttl=int(TTL * 1000)))
                else:
                    writer.write(ask(ttl=int(TTL * 1000)))
                await asyncio.sleep(held / 2)
                if kind == "pipelined":
                    writer.write(ask(ttl=int(TTL * 1000)))
                await asyncio.sleep(held / 2)
                program.process.send_signal(signal.SIGCONT)
                await reader.readuntil(b"hi")
                came_at, told = server.told[0]
                left = TTL - (came_at - sent_at)
                assert left - 0.3 - held / 2 < told <= left + MAX_EXCESS, (held, kind, told - left)
                kept[1].close()
                writer.close()

    run(main())


def upload_config(dial: str) -> dict[str, object]:
    raw = config(dial)
    post = {"name": "post", "aim_s": 5.0, "effect": "at_most_once", "worth": 1.0, "group": "all"}
    raw["settings"] = raw["settings"] | {"classes": [*raw["settings"]["classes"], post]}
    return raw


def test_all_that_came_while_the_loop_was_held_is_as_old_as_its_socket_says() -> None:
    """This holds for reads at once or some iterations later; sockets are no longer queried once data is fresh."""

    async def main() -> None:
        loop, asked = asyncio.get_running_loop(), list[float]()
        with closing(socket.create_server(("127.0.0.1", 0))) as listener:
            peers = [
                socket.create_connection(listener.getsockname()) for _ in range(FRESH_READS_UNTIL_SKIP + 8)
            ]
            for peer in peers:
                peer.send(b"x")
            transports = []
            for _ in peers:
                accepted, _ = listener.accept()
                transports.append((await loop.connect_accepted_socket(asyncio.Protocol, accepted))[0])
            time.sleep(0.05)  # a callback blocks the loop
            arrivals = ArrivalClock(time.monotonic, 0.2)
            time.sleep(0.11)
            for transport in transports:
                assert 0.15 <= arrivals.data_age(transport, b"") < 1.0
                await asyncio.sleep(0)
            for at in range(2 * FRESH_READS_UNTIL_SKIP):
                peers[0].send(b"x")
                asked.append(arrivals.data_age(transports[0], b""))
                assert arrivals._fresh_reads == min(at + 1, FRESH_READS_UNTIL_SKIP)
            assert max(asked) <= 0.02
            assert arrivals.data_age(transports[1], b"") == 0.0
            time.sleep(0.11)  # a pause without activity of the loop, between two heartbeats
            assert arrivals.data_age(transports[1], b"") > 0.15
            for _ in range(2 * FRESH_READS_UNTIL_SKIP):
                peers[0].send(b"x")
                arrivals.data_age(transports[0], b"")
            arrivals._last_heartbeat_at -= 0.3
            arrivals.record_heartbeat()  # late, which shows that the loop was blocked
            assert arrivals.data_age(transports[1], b"") > 0.15
            for peer, transport in zip(peers, transports, strict=True):
                transport.abort()
                peer.close()

    run(main())


@pytest.mark.parametrize(
    "answer", [OSError("no such option"), b"\x01", b"\x07" + b"\xff" * 55, b"\x01" + b"\xff" * 55]
)
def test_a_platform_that_does_not_tell_falls_back_to_the_beat(answer: bytes | OSError) -> None:
    class Socket:
        def getsockopt(self, *_: int) -> bytes:
            if isinstance(answer, OSError):
                raise answer
            return answer

    class Transport(asyncio.BaseTransport):
        def get_extra_info(self, name: str, default: object = None) -> object:
            return Socket()

    async def main() -> None:
        now = [100.0]
        arrivals = ArrivalClock(lambda: now[0], 0.2)
        now[0] += 0.2
        arrivals.record_heartbeat()
        assert arrivals.data_age(Transport(), b"") == 0.0, "the loop was idle, and is on time"
        now[0] += 0.6
        arrivals.record_heartbeat()
        assert arrivals.data_age(Transport(), b"") == pytest.approx(0.6)
        now[0] += 0.15
        assert arrivals.data_age(Transport(), b"") == 0.0

    run(main())


def test_requests_of_many_connections_that_waited_are_told_by_their_own_age(tmp_path: Path) -> None:
    """Connections are accepted one per iteration, so the last one is read many iterations after the stop."""

    async def main() -> None:
        server = Server()
        async with listening(server.talk) as dial, started(upload_config(dial), tmp_path) as program:
            program.process.send_signal(signal.SIGSTOP)
            started_at, clients = time.monotonic(), [await program.connect() for _ in range(60)]
            for _, writer in clients:
                writer.write(ask(ttl=int(TTL * 1000)))
            sent_at = time.monotonic()
            await asyncio.sleep(0.5)
            program.process.send_signal(signal.SIGCONT)
            for reader, writer in clients:
                await reader.readuntil(b"\r\n\r\n")
                writer.close()
            assert server.told
            assert max(told - (TTL - (came_at - sent_at)) for came_at, told in server.told) <= MAX_EXCESS
            assert sent_at - started_at < 0.5

    run(main())


def test_a_request_that_waited_because_its_connection_was_not_read_is_as_old_as_it_is() -> None:
    """Guards against a full timeout for a request that lay unread behind eight others, though the loop was in time."""

    async def main() -> None:
        refuse_others = Script(
            lambda event: (
                [api.Refuse(event.id, 0.1)]
                if isinstance(event, api.Request) and event.ttl > OTHERS_TTL
                else []
            )
        )
        async with Limiter(refuse_others, {}) as limiter:
            others, others_writer = await limiter.connect()

            async def ask_for_others(count: int) -> None:
                for _ in range(count):
                    others_writer.write(ask(ttl=9000))
                    await read_message(others)
                    await asyncio.sleep(UNREAD_SECONDS / count)

            await ask_for_others(FRESH_READS_UNTIL_SKIP + 2)
            _, writer = await limiter.connect()
            writer.write(b"".join(ask() for _ in range(MAX_PIPELINED_REQUESTS)))
            count = FRESH_READS_UNTIL_SKIP + 2 + MAX_PIPELINED_REQUESTS
            waiting = (await refuse_others.until(api.Request, count))[-MAX_PIPELINED_REQUESTS]
            writer.write(ask(ttl=2000))
            await ask_for_others(FRESH_READS_UNTIL_SKIP + 2)
            refuse_others.answer = lambda event: (
                [api.Refuse(waiting.id, 0.1)] if isinstance(event, api.TimerFired) else []
            )
            limiter.node.feed(api.TimerFired(1))
            last = (await refuse_others.until(api.Request, count + FRESH_READS_UNTIL_SKIP + 3))[-1]
            assert last.ttl <= 2.0 - UNREAD_SECONDS
            writer.close()
            others_writer.close()

    run(main())
