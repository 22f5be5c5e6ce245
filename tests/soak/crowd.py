"""Holds connections to one limiter: ``python -m tests.soak.crowd HOST:PORT SEED``. Exits with its parent process.

The seed draws what the connections send: nothing, or a request that they never finish. A connection that the limiter
ends is replaced by a new one.
"""

from __future__ import annotations

import contextlib
import os
import socket
import sys
import time
from random import Random

from cypresspulley.net.http import split_address

CONNECT_INTERVAL_SECONDS = 0.02
MAX_CONNECTIONS = 300  # open at a time
PAYLOAD_BYTES = 4096
HEAD = b"POST /post?account=0000000000000001 HTTP/1.1\r\nHost: x\r\n"
PAYLOADS: dict[str, bytes] = {
    "idle": b"",
    "half a head": HEAD,
    "one long field": HEAD + b"a: " + b"x" * PAYLOAD_BYTES,
    "short fields": HEAD + b"a:\r\n" * (PAYLOAD_BYTES // 4),
    "tiny chunks": HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"2\r\nxx\r\n" * (PAYLOAD_BYTES // 7),
    "noise": b"\x00noise\r\n\r\n",
}


def draw_payload(seed: int) -> str:
    """Draws the name of what the connections of a seed send."""
    return Random(f"{seed} crowd").choice(sorted(PAYLOADS))


def main(address: str, seed: int) -> None:
    parent, connections, payload = os.getppid(), list[socket.socket](), PAYLOADS[draw_payload(seed)]
    while os.getppid() == parent:
        client = socket.socket()
        with contextlib.suppress(OSError):
            client.settimeout(CONNECT_INTERVAL_SECONDS)
            client.connect(split_address(address))
            client.setblocking(False)
            client.send(payload)
        connections.append(client)
        if len(connections) > MAX_CONNECTIONS:
            connections.pop(0).close()
        time.sleep(CONNECT_INTERVAL_SECONDS)


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]))
