"""The client's deadline holds, whatever the server does with the request and however it writes its answer."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from tests.loopback import run
from tests.pressure.deployment import (
    ANSWER_SLACK_SECONDS,
    Behaviour,
    Deployment,
    deployed,
    read_fields,
    request_head,
)
from tests.pressure.servers import answer_in_pieces, read_slowly, stop_reading
from tests.test_relay import chunked

SMALL_BUFFER = 8192  # bytes of the servers' kernel buffers
BODY_SIZES = (70_000, 148_262, 169_870, 211_696, 226_489)
TTL_MS = 600
PATIENCE_SECONDS = 5.0


async def seconds_to_final_answer(deployment: Deployment, request: bytes, patience: float) -> float:
    """Send a request; return the seconds from its last byte to the final answer, which must not be a success."""
    reader, writer = await deployment.connect()
    try:
        writer.transport.set_write_buffer_limits(high=0)
        writer.write(request)
        await writer.drain()  # the kernel has all of it: the client has sent the request
        sent = time.monotonic()
        async with asyncio.timeout(patience):
            first, _ = await read_fields(reader)
    finally:
        writer.transport.abort()
    assert int(first.split(" ")[1]) in (429, 502, 503, 504)
    return time.monotonic() - sent


def upload(size: int, framing: str, ttl_ms: int) -> bytes:
    body = b"x" * size
    if framing == "chunked":
        return request_head("post", "POST", ttl_ms, "Transfer-Encoding: chunked\r\n") + chunked(body)
    return request_head("post", "POST", ttl_ms, f"Content-Length: {size}\r\n") + body


@pytest.mark.parametrize("server", [stop_reading, read_slowly], ids=lambda each: each.__name__)
@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_an_upload_that_its_server_does_not_read_is_answered_at_its_deadline(
    server: Behaviour, framing: str, tmp_path: Path
) -> None:
    async def main() -> None:
        async with deployed(tmp_path, {"post": server}, receive_buffer=SMALL_BUFFER) as deployment:
            requests = [upload(size, framing, TTL_MS) for size in BODY_SIZES]
            seconds = await asyncio.gather(
                *(seconds_to_final_answer(deployment, request, PATIENCE_SECONDS) for request in requests)
            )
            assert max(seconds) <= TTL_MS / 1000 + ANSWER_SLACK_SECONDS

    run(main())


@pytest.mark.parametrize("size", [4_000, 36_000, 54_000, 120_000])
@pytest.mark.parametrize(("kind", "method"), [("lookup", "GET"), ("post", "POST")])
def test_an_answer_that_is_whole_before_the_deadline_is_not_cut_off(
    kind: str, method: str, size: int, tmp_path: Path
) -> None:
    """Guards against a bound on the time between two pieces, and on that of one attempt."""

    async def main() -> None:
        behaviours: dict[str, Behaviour] = {kind: answer_in_pieces}
        async with deployed(tmp_path, behaviours) as deployment:
            framing = "" if method == "GET" else "Content-Length: 0\r\n"
            request = request_head(kind, method, 5000, framing, extra=f"X-Size: {size}\r\n")
            status, body, _ = await deployment.fetch(request, PATIENCE_SECONDS)
            assert (status, len(body), len(deployment.runs)) == (200, size, 1)

    run(main())
