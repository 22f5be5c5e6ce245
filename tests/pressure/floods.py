"""Clients that send small, unsound or ever new requests on one connection, as fast as it takes them."""

from __future__ import annotations

import contextlib
import socket
import time
from collections.abc import Iterator

from tests.pressure.deployment import request_head

SEND_BYTES = 64 * 1024
UPGRADE = b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n"
FLOODS: dict[str, bytes] = {
    "upgrade offers": UPGRADE,
    "health checks": b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n",
    "empty lines": b"\r\n" * 64,
    "noise": b"\x00\xff noise\r\n\r\n",
    "unknown classes": b"GET /none?account=0000000000000001 HTTP/1.1\r\nHost: x\r\n\r\n",
}


def _pieces(piece: bytes) -> Iterator[bytes]:
    whole = piece * (SEND_BYTES // len(piece) + 1)
    while True:
        yield whole


def send_at_full_speed(address: tuple[str, int], piece: bytes, seconds: float) -> None:
    """Send repetitions of a piece, read what comes, and connect again when the connection ends."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        with contextlib.suppress(OSError), socket.create_connection(address, timeout=1.0) as sock:
            sock.setblocking(False)
            for data in _pieces(piece):
                if time.monotonic() >= until:
                    break
                with contextlib.suppress(BlockingIOError):
                    sock.send(data)
                with contextlib.suppress(BlockingIOError):
                    if not sock.recv(SEND_BYTES):
                        break
                time.sleep(0.0001)  # lets the other clients of this process run


def ask_for_new_accounts(address: tuple[str, int], seconds: float) -> int:
    """Send lookups for ever new accounts, one after another on one connection; return their number."""
    until, number = time.monotonic() + seconds, 0
    with socket.create_connection(address, timeout=2.0) as sock:
        while time.monotonic() < until:
            number += 1
            sock.sendall(request_head("lookup", account=1000 + number))
            sock.recv(SEND_BYTES)
    return number
