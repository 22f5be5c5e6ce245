"""Resolves the ``host:port`` addresses of members. Host names are looked up in tasks, so that a send never waits."""

from __future__ import annotations

import asyncio
import ipaddress
import socket
from collections.abc import Callable

from cypresspulley.net.http import split_address

MAX_ADDRESSES = 4096  # cached addresses; a full cache is cleared
MAX_LOOKUPS = 8  # concurrent name lookups
LOOKUP_INTERVAL_SECONDS = 30.0  # the previous result stays in use during a repeated lookup

SocketAddress = tuple[str, int]


class Addresses:
    """Cache of resolved addresses.

    ``clock`` is monotonic, in seconds. Names are resolved in the address family of ``listen``, the socket's host.
    """

    def __init__(self, clock: Callable[[], float], listen: str) -> None:
        self._clock = clock
        self._family = socket.AF_INET6 if ":" in listen else socket.AF_INET
        self._resolved = dict[str, SocketAddress | None]()  # None: not an address, or a name not yet resolved
        self._next_lookup = dict[str, float]()  # instant from which a name is due for a lookup
        self._lookups = dict[str, asyncio.Task[None]]()

    def __repr__(self) -> str:
        return f"<Addresses: {len(self._resolved)} cached, {len(self._lookups)} lookups running>"

    def resolve(self, address: str) -> SocketAddress | None:
        """Return the address to send to; None for an invalid address and until a name is resolved."""
        if address not in self._resolved:
            if len(self._resolved) >= MAX_ADDRESSES:
                self._resolved.clear()
                self._next_lookup.clear()
            self._resolved[address] = self._parse_literal(address)
        if address in self._next_lookup and self._next_lookup[address] <= self._clock():
            self._start_lookup(address)
        return self._resolved[address]

    def close(self) -> None:
        for task in self._lookups.values():
            task.cancel()

    def _parse_literal(self, address: str) -> SocketAddress | None:
        try:
            host, port = split_address(address)
        except ValueError:
            return None
        if not port or not host:
            return None
        try:
            ipaddress.ip_address(host)
        except ValueError:
            self._next_lookup[address] = float("-inf")
            return None
        return host, port

    def _start_lookup(self, address: str) -> None:
        if address in self._lookups or len(self._lookups) >= MAX_LOOKUPS:
            return
        self._next_lookup[address] = self._clock() + LOOKUP_INTERVAL_SECONDS
        task = asyncio.get_running_loop().create_task(self._resolve_name(address))
        self._lookups[address] = task

    async def _resolve_name(self, address: str) -> None:
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        try:
            found = await loop.getaddrinfo(host, port, family=self._family, type=socket.SOCK_DGRAM)
            if address in self._resolved and found:
                sockaddr = found[0][4]
                self._resolved[address] = str(sockaddr[0]), int(sockaddr[1])
        except (OSError, UnicodeError):
            self._next_lookup[address] = self._clock() + 1.0  # unknown name: retried after a second
        finally:
            self._lookups.pop(address, None)
