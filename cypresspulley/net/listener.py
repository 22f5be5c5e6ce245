"""A listening socket whose accept queue is taken by this process's own steps, through every failure of accept.

The event loop's own servers answer a full descriptor table by accepting and closing all that waits. A request counts as
taken once it is written to a connection that the machine has accepted, so what waits in the queue is kept here until it
can be taken: accept is tried again soon, and never in a spin.
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

ACCEPT_RETRY_SECONDS = 0.02  # seconds until accept is tried again after a failure, or while there is no room
LOG_INTERVAL_SECONDS = 1.0  # seconds between two lines on accept's failures
# Failures of the machine, where the connection stays in the queue.
EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
# Failures of the one connection that was to be accepted, which is gone with it (accept(2), "Error handling").
CONNECTION_FAILED = frozenset({
    errno.ECONNABORTED, errno.EPROTO, errno.EPERM, errno.ENETDOWN, errno.ENOPROTOOPT, errno.EHOSTDOWN, errno.ENONET,
    errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ENETUNREACH, errno.ETIMEDOUT, errno.ECONNRESET,
})  # fmt: skip

ProtocolFactory = Callable[[], asyncio.Protocol]


class AcceptResult(Enum):
    """What one attempt to accept came to."""

    EMPTY = "empty"  # nothing waits
    ACCEPTED = "accepted"
    BLOCKED = "blocked"  # accept failed, or there is no room: what waits is kept


class Listener(Protocol):
    """What accepts connections for a front."""

    @property
    def address(self) -> tuple[str, int]: ...

    def pause(self) -> None: ...

    def resume(self) -> None: ...

    async def drain(self, deadline: float) -> None: ...

    def close(self) -> None: ...


class Capacity(Protocol):
    """How many connections a front can hold."""

    @property
    def full(self) -> bool: ...

    def make_room(self) -> bool:
        """Close a connection that has nothing to lose; whether there was one."""
        ...


class SocketListener:
    """Accepts from a listening socket while ``capacity`` has room, and makes a protocol for each connection.

    A protocol is made as its connection is accepted, and ends with ``connection_lost`` also where it never began.
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
        self._retry: asyncio.TimerHandle | None = None
        self._paused = True
        self._logged_at = float("-inf")

    def __repr__(self) -> str:
        state = "paused" if self._paused else "accepting"
        return f"<SocketListener {state}, {len(self._tasks)} beginning>"

    @property
    def address(self) -> tuple[str, int]:
        """The host and port that it is bound to."""
        name = self.sock.getsockname()
        return name[0], name[1]

    @property
    def paused(self) -> bool:
        """Whether connections wait in the machine for now."""
        return self._paused

    def pause(self) -> None:
        """Accept nothing for now: connections wait in the machine."""
        if not self._paused:
            self._paused = True
            self._stop_waiting()

    def resume(self) -> None:
        """Accept from now on."""
        if self._paused and self.sock.fileno() >= 0:
            self._paused = False
            self._loop.add_reader(self.sock.fileno(), self._readable)

    async def drain(self, deadline: float) -> None:
        """Accept all that waits and close in the same step, so that no connection is reset between the two.

        ``deadline``, on the loop's clock, bounds only waiting for descriptors or room: a long queue is taken whole.
        Returns once each accepted connection has reached its protocol.
        """
        self.pause()
        while (step := self._accept()) is not AcceptResult.EMPTY:
            if step is AcceptResult.ACCEPTED:
                await asyncio.sleep(0)  # who was accepted before is served meanwhile
            elif self._loop.time() < deadline:
                await asyncio.sleep(ACCEPT_RETRY_SECONDS)
            else:
                log.error("connections are left in the accept queue: there is no room for them")
                break
        self.close()
        if self._tasks:
            await asyncio.wait(self._tasks)

    def close(self) -> None:
        """Stop listening; the machine resets what still waits, unless another process has this socket as well."""
        self.pause()
        self.sock.close()

    def _stop_waiting(self) -> None:
        self._loop.remove_reader(self.sock.fileno())
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None

    def _readable(self) -> None:
        if self._accept() is AcceptResult.BLOCKED:
            # The socket stays readable: watched on, it would hold the loop.
            self._loop.remove_reader(self.sock.fileno())
            self._retry = self._loop.call_later(ACCEPT_RETRY_SECONDS, self._try_again)

    def _try_again(self) -> None:
        self._retry = None
        self._loop.add_reader(self.sock.fileno(), self._readable)
        self._readable()

    def _readable_now(self) -> bool:
        """Whether a connection waits."""
        poll = select.poll()
        poll.register(self.sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def _accept(self) -> AcceptResult:
        """Accept one connection: between two of them the loop serves those that it has."""
        if self._capacity is not None and self._capacity.full:
            if not self._readable_now():
                return AcceptResult.EMPTY
            if not self._capacity.make_room():
                return AcceptResult.BLOCKED
        try:
            accepted, _ = self.sock.accept()
        except BlockingIOError:
            return AcceptResult.EMPTY
        except OSError as error:
            if error.errno in CONNECTION_FAILED:
                return AcceptResult.ACCEPTED  # and gone already
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
            log.warning("an accepted connection had ended: %s", error)
            accepted.close()
            protocol.connection_lost(error)

    def _log_failure(self, error: OSError) -> None:
        now = self._loop.time()
        if now - self._logged_at >= LOG_INTERVAL_SECONDS:
            self._logged_at = now
            log.warning("accept failed and is tried again: %s", error)


def bind(host: str, port: int, backlog: int, *, share_port: bool = False) -> socket.socket:
    """A listening socket. ``share_port`` lets a second process listen at the same address.

    Raises OSError where the address cannot be had.
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
    """A listener that accepts from now on. A loop without descriptors, as in virtual time, brings its own.

    Raises OSError where the address cannot be had.
    """
    own = getattr(asyncio.get_running_loop(), "open_listener", None)
    if own is not None:
        virtual: Listener = own(host, port, factory)
        return virtual
    listener = SocketListener(bind(host, port, backlog), factory, capacity)
    listener.resume()
    return listener
