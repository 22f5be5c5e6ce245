"""Members' addresses as a socket takes them. Hosts with a name are looked up beside the loop, never on it."""

from __future__ import annotations

import asyncio
import ipaddress
import socket
from collections.abc import Callable

from cypresspulley.net.http import split_address

MAX_ADDRESSES = 4096  # addresses that are remembered
MAX_LOOKUPS = 8  # under way
LOOKUP_INTERVAL_SECONDS = (
    30.0  # seconds after which a name is looked up anew; the last answer holds meanwhile
)

SocketAddress = tuple[str, int]


class Addresses:
    """``clock`` in seconds, one that never steps; all sends are of the family of ``listen``, the socket's host."""

    def __init__(self, clock: Callable[[], float], listen: str) -> None:
        self._clock = clock
        self._family = socket.AF_INET6 if ":" in listen else socket.AF_INET
        self._resolved = dict[str, SocketAddress | None]()  # None: no address, or a name that is not yet known
        self._next_lookup = dict[str, float]()  # when to look a name up again
        self._lookups = dict[str, asyncio.Task[None]]()

    def __repr__(self) -> str:
        return f"<Addresses: {len(self._resolved)} known, {len(self._lookups)} looked up>"

    def resolve(self, address: str) -> SocketAddress | None:
        """Where to send; None for what is no address and while a name is looked up."""
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
            self._next_lookup[address] = self._clock() + 1.0  # no such name now: ask again soon
        finally:
            self._lookups.pop(address, None)
