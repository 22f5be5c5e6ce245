"""Messages between limiters: datagrams that may be lost, from addresses that are known."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import cast

from cypresspulley.net.http import split_address

log = logging.getLogger(__name__)

MAX_MESSAGE = 256  # bytes; a longer one is not sent and not taken
Address = tuple[str, int]
Heard = Callable[[int, str], None]


class Peers(asyncio.DatagramProtocol):
    """This limiter's end of the messages; ``heard`` gets the sender's number and the text of each.

    A datagram is taken only from an address of ``peers``, whole and in ASCII: anyone on the network can send one,
    and what it says moves quotas. It is no proof of who sent it; that needs keys, which the protocol has not.
    """

    def __init__(self, peers: list[str], everyone: str, heard: Heard) -> None:
        self.set_peers(peers, everyone)
        self._heard = heard
        self._transport: asyncio.DatagramTransport | None = None

    def set_peers(self, peers: list[str], everyone: str) -> None:
        """Whose messages count from now on, and the address that reaches all of them."""
        self._numbers = {split_address(peer): number for number, peer in enumerate(peers)}
        self._everyone = split_address(everyone)

    async def listen(self, host: str, port: int) -> None:
        """Raises OSError where the address cannot be had."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)  # uvloop's are no subclass of it

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None

    def datagram_received(self, data: bytes, addr: Address) -> None:
        number = self._numbers.get(addr[:2])
        if number is not None and 0 < len(data) <= MAX_MESSAGE and data.isascii():
            self._heard(number, data.decode("ascii"))

    def error_received(self, exc: Exception) -> None:
        """A peer that is down: its address says so, and nothing is owed to it."""

    def broadcast(self, text: str) -> None:
        """Send to all others of the tier."""
        data = text.encode()
        if len(data) > MAX_MESSAGE:
            log.error("a message of %d bytes was not sent", len(data))
        elif self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, self._everyone)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
