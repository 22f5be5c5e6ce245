"""Clients that hold what they were given, stop half way, or send at full speed, each on many connections at once.

A pressure opens its connections, sends what it sends, and holds them until it is cancelled. A connection that the
limiter ends is opened again.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from tests.pressure.deployment import Deployment, request_head

RECONNECT_SECONDS = 0.2
SMALL_RECEIVE_BUFFER = 4096
HEAD_BYTES = 15_500
CHUNKED_BODY_BYTES = 60_000
LARGE_BODY_BYTES = 30_000_000
SMALL_BODY_BYTES = 64_000
CONNECTING_AT_ONCE = 64

Hold = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def discard(reader: asyncio.StreamReader) -> None:
    """Read until the limiter ends the connection."""
    while await reader.read(65536):
        pass


async def short_fields(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Begin a head of very many short fields and never end it."""
    writer.write(b"GET /lookup?account=0000000000000001 HTTP/1.1\r\n" + b"a:\r\n" * (HEAD_BYTES // 4))
    await discard(reader)


async def long_fields(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Begin a head of some long fields and never end it."""
    writer.write(b"GET /lookup?account=0000000000000001 HTTP/1.1\r\n")
    writer.write((b"a: " + b"x" * 95 + b"\r\n") * (HEAD_BYTES // 100))
    await discard(reader)


async def head_in_pieces(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send one field of a head in small pieces for as long as it is taken."""
    writer.write(b"GET /lookup?account=0000000000000001 HTTP/1.1\r\na:")
    for _ in range(HEAD_BYTES // 100):
        writer.write(b"x" * 100)
        await asyncio.sleep(0.01)
    await discard(reader)


async def tiny_chunks(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send a small body in chunks of two bytes and never end it."""
    writer.write(request_head("post", "POST", framing="Transfer-Encoding: chunked\r\n"))
    writer.write(b"2\r\nxx\r\n" * (CHUNKED_BODY_BYTES // 2))
    await discard(reader)


async def small_chunks(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send a small body in chunks that are just large enough to be taken, and never end it."""
    writer.write(request_head("post", "POST", framing="Transfer-Encoding: chunked\r\n"))
    writer.write((b"10\r\n" + b"x" * 16 + b"\r\n") * (CHUNKED_BODY_BYTES // 16))
    await discard(reader)


async def long_extensions(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send a small body in chunks of one byte with long extensions and never end it."""
    writer.write(request_head("post", "POST", framing="Transfer-Encoding: chunked\r\n"))
    for _ in range(400):
        writer.write((b"1;" + b"e" * 1000 + b"\r\nx\r\n") * 10)
        await writer.drain()
    await discard(reader)


async def half_uploads(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send a part of a large body and stop."""
    writer.write(request_head("post", "POST", framing=f"Content-Length: {LARGE_BODY_BYTES}\r\n"))
    writer.write(b"x" * 400_000)
    await discard(reader)


async def small_bodies(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send whole small requests, as large as they may be, one behind another."""
    for _ in range(6):
        writer.write(request_head("post", "POST", 4000, f"Content-Length: {SMALL_BODY_BYTES}\r\n"))
        writer.write(b"x" * SMALL_BODY_BYTES)
    await discard(reader)


async def unread_answers(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Ask for long answers, one behind another, and read nothing."""
    reader._transport.pause_reading()  # type: ignore[attr-defined]
    for _ in range(6):
        writer.write(request_head("lookup", extra="X-Long: 1\r\n"))
    await asyncio.Event().wait()


PRESSURES: dict[str, Hold] = {
    each.__name__: each
    for each in (
        short_fields, long_fields, head_in_pieces, tiny_chunks, small_chunks, long_extensions, half_uploads,
        small_bodies, unread_answers,
    )
}  # fmt: skip


async def hold_open(deployment: Deployment, hold: Hold, connections: int) -> None:
    """Run ``hold`` on many connections, and again on a new one whenever one ends, until cancelled."""
    connecting = asyncio.Semaphore(CONNECTING_AT_ONCE)

    async def one() -> None:
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                async with connecting:
                    reader, writer = await deployment.connect(SMALL_RECEIVE_BUFFER)
                try:
                    await hold(reader, writer)
                finally:
                    writer.transport.abort()
            await asyncio.sleep(RECONNECT_SECONDS)

    async with asyncio.TaskGroup() as group:
        for _ in range(connections):
            group.create_task(one())
