"""Bytes of clients that no request is: each connection ends in an answer or a close, and the next request is served."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from cypresspulley.net import frontend
from tests.loopback import Limiter, Origin, Script, ask, forward, listening, run

CONNECTIONS_A_SEED = 60
CLOSE_SECONDS = 3.0  # what a client that sends what can't be read is owed
PIECES = (
    b"\r\n", b"\n", b"\r", b" ", b"\t", b":", b";", b"?", b"&", b"=", b"%", b"%zz", b"%ff", b"\x00",
    b"\xff", b"\xed\xa0\x80", b"0\r\n", b"0\r\n\r\n", b"1;x=y\r\n", b"ffffffffffffffffff\r\n", b"-1\r\n",
    b"X-Trailer: 1\r\n", b"Content-Length: 5\r\n", b"Content-Length: 99999999999999999999\r\n",
    b"Transfer-Encoding: chunked\r\n", b"Transfer-Encoding: gzip, chunked\r\n",
    b"Upgrade: h2c\r\nConnection: Upgrade\r\n", b"Expect: 100-continue\r\n", b"X-Timeout-Ms: 1e9\r\n",
    b"X-Quota: units=,spread\r\n", b"X-Request-ID: \xe9\r\n", b"HTTP/1.1", b"HTTP/9.9", b"GET ", b"POST ",
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", b"account=", b"*",
)  # fmt: skip


def make_bytes(rng: Random) -> bytes:
    """Return a valid request with pieces put in, left out or cut."""
    data = ask() if rng.random() < 0.5 else ask("/post?account=00000000b4d65521", b"x" * rng.randint(1, 40))
    if rng.random() < 0.3:
        data = data.replace(b"Content-Length", b"Transfer-Encoding: chunked\r\nX-Length")
    for _ in range(rng.randint(1, 4)):
        at = rng.randrange(len(data))
        data = data[:at] + rng.choice(PIECES) + data[at + rng.choice((0, 0, 1, 4)) :]
    return data[: rng.randrange(len(data))] if rng.random() < 0.2 else data


@pytest.mark.parametrize("seed", range(6))
def test_whatever_clients_send_their_connections_end_and_the_next_request_is_served(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against bytes that raise what the way in doesn't expect, and leave a connection without an end."""
    for name in ("HEAD_TIMEOUT", "BODY_RATE_WINDOW", "IDLE_TIMEOUT"):
        monkeypatch.setattr(frontend, name, 0.2)
    monkeypatch.setattr(frontend, "SWEEP_INTERVAL", 0.02)

    async def main() -> None:
        rng = Random(seed)
        async with listening(Origin().talk) as dial, Limiter(Script(forward), {"s1": dial}) as limiter:
            for _ in range(CONNECTIONS_A_SEED // 20):
                sent = [make_bytes(rng) for _ in range(20)]
                await asyncio.gather(*(send_until_end(limiter, data) for data in sent))
            assert " 200 " in (await limiter.fetch(ask()))[0]
            assert not limiter.frontend.open_ids

    run(main())


async def send_until_end(limiter: Limiter, data: bytes) -> None:
    """Send bytes and read until the limiter ends the connection."""
    reader, writer = await limiter.connect()
    writer.write(data)
    async with asyncio.timeout(CLOSE_SECONDS):
        try:
            while await reader.read(1 << 16):
                pass
        except ConnectionError:
            pass
    writer.close()
