"""Opens idle connections to one limiter: ``python -m tests.soak.crowd HOST:PORT``. Exits with its parent process."""

from __future__ import annotations

import contextlib
import os
import socket
import sys
import time

from cypresspulley.net.http import split_address

CONNECT_INTERVAL_SECONDS = 0.02
MAX_CONNECTIONS = 300  # open at a time


def main(address: str) -> None:
    parent, connections = os.getppid(), list[socket.socket]()
    while os.getppid() == parent:
        client = socket.socket()
        client.setblocking(False)
        with contextlib.suppress(BlockingIOError, ConnectionError):
            client.connect(split_address(address))
        connections.append(client)
        if len(connections) > MAX_CONNECTIONS:
            connections.pop(0).close()
        time.sleep(CONNECT_INTERVAL_SECONDS)


if __name__ == "__main__":
    main(sys.argv[1])
