"""Messages between limiters: UDP datagrams, which may be lost and are accepted from configured addresses only."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
from collections.abc import Callable, Sequence

from cypresspulley.net.http import split_address

log = logging.getLogger(__name__)

MAX_MESSAGE = 256  # bytes; longer messages are neither sent nor accepted
MAX_READS_PER_WAKEUP = 64  # datagrams; the rest waits for the loop's next iteration
Address = tuple[str, int]
MessageCallback = Callable[[int, str], None]


def open_datagram_socket(host: str, port: int = 0) -> socket.socket:
    """Return a non-blocking UDP socket bound to an address; port 0 is any free one. Raise OSError."""
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.setblocking(False)
        sock.bind((host, port))
    except OSError:
        sock.close()
        raise
    return sock


class Peers:
    """Sends and receives messages; ``on_message`` gets the sender's number and the text of each.

    A datagram is accepted only from an address in ``peers`` and only if it is complete ASCII text, because anyone on
    the network can send one and messages change quotas. The source address does not authenticate the sender: that
    would take keys, which the protocol does not have.

    The socket may be shared with another process: each datagram then goes to one of the processes that read it.
    """

    def __init__(self, peers: Sequence[str], broadcast_address: str, on_message: MessageCallback) -> None:
        self.set_peers(peers, broadcast_address)
        self._on_message = on_message
        self._socket: socket.socket | None = None
        self._is_reading = False

    def set_peers(self, peers: Sequence[str], broadcast_address: str) -> None:
        """Set the addresses of the peers, and the address that reaches all of them."""
        self._peer_numbers = {split_address(peer): number for number, peer in enumerate(peers)}
        self._broadcast_address = split_address(broadcast_address)

    def use_socket(self, sock: socket.socket) -> None:
        """Send through a socket from now on, and close the one before it. Reading starts with ``start_reading``."""
        self.close()
        sock.setblocking(False)
        self._socket = sock

    def start_reading(self) -> None:
        """Pass on what arrives from now on and what waits in the socket's buffer."""
        if self._socket is not None and not self._is_reading:
            self._is_reading = True
            asyncio.get_running_loop().add_reader(self._socket.fileno(), self._on_readable)

    def stop_reading(self) -> None:
        """Leave what arrives from now on in the socket's buffer, for whoever reads it next."""
        if self._socket is not None and self._is_reading:
            self._is_reading = False
            asyncio.get_running_loop().remove_reader(self._socket.fileno())

    def duplicate_socket(self) -> int | None:
        """Return a duplicate descriptor of the socket, owned by the caller; None without a socket."""
        return None if self._socket is None else os.dup(self._socket.fileno())

    def _on_readable(self) -> None:
        for _ in range(MAX_READS_PER_WAKEUP):
            if self._socket is None or not self._is_reading:
                return
            try:
                data, source = self._socket.recvfrom(MAX_MESSAGE + 1)
            except OSError:
                return  # nothing waits, or an ICMP error: a peer is down, and messages to it may be lost
            self._receive(data, source)

    def _receive(self, data: bytes, source: Address) -> None:
        number = self._peer_numbers.get(source[:2])
        if number is not None and 0 < len(data) <= MAX_MESSAGE and data.isascii():
            self._on_message(number, data.decode("ascii"))

    def broadcast(self, text: str) -> None:
        """Send a message to all other limiters. One that is too long is logged and not sent."""
        data = text.encode()
        if len(data) > MAX_MESSAGE:
            log.error("a message of %d bytes was not sent", len(data))
        elif self._socket is not None:
            with contextlib.suppress(OSError):  # full buffers and unreachable networks lose messages
                self._socket.sendto(data, self._broadcast_address)

    def close(self) -> None:
        self.stop_reading()
        if self._socket is not None:
            self._socket.close()
            self._socket = None
