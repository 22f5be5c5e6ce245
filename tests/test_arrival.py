"""A request that lay in the machine while the limiter was held up has less time left than its header says."""

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

from cypresspulley.net.arrival import FRESH_READS_UNTIL_SKIP, ArrivalClock
from tests.loopback import ask, listening, run
from tests.test_program import config, started

TTL = 3.0
SLACK = 0.15  # seconds by which a server may be told more than its client has left
TOLD = re.compile(rb"X-Timeout-Ms: ([0-9]+)", re.IGNORECASE)
BODY = b"x" * 70_000  # an upload: passed on as it comes


class Server:
    """Answers each request and keeps when its head came and what it was told."""

    def __init__(self) -> None:
        self.told = list[tuple[float, float]]()

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            (milliseconds,) = TOLD.findall(head)
            self.told.append((time.monotonic(), int(milliseconds) / 1000))
            if b"POST" in head:
                await reader.readexactly(len(BODY))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")


@pytest.mark.parametrize("kinds", [("kept", "new"), ("pipelined",), ("upload",)], ids="-".join)
def test_a_server_is_told_no_more_than_its_client_has_left(kinds: tuple[str, ...], tmp_path: Path) -> None:
    """The process is stopped while requests arrive, on kept connections and on ones that wait to be accepted."""

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
                assert left - 0.3 - held / 2 < told <= left + SLACK, (held, kind, told - left)
                kept[1].close()
                writer.close()

    run(main())


def upload_config(dial: str) -> dict[str, object]:
    raw = config(dial)
    post = {"name": "post", "aim_s": 5.0, "effect": "at_most_once", "worth": 1.0, "group": "all"}
    raw["settings"] = raw["settings"] | {"classes": [*raw["settings"]["classes"], post]}
    return raw


def test_all_that_came_while_the_loop_was_held_is_as_old_as_its_socket_says() -> None:
    """Read at once or some turns later, on connections old and new; nothing is asked once all are young."""

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
            time.sleep(0.05)  # a callback holds the loop
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
            time.sleep(0.11)  # a pause without a sign of the loop, between two beats
            assert arrivals.data_age(transports[1], b"") > 0.15
            for _ in range(2 * FRESH_READS_UNTIL_SKIP):
                peers[0].send(b"x")
                arrivals.data_age(transports[0], b"")
            arrivals._last_heartbeat_at -= 0.3
            arrivals.record_heartbeat()  # late: the loop was held up
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
    """New ones are accepted one in a turn: the last of them is read many turns behind the stop."""

    async def main() -> None:
        server = Server()
        async with listening(server.talk) as dial, started(upload_config(dial), tmp_path) as program:
            program.process.send_signal(signal.SIGSTOP)
            sent, clients = time.monotonic(), [await program.connect() for _ in range(60)]
            for _, writer in clients:
                writer.write(ask(ttl=int(TTL * 1000)))
            sent_at = time.monotonic()
            await asyncio.sleep(0.5)
            program.process.send_signal(signal.SIGCONT)
            for reader, writer in clients:
                await reader.readuntil(b"\r\n\r\n")
                writer.close()
            assert server.told
            assert max(told - (TTL - (came_at - sent_at)) for came_at, told in server.told) <= SLACK
            assert sent_at - sent < 0.5

    run(main())
