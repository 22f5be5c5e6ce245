"""In-memory connections that behave like TCP as far as a program can observe: order, split and joined writes, delay,
full buffers, half-closed and silent peers, resets, refused and unanswered connection attempts.

| event | what the other end sees |
| --- | --- |
| ``write`` | the bytes, in order, in pieces that the seed decides |
| ``close`` | all written bytes, then the end (``eof_received``) |
| ``abort``, SIGKILL | the bytes in the socket buffer, then the end; or a reset before them, if data were unread |
| ``abort`` with SO_LINGER 0 | a reset: ``connection_lost`` with ConnectionResetError; bytes in flight are lost |
| ``write_eof`` | the end, while it can still write |
| a cut between the hosts | nothing; what is sent stays in flight until the cut is healed |
"""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from collections import deque
from collections.abc import Callable
from contextvars import Context
from random import Random
from typing import Any, Protocol, cast

from cypresspulley.rehearsal.virtual.datagrams import DatagramSocket
from cypresspulley.rehearsal.virtual.owner import OWNER, Owner, VirtualHandle

HIGH_WATER_BYTES = 64 * 1024  # bytes in the write buffer of a transport above which it calls pause_writing
SOCKET_BUFFER_BYTES = 128 * 1024  # bytes in flight to a reader that reads nothing
# One-way delay in seconds.
MIN_DELAY = 1e-4
MAX_DELAY = 4e-4
MAX_BACKLOG = 128  # connections that the process of a listener has not accepted yet
DRAIN_POLL_INTERVAL = 0.02  # seconds between two checks whether the backlog of a closing listener is empty
FIRST_PORT = 40_000
Address = tuple[str, int]


class NetworkLoop(Protocol):
    """The part of the event loop that the network uses."""

    def time(self) -> float: ...

    def call_later(
        self, delay: float, callback: Any, *args: Any, context: Context | None = None
    ) -> VirtualHandle: ...

    def create_future(self) -> asyncio.Future[Any]: ...


class Path:
    """One direction of a connection: the bytes in flight and the timer of their delivery."""

    def __init__(self, network: VirtualNetwork, reader: VirtualTransport) -> None:
        self._network, self._reader = network, reader
        self._in_flight = deque[bytes | None]()  # None is the end of the stream
        self._timer: VirtualHandle | None = None
        self.size, self._pacing_delay = 0, 0.0

    def send(self, data: bytes | None) -> None:
        self._in_flight.append(data)
        self.size += len(data or b"")
        self.wake()

    def wake(self) -> None:
        """Schedule the next piece, unless the reader is paused, the hosts are cut off or a delivery is scheduled."""
        cut = self._network.is_cut(self._reader.address, self._reader.peer_address)
        if self._timer is None and self._in_flight and not self._reader.paused and not cut:
            self._timer = self._network.later(self._network.delay() + self._pacing_delay, self._deliver)
            self._pacing_delay = 0.0

    def drop(self) -> None:
        self._in_flight.clear()
        self.size = 0
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _deliver(self) -> None:
        self._timer = None
        cut = self._network.is_cut(self._reader.address, self._reader.peer_address)
        if self._reader.paused or cut or not self._in_flight:
            return
        data = self._in_flight.popleft()
        if data is None:
            return self._reader.receive_eof()
        # Pieces are joined and split at random, since TCP keeps no message boundaries.
        while self._in_flight and self._in_flight[0] is not None and self._network.rng.random() < 0.5:
            data += cast(bytes, self._in_flight.popleft())
        if len(data) > 1 and self._network.rng.random() < 0.5:
            at = self._network.rng.randrange(1, len(data))
            self._in_flight.appendleft(data[at:])
            data = data[:at]
        self.size -= len(data)
        if self._network.bandwidth:
            # The next piece waits until this one is transmitted.
            self._pacing_delay = len(data) / self._network.bandwidth
        self._reader.receive_data(data)
        self.wake()


class VirtualTransport(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, network: VirtualNetwork, protocol: Any, address: Address, peer: Address) -> None:
        super().__init__()
        self._network, self._protocol = network, protocol
        self.address, self.peer_address = address, peer
        self.paused = self._closing = self._is_lost = self._is_eof_queued = self._is_writing_paused = False
        self._write_buffer = deque[bytes]()  # written but not yet in flight, for lack of buffer space
        self._write_buffer_size, self._high_water, self._low_water = (
            0,
            HIGH_WATER_BYTES,
            HIGH_WATER_BYTES // 4,
        )
        self._eof_sent = False
        self._socket = _TransportSocket(network, self)
        self._unread_bytes = 0  # bytes that arrived while the process was stopped
        self.owner: Owner | None = None
        self.outgoing: Path = cast(Path, None)
        self.peer: VirtualTransport = cast(VirtualTransport, None)

    def __repr__(self) -> str:
        state = "lost" if self._is_lost else "closing" if self._closing else "open"
        return f"<VirtualTransport {self.address} to {self.peer_address} {state}{' paused' * self.paused}>"

    @property
    def has_unread(self) -> bool:
        """True if bytes arrived that the process has not read, because it is stopped or reading is paused."""
        return self._unread_bytes > 0 or (self.paused and self.peer.outgoing.size > 0)

    # The interface of asyncio.Transport.

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        known = {"peername": self.peer_address, "sockname": self.address, "socket": self._socket}
        return known.get(name, default)

    def get_protocol(self) -> asyncio.BaseProtocol:
        return cast(asyncio.BaseProtocol, self._protocol)

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        self._protocol = protocol

    def is_closing(self) -> bool:
        return self._closing

    def is_reading(self) -> bool:
        return not self.paused and not self._closing

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False
        if self.peer is not None:
            self.peer.outgoing.wake()

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        self._high_water = HIGH_WATER_BYTES if high is None else high
        self._low_water = self._high_water // 4 if low is None else low
        self._update_flow_control()

    def get_write_buffer_size(self) -> int:
        return self._write_buffer_size

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if self._eof_sent:
            raise RuntimeError("Cannot call write() after write_eof()")
        if self._closing or not data:
            return
        self._write_buffer.append(bytes(data))
        self._write_buffer_size += len(data)
        self.flush()
        if self.owner is not None and self.owner.writes_left:
            self.owner.count_write()

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        if not self._eof_sent and not self._closing:
            self._eof_sent = True
            self.flush()

    def close(self) -> None:
        if not self._closing:
            self._closing = True
            self.flush()
            if not self._write_buffer:
                self._network.later(0, self._finish_close, None)

    def abort(self) -> None:
        if self._is_lost:
            return
        self._closing = True
        self._write_buffer.clear()
        self._write_buffer_size = 0
        self._network.later(0, self._finish_close, None)
        self._close_at_once()

    def _close_at_once(self) -> None:
        """Close the connection as the kernel does for a process that is gone. Bytes in the socket buffer are still
        sent, unless data lie here unread or the program asked for a reset, which overtakes bytes in flight."""
        if self.peer._is_lost:
            return
        if self._socket.resets_on_close or self.peer.outgoing.size:
            self.outgoing.drop()
            self._network.later(self._network.delay(), self.peer.receive_reset)
        elif not self._is_eof_queued:
            self._is_eof_queued = True
            self.outgoing.send(None)

    # Events of the path.

    def flush(self) -> None:
        """Send from the write buffer as far as the socket buffer has space."""
        while self._write_buffer and self.outgoing.size < SOCKET_BUFFER_BYTES:
            data = self._write_buffer.popleft()
            space = SOCKET_BUFFER_BYTES - self.outgoing.size
            if len(data) > space:
                self._write_buffer.appendleft(data[space:])
                data = data[:space]
            self._write_buffer_size -= len(data)
            self.outgoing.send(data)
        if not self._write_buffer and not self._is_eof_queued and (self._eof_sent or self._closing):
            self._is_eof_queued = True
            self.outgoing.send(None)
            if self._closing:
                self._network.later(0, self._finish_close, None)
        self._update_flow_control()

    def _update_flow_control(self) -> None:
        if not self._is_writing_paused and self._write_buffer_size > self._high_water:
            self._is_writing_paused = True
            self._call_protocol(self._protocol.pause_writing)
        elif self._is_writing_paused and self._write_buffer_size <= self._low_water:
            self._is_writing_paused = False
            self._call_protocol(self._protocol.resume_writing)

    def _defer_if_stopped(self, callback: Callable[..., None], *args: Any) -> bool:
        """Defer a callback until its process is resumed; return False if the process is not stopped."""
        if self.owner is None or not self.owner.is_stopped:
            return False
        self.owner.deferred.append(self._network.handle(callback, *args))
        return True

    def opened(self) -> None:
        if not self._defer_if_stopped(self.opened):
            self._call_protocol(self._protocol.connection_made, self)

    def receive_data(self, data: bytes) -> None:
        if self._defer_if_stopped(self._receive_deferred, data):
            self._unread_bytes += len(data)
            return
        if not self._closing:
            self._call_protocol(self._protocol.data_received, data)
        self.peer.flush()

    def _receive_deferred(self, data: bytes) -> None:
        self._unread_bytes -= len(data)
        self.receive_data(data)

    def receive_eof(self) -> None:
        if self._defer_if_stopped(self.receive_eof) or self._closing:
            return
        if not self._call_protocol(self._protocol.eof_received):
            self.close()

    def receive_reset(self) -> None:
        if not self._defer_if_stopped(self.receive_reset) and not self._is_lost:
            self._closing = True
            self.outgoing.drop()
            self._finish_close(ConnectionResetError(104, "Connection reset by peer"))

    def _call_protocol(self, callback: Callable[..., Any], *args: Any) -> Any:
        """Call the protocol as its owner, so that what it schedules ends with that owner."""
        token = OWNER.set(self.owner)
        try:
            return callback(*args)
        finally:
            OWNER.reset(token)

    def discard(self) -> None:
        """Close the connection as the kernel does when its process is gone; the protocol is not notified."""
        self._is_lost = self._closing = True
        self._write_buffer.clear()
        self._network.open_ends.pop(self, None)
        self._close_at_once()

    def _finish_close(self, error: Exception | None) -> None:
        if not self._is_lost:
            self._is_lost = True
            self._network.unregister(self)
            self._call_protocol(self._protocol.connection_lost, error)


class _TransportSocket:
    """Replaces the socket of a connection: options, and a descriptor that shows whether bytes are unread."""

    def __init__(self, network: VirtualNetwork, transport: VirtualTransport) -> None:
        self._network, self._transport, self.resets_on_close = network, transport, False

    def fileno(self) -> int:
        shown = self._network.unread_socket if self._transport.has_unread else self._network.idle_socket
        return shown.fileno()

    def getsockopt(self, level: int, option: int, size: int = 0) -> Any:
        raise OSError(errno.ENOPROTOOPT, os.strerror(errno.ENOPROTOOPT))

    def setsockopt(self, level: int, option: int, value: Any) -> None:
        self.resets_on_close = self.resets_on_close or (level, option) == (
            socket.SOL_SOCKET,
            socket.SO_LINGER,
        )


class _ListeningSocket:
    """Replaces a listening socket; it only knows its address."""

    def __init__(self, address: Address) -> None:
        self._address = address

    def getsockname(self) -> Address:
        return self._address


class VirtualServer:
    """A listening address. While it is blocked, connection attempts get no answer, as from an unreachable host.

    Connections for which its process has no descriptor wait in ``backlog``; while that is full, further connection
    attempts get no answer."""

    def __init__(self, network: VirtualNetwork, factory: Callable[[], Any], address: Address) -> None:
        self._network, self.factory, self.address, self.blocked = network, factory, address, False
        self.owner = OWNER.get()
        self.backlog = deque[VirtualTransport]()

    def close(self) -> None:
        self._network.listeners.pop(self.address, None)
        self.reset_backlog()

    def reset_backlog(self) -> None:
        """Reset the connections in the backlog, which will not be accepted any more."""
        while self.backlog:
            self.backlog.popleft().discard()

    async def wait_closed(self) -> None: ...

    @property
    def sockets(self) -> tuple[_ListeningSocket, ...]:
        return (_ListeningSocket(self.address),)

    def is_serving(self) -> bool:
        return self._network.listeners.get(self.address) is self

    # The interface of a front's listener. Accepted connections reach their process at once, so none is pending.

    pending = 0

    def pause(self) -> None:
        raise NotImplementedError("a virtual listener is never handed over")

    def resume(self) -> None:
        raise NotImplementedError("a virtual listener is never handed over")

    async def drain(self, deadline: float) -> None:
        """Close once the backlog is empty, or at the deadline."""
        while self.backlog and self._network.loop.time() < deadline:
            await asyncio.sleep(DRAIN_POLL_INTERVAL)
        self.close()


class VirtualNetwork:
    """All listeners and connections of one loop. ``bandwidth`` is in bytes per second per path; 0 for no limit."""

    def __init__(self, loop: NetworkLoop, seed: int, bandwidth: float = 0.0) -> None:
        self.loop, self.rng, self.bandwidth = loop, Random(seed), bandwidth
        self.listeners = dict[Address, VirtualServer]()
        # Programs ask the socket of a connection for options and unread bytes (FIONREAD). They get one that is never
        # connected, or one with a byte that is never read.
        self.idle_socket = socket.socket()
        self.unread_socket, self._writer = socket.socketpair()
        self._writer.send(b"\0")
        self.open_ends = dict[VirtualTransport, None]()
        self.sockets = dict[Address, DatagramSocket]()
        self._cuts = set[frozenset[str]]()
        self._last_port = FIRST_PORT

    def __repr__(self) -> str:
        return f"<VirtualNetwork {len(self.listeners)} listeners, {len(self.open_ends)} ends open>"

    def later(self, seconds: float, callback: Callable[..., Any], *args: Any) -> VirtualHandle:
        """Schedule a callback of the network, which belongs to no process and so outlives the one that caused it."""
        return self.loop.call_later(seconds, callback, *args, context=Context())

    def handle(self, callback: Callable[..., Any], *args: Any) -> VirtualHandle:
        """Make a handle of the network whose time to run is decided elsewhere."""
        return VirtualHandle(callback, args, Context(), self.loop.time())

    def discard(self, owner: Owner) -> None:
        """Close the listeners and reset the connections of a process that is gone."""
        for server in [server for server in self.listeners.values() if server.owner is owner]:
            server.close()
        for end in [end for end in self.open_ends if end.owner is owner]:
            end.discard()
        for bound in [bound for bound in self.sockets.values() if bound.owner is owner]:
            bound.discard()

    def close(self) -> None:
        for each in (self.idle_socket, self.unread_socket, self._writer):
            each.close()

    def delay(self) -> float:
        return self.rng.uniform(MIN_DELAY, MAX_DELAY)

    def is_cut(self, one: Address, other: Address) -> bool:
        return bool(self._cuts) and frozenset((one[0], other[0])) in self._cuts

    def cut(self, one: str, other: str) -> None:
        """Cut two hosts off from each other: nothing arrives, no connection is established and none is reset."""
        self._cuts.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """End a cut; what was in flight is delivered."""
        self._cuts.discard(frozenset((one, other)))
        for end in list(self.open_ends):
            end.outgoing.wake()

    def listen(self, factory: Callable[[], Any], host: str, port: int) -> VirtualServer:
        address = (host, port or self._next_port())
        if address in self.listeners:
            raise OSError(98, f"address already in use: {host}:{address[1]}")
        server = self.listeners[address] = VirtualServer(self, factory, address)
        return server

    def bind(self, factory: Callable[[], Any], host: str, port: int) -> tuple[DatagramSocket, Any]:
        """Open a datagram socket, which belongs to the owner that asks for it."""
        address = (host, port or self._next_port())
        if address in self.sockets:
            raise OSError(98, f"address already in use: {host}:{address[1]}")
        protocol = factory()
        bound = DatagramSocket(self, self.sockets, address, protocol)
        bound.open()
        return bound, protocol

    def _next_port(self) -> int:
        self._last_port += 1
        return self._last_port

    async def connect(
        self, factory: Callable[[], Any], host: str, port: int, source: str = "127.0.0.1"
    ) -> tuple[VirtualTransport, Any]:
        """Open a connection. Raise ConnectionRefusedError if nobody listens; wait for ever if the hosts are cut."""
        caller = OWNER.get()
        if not self._has_descriptor_left(caller):
            raise OSError(24, "Too many open files")
        await asyncio.sleep(2 * self.delay())
        server = self.listeners.get((host, port))
        full = server is not None and (server.blocked or len(server.backlog) >= MAX_BACKLOG)
        if self.is_cut((source, 0), (host, port)) or full:
            await self.loop.create_future()
        if server is None:
            raise ConnectionRefusedError(111, f"Connect call failed ('{host}', {port})")
        here, there = (source, self._next_port()), (host, port)
        near_protocol = factory()
        near = VirtualTransport(self, near_protocol, here, there)
        far = VirtualTransport(self, None, there, here)
        near.peer, far.peer = far, near
        near.outgoing, far.outgoing = Path(self, far), Path(self, near)
        near.owner, far.owner = caller, server.owner
        self._register(near)
        far.paused = True  # until the connection is accepted
        server.backlog.append(far)
        self._accept(server)
        near.opened()
        return near, near_protocol

    def _has_descriptor_left(self, owner: Owner | None) -> bool:
        """True if a process has a descriptor left for one more connection."""
        if owner is None or owner.descriptors == 0:
            return True
        return owner.connections < owner.descriptors

    def _register(self, end: VirtualTransport) -> None:
        self.open_ends[end] = None
        if end.owner is not None:
            end.owner.connections += 1

    def _accept(self, server: VirtualServer) -> None:
        """Accept connections from the backlog, as far as the process has descriptors."""
        while server.backlog and self._has_descriptor_left(server.owner):
            far = server.backlog.popleft()
            if far._is_lost:
                continue  # the connecting side has closed it meanwhile
            token = OWNER.set(server.owner)
            far._protocol = server.factory()
            OWNER.reset(token)
            self._register(far)
            far.opened()
            far.resume_reading()

    def unregister(self, end: VirtualTransport) -> None:
        """Remove a closed end; its process may then accept one from a backlog."""
        known = self.open_ends.pop(end, end) is None
        if end.owner is not None and known:
            end.owner.connections -= 1
            for server in list(self.listeners.values()):
                if server.owner is end.owner and server.backlog:
                    self.later(0, self._accept, server)
