"""Peak memory of a limiter with many slow large transfers, compared with its stated limit and with its idle memory.

    python -m benchmarks.slow_transfers [--transfers 1000] [--mb 32] [--seconds 20] [--json FILE]

Fast servers send responses of the given size to clients that read one byte per second. The limit is
``relay.MAX_BUFFERED_BYTES`` and one read (twice ``relay.SOCKET_BUFFER_BYTES``) for each transfer, in addition to the
idle memory of the process.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import resource
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from typing import cast

import psutil
import uvloop

from benchmarks.cpu_per_request import HOST, build_request, limiter_config
from benchmarks.upgrade_door import start
from cypresspulley.net.relay import MAX_BUFFERED_BYTES, MIN_HIGH_WATER_BYTES, SOCKET_BUFFER_BYTES
from cypresspulley.rehearsal.limiters import free_port

SERVERS = 40  # a limiter opens at most 64 connections to each
CLIENT_RECEIVE_BUFFER_BYTES = 4096  # receive buffer of a slow client in bytes
# Further memory per transfer: connections, parsers and the allocator (46 KiB measured).
TRANSFER_OVERHEAD_BYTES = 64 * 1024


class LargeBodyServer(asyncio.Protocol):
    """Answers each request with a large body, as fast as it can be written."""

    size = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport, self._left = cast(asyncio.Transport, transport), 0
        self._paused = False

    def data_received(self, data: bytes) -> None:
        self._left = self.size
        self._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % self.size)
        self._write_body()

    def _write_body(self) -> None:
        while self._left and not self._paused:
            piece = min(self._left, 65_536)
            self._left -= piece
            self._transport.write(bytes(piece))

    def pause_writing(self) -> None:
        self._paused = True

    def resume_writing(self) -> None:
        self._paused = False
        self._write_body()


async def read_slowly(port: int, begun: list[int]) -> None:
    loop, sock = asyncio.get_running_loop(), socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CLIENT_RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    try:
        await loop.sock_connect(sock, (HOST, port))
        await loop.sock_sendall(sock, build_request())
        got = await loop.sock_recv(sock, 64)
        begun.append(b" 200 " in got)
        while await loop.sock_recv(sock, 1):
            await asyncio.sleep(1.0)
    finally:
        sock.close()


async def measure(transfers: int, mb: int, seconds: float) -> dict[str, float]:
    loop = asyncio.get_running_loop()
    LargeBodyServer.size = mb * 1024 * 1024
    servers = [await loop.create_server(LargeBodyServer, HOST, 0) for _ in range(SERVERS)]
    port = free_port(HOST)  # after the servers have bound their ports, or one of them could get this port
    with tempfile.TemporaryDirectory() as folder:
        path = limiter_config(Path(folder), port, [s.sockets[0].getsockname()[1] for s in servers])
        raw = json.loads(path.read_text())
        path.write_text(json.dumps(raw | {"limits": {"sockets": 2 * transfers + 200}}))
        process = await start(path, None)
        limiter_process = psutil.Process(process.pid)
        while True:
            try:
                (await asyncio.open_connection(HOST, port))[1].close()
                break
            except OSError:
                await asyncio.sleep(0.02)
        await asyncio.sleep(0.3)
        rest, begun, peak = limiter_process.memory_info().rss, list[int](), 0
        tasks = list[asyncio.Task[None]]()
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if len(tasks) < transfers:  # a few at a time, as an admission gate would admit them
                tasks += [
                    loop.create_task(read_slowly(port, begun)) for _ in range(min(10, transfers - len(tasks)))
                ]
            await asyncio.sleep(0.05)
            peak = max(peak, limiter_process.memory_info().rss)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        process.send_signal(signal.SIGTERM)
        await process.wait()
    for server in servers:
        server.close()
    under_way = sum(begun)
    bound = (
        rest
        + MAX_BUFFERED_BYTES
        + under_way * (MIN_HIGH_WATER_BYTES + 2 * SOCKET_BUFFER_BYTES + TRANSFER_OVERHEAD_BYTES)
    )
    return {"transfers": under_way, "rest_mb": rest / 1e6, "peak_mb": peak / 1e6, "bound_mb": bound / 1e6,
            "asked_mb": under_way * LargeBodyServer.size / 1e6}  # fmt: skip


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--transfers", type=int, default=1000)
    parser.add_argument("--mb", type=int, default=32)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 16_384), hard))
    row = uvloop.run(measure(options.transfers, options.mb, options.seconds))
    print(
        f"{row['transfers']:.0f} transfers of {options.mb} MB under way: peak {row['peak_mb']:.0f} MB, "
        f"bound {row['bound_mb']:.0f} MB, at rest {row['rest_mb']:.0f} MB; "
        f"peak over bound {row['peak_mb'] / row['bound_mb']:.2f}"
    )
    if options.json:
        options.json.write_text(json.dumps(row, indent=1) + "\n")
    return 0 if row["peak_mb"] <= row["bound_mb"] and row["transfers"] else 1


if __name__ == "__main__":
    sys.exit(main())
