"""Listening sockets that keep the connections in their accept queue when accept fails.

When no file descriptors are left, the event loop's own servers accept and close every queued connection. A client may
already have written a request to a connection that the kernel has established, so this listener leaves the connections
in the queue and calls accept again after a short delay, without busy-waiting.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import select
import socket
from collections.abc import Callable
from enum import Enum
from typing import Protocol

log = logging.getLogger(__name__)

ACCEPT_RETRY_SECONDS = (
    0.02  # delay before accept is called again after a failure or while there is no capacity
)
LOG_INTERVAL_SECONDS = 1.0  # minimum time between two log lines about failures of accept
# Errors from exhausted resources of the process or host; the connection stays in the queue.
EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
# Errors of the connection that was to be accepted, which leaves the queue with them (accept(2), "Error handling").
CONNECTION_FAILED = frozenset({
    errno.ECONNABORTED, errno.EPROTO, errno.EPERM, errno.ENETDOWN, errno.ENOPROTOOPT, errno.EHOSTDOWN, errno.ENONET,
    errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ENETUNREACH, errno.ETIMEDOUT, errno.ECONNRESET,
})  # fmt: skip

ProtocolFactory = Callable[[], asyncio.Protocol]


class AcceptResult(Enum):
    """The result of one attempt to accept a connection."""

    EMPTY = "empty"  # no connection is queued
    ACCEPTED = "accepted"
    BLOCKED = "blocked"  # accept failed, or there is no capacity: connections stay queued


class Listener(Protocol):
    """An object that accepts connections for the frontend."""

    @property
    def address(self) -> tuple[str, int]: ...

    def pause(self) -> None: ...

    def resume(self) -> None: ...

    async def drain(self, deadline: float) -> None: ...

    def close(self) -> None: ...


class Capacity(Protocol):
    """The limit on the number of connections that the frontend can hold."""

    @property
    def full(self) -> bool: ...

    def make_room(self) -> bool:
        """Close a connection that has no request in progress; return whether there was one."""
        ...


class SocketListener:
    """Accepts connections from a listening socket while ``capacity`` allows, and creates a protocol for each.

    The protocol is created when its connection is accepted. It receives ``connection_lost`` even if the connection
    failed before ``connection_made``.
    """

    def __init__(
        self, sock: socket.socket, factory: ProtocolFactory, capacity: Capacity | None = None
    ) -> None:
        sock.setblocking(False)
        self.sock = sock
        self._factory = factory
        self._capacity = capacity
        self._loop = asyncio.get_running_loop()
        self._tasks = set[asyncio.Task[None]]()
        self._retry_timer: asyncio.TimerHandle | None = None
        self._paused = True
        self._last_logged_at = float("-inf")

    def __repr__(self) -> str:
        state = "paused" if self._paused else "accepting"
        return f"<SocketListener {state}, {len(self._tasks)} connecting>"

    @property
    def address(self) -> tuple[str, int]:
        """The host and port that the socket is bound to."""
        name = self.sock.getsockname()
        return name[0], name[1]

    @property
    def paused(self) -> bool:
        """Whether new connections currently stay in the kernel's queue."""
        return self._paused

    def pause(self) -> None:
        """Stop accepting; new connections stay in the kernel's queue."""
        if not self._paused:
            self._paused = True
            self._stop_polling()

    def resume(self) -> None:
        """Start accepting connections."""
        if self._paused and self.sock.fileno() >= 0:
            self._paused = False
            self._loop.add_reader(self.sock.fileno(), self._on_readable)

    async def drain(self, deadline: float) -> None:
        """Accept every queued connection, then close the socket without yielding, so that none is reset in between.

        ``deadline``, on the loop's clock, limits only the wait for file descriptors or capacity; a long queue is
        still accepted completely. Return once every accepted connection has reached its protocol.
        """
        self.pause()
        while (step := self._accept()) is not AcceptResult.EMPTY:
            if step is AcceptResult.ACCEPTED:
                await asyncio.sleep(0)  # serves the connections that were accepted before
            elif self._loop.time() < deadline:
                await asyncio.sleep(ACCEPT_RETRY_SECONDS)
            else:
                log.error("connections remain in the accept queue: no capacity before the drain deadline")
                break
        self.close()
        if self._tasks:
            await asyncio.wait(self._tasks)

    def close(self) -> None:
        """Close the socket; the kernel resets queued connections unless another process shares the socket."""
        self.pause()
        self.sock.close()

    def _stop_polling(self) -> None:
        self._loop.remove_reader(self.sock.fileno())
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None

    def _on_readable(self) -> None:
        if self._accept() is AcceptResult.BLOCKED:
            # The socket stays readable, so keeping the reader would make the loop spin.
            self._loop.remove_reader(self.sock.fileno())
            self._retry_timer = self._loop.call_later(ACCEPT_RETRY_SECONDS, self._retry_accept)

    def _retry_accept(self) -> None:
        self._retry_timer = None
        self._loop.add_reader(self.sock.fileno(), self._on_readable)
        self._on_readable()

    def _has_queued_connection(self) -> bool:
        """Return whether a connection is queued."""
        poll = select.poll()
        poll.register(self.sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def _accept(self) -> AcceptResult:
        """Accept one connection; the loop serves the existing ones between two calls."""
        if self._capacity is not None and self._capacity.full:
            if not self._has_queued_connection():
                return AcceptResult.EMPTY
            if not self._capacity.make_room():
                return AcceptResult.BLOCKED
        try:
            accepted, _ = self.sock.accept()
        except BlockingIOError:
            return AcceptResult.EMPTY
        except OSError as error:
            if error.errno in CONNECTION_FAILED:
                return AcceptResult.ACCEPTED  # the connection has left the queue
            self._log_failure(error)
            return AcceptResult.BLOCKED
        task = self._loop.create_task(self._connect(self._factory(), accepted))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return AcceptResult.ACCEPTED

    async def _connect(self, protocol: asyncio.Protocol, accepted: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(lambda: protocol, accepted)
        except OSError as error:
            log.warning("accepted connection had already ended: %s", error)
            accepted.close()
            protocol.connection_lost(error)

    def _log_failure(self, error: OSError) -> None:
        now = self._loop.time()
        if now - self._last_logged_at >= LOG_INTERVAL_SECONDS:
            self._last_logged_at = now
            log.warning("accept failed and will be retried: %s", error)


def bind(host: str, port: int, backlog: int, *, share_port: bool = False) -> socket.socket:
    """Return a listening socket; ``share_port`` allows a second process to listen on the same address.

    Raise OSError if the address cannot be bound.
    """
    family, kind, protocol, _, address = socket.getaddrinfo(
        host, port, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE
    )[0]
    sock = socket.socket(family, kind, protocol)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if share_port:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address)
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


async def open_listener(
    host: str, port: int, backlog: int, factory: ProtocolFactory, capacity: Capacity | None = None
) -> Listener:
    """Return a listener that is accepting connections.

    A loop without file descriptors, such as the virtual-time loop, provides its own listener. Raise OSError if the
    address cannot be bound.
    """
    loop_factory = getattr(asyncio.get_running_loop(), "open_listener", None)
    if loop_factory is not None:
        virtual: Listener = loop_factory(host, port, factory)
        return virtual
    listener = SocketListener(bind(host, port, backlog), factory, capacity)
    listener.resume()
    return listener
