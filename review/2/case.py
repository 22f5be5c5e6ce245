"""A third of the descriptors is the clients' due; with the operators' door a limiter of 256 accepts fewer."""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
from world import Counter, Discovery, Limiter, Record, Server, free_port, read_message, request_bytes, run_main, settings

SOCKETS = 256
MOST_CLIENTS = SOCKETS // 3  # connections that clients hold for requests: 85
UPLOADS = 66
LOOKUPS = MOST_CLIENTS - UPLOADS  # 19
BODY_BYTES = 1024 * 1024
BYTES_PER_SECOND = 64_000
ANSWER_SLACK_S = 0.5


class ClosedUnreadError(Exception):
    """The limiter closed the connection without a byte of an answer: the client sends once more on a new one."""


async def try_once(
    address: tuple[str, int], head: bytes, body_bytes: int, wait_s: float
) -> tuple[float, str]:
    """Send a request, its body at 64 kB a second; return seconds from its last byte to its answer, and its first line."""
    reader, writer = await asyncio.open_connection(*address)
    answer = asyncio.ensure_future(read_message(reader))
    try:
        sent, started = min(body_bytes, BYTES_PER_SECOND // 10), time.monotonic()
        writer.write(head + b"u" * sent)
        while sent < body_bytes and not answer.done():
            await asyncio.sleep(max(0.0, started + sent / BYTES_PER_SECOND - time.monotonic()))
            piece = min(body_bytes - sent, BYTES_PER_SECOND // 10)
            writer.write(b"u" * piece)
            sent += piece
            async with asyncio.timeout(40):
                await writer.drain()
        last = time.monotonic()
        async with asyncio.timeout(wait_s):
            return time.monotonic() - last, (await answer).first
    except TimeoutError:
        return wait_s, "none"
    except (OSError, asyncio.IncompleteReadError) as error:
        raise ClosedUnreadError(repr(error)) from None
    finally:
        answer.cancel()
        writer.transport.abort()


async def ask(address: tuple[str, int], what: str, head: bytes, body_bytes: int, ttl_s: float, record: Record) -> str:
    """Send a request as a sound client does; return the first line of its answer, "none" where there was none in its time
    and the slack, or "closed" where the limiter closed two connections without reading it, which is no loss by the rule."""
    first = "closed"
    for attempt in range(2):
        record(f"client {what} sends, try {attempt}, body {body_bytes} bytes")
        try:
            seconds, first = await try_once(address, head, body_bytes, ttl_s + ANSWER_SLACK_S)
        except ClosedUnreadError as error:
            record(f"client {what}: closed without an answer: {error}")
            continue
        record(f"client {what}: {first}, {seconds:.3f} s after its last byte")
        return first
    return first


async def upload(address: tuple[str, int], number: int, size: int, record: Record) -> str:
    await asyncio.sleep(number * 0.02)
    id, head = request_bytes("handover-post", 0x1000 + number, ttl_ms=5000, length=size)
    return await ask(address, f"handover {id}", head, size, 5.0, record)


async def lookup(address: tuple[str, int], number: int, record: Record) -> str:
    await asyncio.sleep(number * 0.02)
    id, head = request_bytes("bag-lookup", 0x9000 + number, ttl_ms=4000)
    return await ask(address, f"lookup {id}", head, 0, 4.0, record)


async def main(folder: Path, record: Record, trouble: bool) -> int:
    with tempfile.TemporaryDirectory(prefix="fawnseam-review-") as name:
        work = Path(name)
        servers = [Server(f"s-{n:02}", record) for n in range(10)]
        discovery, counter = Discovery(), Counter()
        for each in (*servers, discovery, counter):
            await each.listener.start()
        discovery.hosts = {each.name: each.entry() for each in servers}
        limiters = []
        for index in range(3):
            limiter = Limiter(work, f"n{index}", {
                "name": f"n{index}", "listen": f"127.0.0.1:{free_port()}", "discovery": discovery.listener.address,
                "counter": counter.listener.address, "operator": f"127.0.0.1:{free_port()}", "seed": f"8c1f30d27a5be96{index}",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS}, "known": discovery.whole(),
                "settings": settings(me=index),
            })
            limiters.append(limiter)
        try:
            for limiter in limiters:
                await limiter.start()
            for limiter in limiters:
                await limiter.ready()
            address = limiters[0].address
            record.say(f"limiter n0 is ready; limits.sockets {SOCKETS}, clients hold at most {MOST_CLIENTS} connections")
            size = BODY_BYTES if trouble else 200
            uploads = [asyncio.ensure_future(upload(address, n, size, record)) for n in range(UPLOADS)]
            await asyncio.sleep(3.0)
            asked = [asyncio.ensure_future(lookup(address, n, record)) for n in range(LOOKUPS)]
            found = await asyncio.gather(*asked)
            sent = await asyncio.gather(*uploads)
            lost = found.count("none")
            answered = sum(first.startswith("HTTP/") for first in found)
            record.say(f"lookups: {LOOKUPS} sent, {answered} answered, {lost} without any answer in their time "
                       f"and {ANSWER_SLACK_S} s more")
            record.say(f"handovers: {UPLOADS} sent, {sent.count('none')} without an answer; closed unread twice: "
                       f"{(found + sent).count('closed')}")
            if any(limiter.exit_code is not None for limiter in limiters):
                record.say("a limiter ended")
            return 1 if lost else 0
        finally:
            for limiter in limiters:
                await limiter.kill()
                record(f"log of {limiter.name}: {limiter.log.read_text()[-1500:]}")
            for each in (*servers, discovery, counter):
                each.listener.close()


run_main(main, HERE)
