"""Ports for processes that have to be told theirs before they start.

A port that the system chose for a probe is one that it may give to any outgoing connection right after: a process that
binds it then ends with "address already in use". These ports lie below the range of outgoing connections, and each
worker of a test run takes its own.
"""

from __future__ import annotations

import os
import socket
from collections.abc import Iterator

FIRST_PORT, END_PORT = 12_000, 32_000  # Linux takes ports for outgoing connections from 32,768 on
MAX_WORKERS = 16
BLOCK = (END_PORT - FIRST_PORT) // MAX_WORKERS


def _worker_ports() -> Iterator[int]:
    """Yield this worker's ports for ever, from one on that another run at the same time hardly begins with."""
    worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw")) % MAX_WORKERS
    first, offset = FIRST_PORT + worker * BLOCK, os.getpid() % BLOCK
    while True:
        yield first + offset
        offset = (offset + 1) % BLOCK


_ports = _worker_ports()


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return a port of 127.0.0.1 on which nothing listens, and which no outgoing connection gets."""
    for port in _ports:
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise AssertionError("the ports do not end")
