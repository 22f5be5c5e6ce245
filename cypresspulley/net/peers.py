"""Messages between limiters: UDP datagrams, which may be lost and are accepted from configured addresses only."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import cast

from cypresspulley.net.http import split_address

log = logging.getLogger(__name__)

MAX_MESSAGE = 256  # bytes; longer messages are neither sent nor accepted
Address = tuple[str, int]
MessageCallback = Callable[[int, str], None]


class Peers(asyncio.DatagramProtocol):
    """Sends and receives messages; ``on_message`` gets the sender's number and the text of each.

    A datagram is accepted only from an address in ``peers`` and only if it is complete ASCII text, because anyone on
    the network can send one and messages change quotas. The source address does not authenticate the sender: that
    would take keys, which the protocol does not have.
    """

    def __init__(self, peers: list[str], broadcast_address: str, on_message: MessageCallback) -> None:
        self.set_peers(peers, broadcast_address)
        self._on_message = on_message
        self._transport: asyncio.DatagramTransport | None = None

    def set_peers(self, peers: list[str], broadcast_address: str) -> None:
        """Set the addresses of the peers, and the address that reaches all of them."""
        self._peer_numbers = {split_address(peer): number for number, peer in enumerate(peers)}
        self._broadcast_address = split_address(broadcast_address)

    async def listen(self, host: str, port: int) -> None:
        """Open the socket. Raise OSError if the address is not available."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports are not subclasses of DatagramTransport.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None

    def datagram_received(self, data: bytes, addr: Address) -> None:
        number = self._peer_numbers.get(addr[:2])
        if number is not None and 0 < len(data) <= MAX_MESSAGE and data.isascii():
            self._on_message(number, data.decode("ascii"))

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors: a peer is down, and messages to it may be lost."""

    def broadcast(self, text: str) -> None:
        """Send a message to all other limiters. One that is too long is logged and not sent."""
        data = text.encode()
        if len(data) > MAX_MESSAGE:
            log.error("a message of %d bytes was not sent", len(data))
        elif self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, self._broadcast_address)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
