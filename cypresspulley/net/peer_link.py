"""Which process of a limiter listens for the messages of other limiters.

An address is bound by one socket at a time. On an upgrade the predecessor passes its socket to a successor that accepts
it, and stops reading; datagrams that arrive meanwhile wait in the socket's buffer. A process that finds its address
taken sends from another port and tries to bind the address every ``BIND_RETRY_SECONDS``: the holder may be a
predecessor that passes nothing on. Without the address a limiter serves all the same, since messages may be lost.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from typing import TYPE_CHECKING

from cypresspulley import interface as api
from cypresspulley.config import Config, ConfigError, PeerAddresses

if TYPE_CHECKING:
    from cypresspulley.net.node import Node
    from cypresspulley.net.peers import Peers

log = logging.getLogger("cypresspulley")

BIND_RETRY_SECONDS = 0.5
# Errors at the start that may pass by themselves. Others mean that the configured address cannot be used at all.
PASSING_ERRORS = frozenset((errno.EADDRINUSE, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))


class PeerLink:
    """Connects the node to the other limiters if the settings allow messages and addresses are configured."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._peers: Peers | None = None
        self._address: tuple[str, int] | None = None  # configured; None: no messages
        self._is_bound = False
        self._is_paused = False
        self._retry_timer: asyncio.TimerHandle | None = None
        self._last_error = ""  # of the latest attempt to bind, so that it is logged once

    def start(self, config: Config, inherited: socket.socket | None = None) -> None:
        """Send and listen as a configuration says, with the predecessor's socket if it has the configured address.

        ``inherited`` is owned by this method. Raise ``ConfigError`` if the address can never be bound.
        """
        addresses = _enabled_addresses(config)
        if inherited is not None and (addresses is None or inherited.getsockname()[:2] != addresses.listen):
            inherited.close()
            inherited = None
        if addresses is None:
            return
        peers = self._open(addresses)
        if inherited is not None:
            return self._read_from(peers, inherited)
        if (error := self._bind()) is None:
            return
        if error.errno not in PASSING_ERRORS:
            self.close()
            raise ConfigError(f"cannot listen for messages of limiters: {error}")
        self._wait_for_address(error)

    def apply(self, config: Config) -> None:
        """Apply a reloaded configuration. An address that cannot be bound is logged and tried again."""
        addresses = _enabled_addresses(config)
        if addresses is None or addresses.listen != self._address:
            self.close()
        if addresses is None:
            return
        if self._peers is not None:
            return self._peers.set_peers(addresses.peers, addresses.everyone)
        self._open(addresses)
        if self._is_paused:
            self._send_unbound()
        elif (error := self._bind()) is not None:
            self._wait_for_address(error)

    def duplicate_socket(self) -> int | None:
        """Return a duplicate descriptor of the bound socket for a successor; None if this process has none."""
        return self._peers.duplicate_socket() if self._peers is not None and self._is_bound else None

    def pause(self) -> None:
        """Leave reading and the address to a successor; messages are still sent."""
        self._is_paused = True
        self._cancel_retry()
        if self._peers is not None:
            self._peers.stop_reading()

    def release_address(self) -> None:
        """Unbind the address, for a successor that does not accept the socket. Call ``pause`` first."""
        if self._is_bound:
            self._is_bound = False
            self._send_unbound()

    def resume(self) -> None:
        """Read again after ``pause``, and bind the address again if this process no longer holds it."""
        self._is_paused = False
        if self._peers is None:
            return
        if self._is_bound:
            self._peers.start_reading()
        else:
            self._bind_or_retry()

    def leave(self) -> None:
        """Bind no address any more, because the process ends; one that is bound is read until ``close``."""
        if not self._is_bound:
            self.pause()

    def close(self) -> None:
        """Send and receive nothing any more, until the next ``apply``."""
        self._cancel_retry()
        if self._peers is not None:
            self._peers.close()
        self._peers = None
        self._address = None
        self._node.broadcast = None
        self._is_bound = False
        self._last_error = ""

    def _open(self, addresses: PeerAddresses) -> Peers:
        from cypresspulley.net.peers import Peers  # not imported where messages are off

        self._address = addresses.listen
        self._peers = Peers(addresses.peers, addresses.everyone, self._receive)
        self._node.broadcast = self._peers.broadcast
        return self._peers

    def _receive(self, sender: int, text: str) -> None:
        self._node.feed(api.PeerMessage(sender, text))

    def _read_from(self, peers: Peers, sock: socket.socket) -> None:
        peers.use_socket(sock)
        self._is_bound = True
        peers.start_reading()

    def _send_unbound(self) -> None:
        """Send from any free port; messages are lost if there is none."""
        from cypresspulley.net.peers import open_datagram_socket

        assert self._peers is not None and self._address is not None
        self._peers.close()
        try:
            self._peers.use_socket(open_datagram_socket(self._address[0]))
        except OSError as error:
            log.error("cannot send messages to limiters: %s", error)

    def _bind(self) -> OSError | None:
        """Bind the configured address and read from it; return the error if that fails."""
        from cypresspulley.net.peers import open_datagram_socket

        assert self._peers is not None and self._address is not None
        try:
            sock = open_datagram_socket(*self._address)
        except OSError as error:
            return error
        self._read_from(self._peers, sock)
        if self._last_error:
            log.info("listening for messages of limiters at %s:%d", *self._address)
        self._last_error = ""
        return None

    def _wait_for_address(self, error: OSError) -> None:
        """Send from another port until the address can be bound."""
        self._send_unbound()
        self._retry_after(error)

    def _bind_or_retry(self) -> None:
        self._cancel_retry()
        if (error := self._bind()) is not None:
            self._retry_after(error)

    def _retry_after(self, error: OSError) -> None:
        """Try to bind again later; an error is logged when it differs from the one before it."""
        if str(error) != self._last_error:
            self._last_error = str(error)
            message = "cannot listen for messages of limiters: %s; trying again every %g s"
            log.error(message, error, BIND_RETRY_SECONDS)
        self._retry_timer = asyncio.get_running_loop().call_later(BIND_RETRY_SECONDS, self._bind_or_retry)

    def _cancel_retry(self) -> None:
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None


def _enabled_addresses(config: Config) -> PeerAddresses | None:
    """Return the addresses for messages, or None if the settings allow none."""
    return config.peers if config.settings.may_message_peers else None
