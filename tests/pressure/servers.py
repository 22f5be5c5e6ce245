"""Servers that answer at length, read slowly or not at all."""

from __future__ import annotations

import asyncio

from tests.loopback import OK
from tests.pressure.deployment import Behaviour, ServerRequest, answer_at_once, read_body

LONG_ANSWER_BYTES = 900_000
SLOW_READ_BYTES_PER_SECOND = 40_000
STOP_READING_BYTES = 9_000
PIECES = 4
PIECE_SECONDS = 0.6
LAST_CHUNK = b"\r\n0\r\n\r\n"


async def answer_at_length(
    request: ServerRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer a request that asks for it with a long body, others at once."""
    if request.fields.get("x-long") is None:
        return await answer_at_once(request, reader, writer)
    await read_body(reader, request.fields)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG_ANSWER_BYTES)
    writer.write(b"x" * LONG_ANSWER_BYTES)


async def read_slowly(
    request: ServerRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Read a body with a length or in chunks at a low rate, then answer."""
    length = request.fields.get("content-length")
    received, tail = 0, b""
    while tail != LAST_CHUNK if length is None else received < int(length):
        piece = await reader.read(SLOW_READ_BYTES_PER_SECOND // 10)
        if not piece:
            raise ConnectionError("the limiter ended the connection")
        received += len(piece)
        tail = (tail + piece)[-len(LAST_CHUNK) :]
        await asyncio.sleep(0.1)
    writer.write(OK)


async def stop_reading(
    request: ServerRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Read a few bytes of a body and no more."""
    await reader.read(STOP_READING_BYTES)
    await asyncio.Event().wait()


async def answer_in_pieces(
    request: ServerRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer with a body of known length whose pieces come slowly."""
    await read_body(reader, request.fields)
    size = int(request.fields.get("x-size", "36000"))
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
    for _ in range(PIECES):
        writer.write(b"x" * (size // PIECES))
        await asyncio.sleep(PIECE_SECONDS)


BEHAVIOURS: dict[str, Behaviour] = {"lookup": answer_at_length, "post": read_slowly}
