"""Bodies that pass as they arrive, with backpressure: an upload to a server, a download to a client.

No decision is made here. What is small is handed over whole, as ever; what is larger than ``MAX_REPLAYABLE_BYTES``
flows. Of each
transfer no more is held than one side's buffer up to ``high_water()`` and what one read brings, which the kernel's
buffers bound: they are cut to ``SOCKET_BUFFER_BYTES``.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable
from typing import Protocol

MAX_REPLAYABLE_BYTES = (
    64 * 1024
)  # bytes of an upload that are kept for another attempt; beyond them there is none
MAX_STREAMED_BODY_BYTES = (
    48 * 1024 * 1024
)  # bytes of one body: what says that it is larger is no body of this platform
# Bytes that all transfers' buffers together may hold, beside ``MIN_HIGH_WATER_BYTES`` and a read of each.
MAX_BUFFERED_BYTES = 24 * 1024 * 1024
# Of one transfer. An attempt is out, and its server held, until its last byte has been read here: what finds room
# ends sooner.
MAX_HIGH_WATER_BYTES = 2 * 1024 * 1024
MIN_HIGH_WATER_BYTES = 4 * 1024
HIGH_WATER_DIVISOR = 4  # of the room that is left, one transfer may take a quarter
# Bytes of a socket's own buffers; the kernel gives twice as much. Half of it is less than a segment on loopback: each
# then waits 40 ms for its acknowledgement (an upload of 3 MB took more than 20 s).
SOCKET_BUFFER_BYTES = 32 * 1024
MIN_BODY_BYTES_PER_SECOND = 8192  # bytes a second below which an upload counts as stalled
UPLOAD_RATE_WINDOW_SECONDS = 4.0  # seconds over which that is counted
# seconds for which a server may give nothing of an answer that is read, or take nothing of an upload
SERVER_STALL_SECONDS = 10.0
CLIENT_STALL_SECONDS = 60.0  # and a client may take nothing of what is there


LAST_CHUNK = b"0\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """One chunk of a chunked body (RFC 9112, 7.1)."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def framing(length: int | None, chunks: bool) -> bytes:
    """The header line that says where a body ends; none where only its connection's end does."""
    if length is not None:
        return b"Content-Length: %d\r\n" % length
    return b"Transfer-Encoding: chunked\r\n" if chunks else b""


def limit_receive_buffer(sock: socket.socket) -> None:
    """Bound what the kernel takes in on a connection that may bring a large body: one read brings all of it."""
    with contextlib.suppress(OSError):  # the connection has ended, or its kind has no such bound
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)


class Relay:
    """What is under way, for the bound on all together."""

    def __init__(self) -> None:
        self.active = 0
        self.buffered = 0  # bytes that wait for clients, as of when each transfer last moved

    def __repr__(self) -> str:
        return f"<Relay {self.active} transfers, {self.buffered} bytes buffered, {self.high_water()} for the next>"

    def high_water(self) -> int:
        """Bytes in one transfer's buffer from which its source is no longer read."""
        return max(
            MIN_HIGH_WATER_BYTES,
            min(MAX_HIGH_WATER_BYTES, (MAX_BUFFERED_BYTES - self.buffered) // HIGH_WATER_DIVISOR),
        )

    def begin(self, sock: socket.socket) -> None:
        """One more transfer, on a server's socket."""
        self.active += 1
        self.limit_socket_buffers(sock)

    def limit_socket_buffers(self, sock: socket.socket) -> None:
        """Bound what the kernel holds of a large transfer, and with it what one read brings."""
        limit_receive_buffer(sock)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)

    def end(self) -> None:
        self.active -= 1


class Sink(Protocol):
    """A connection to a server that an upload flows into."""

    def put(self, data: bytes) -> None: ...

    def put_end(self) -> None:
        """The last byte has been put."""
        ...


class Upload:
    """A body on its way from a client. ``hold`` says whether the client is to be read; ``on_progress`` hears
    whether the last byte has come, and whether all that has come is still kept."""

    def __init__(self, length: int | None, hold: Callable[[bool], None]) -> None:
        self.length = length  # None: in chunks
        self.size = 0  # bytes that have come
        self.whole = False  # the last byte has come
        self.discarded = False  # the first bytes are no longer kept
        self.held = False  # the client is not read for now
        self.on_progress: Callable[[bool, bool], None] = lambda _whole, _kept: None
        self._hold = hold
        self._kept = list[bytes]()
        self._sink: Sink | None = None

    def __repr__(self) -> str:
        state = "whole" if self.whole else "held" if self.held else "flowing"
        return f"<Upload {self.size} of {self.length or 'unknown'} bytes, {state}{', discarded' * self.discarded}>"

    @property
    def framing(self) -> bytes:
        """The header line that says where the body ends."""
        return framing(self.length, chunks=True)

    def _framed(self, data: bytes) -> bytes:
        return chunk(data) if self.length is None else data

    def feed(self, data: bytes) -> None:
        """Bytes that have come."""
        self.size += len(data)
        if not self.discarded:
            self._kept.append(data)
            if self.size > MAX_REPLAYABLE_BYTES and self._sink is not None:
                self._discard()
        if self._sink is not None:
            self._sink.put(self._framed(data))
        elif self.size > MAX_REPLAYABLE_BYTES:
            self.hold(True)  # nobody takes it yet, and no more is kept

    def finish(self) -> None:
        """The last byte has come."""
        self.whole = True
        if self._sink is not None:
            self._end(self._sink)
        self.on_progress(True, not self.discarded)

    def _end(self, sink: Sink) -> None:
        if self.length is None:
            sink.put(LAST_CHUNK)
        sink.put_end()

    def _discard(self) -> None:
        self.discarded, self._kept = True, []
        self.on_progress(self.whole, False)

    def attach(self, sink: Sink) -> bool:
        """Flow into an attempt's connection, from the first byte; False where that is no longer kept."""
        if self.discarded:
            return False
        self._sink, kept = sink, b"".join(self._kept)
        if self.size > MAX_REPLAYABLE_BYTES:
            self._discard()
        if kept:
            sink.put(self._framed(kept))
        if self.whole:
            self._end(sink)
        else:
            self.hold(False)
        return True

    def detach(self, sink: Sink) -> None:
        """The attempt is over."""
        if self._sink is sink:
            self._sink = None
            if not self.whole:
                self.hold(self.size > MAX_REPLAYABLE_BYTES)

    def hold(self, held: bool) -> None:
        """Whether the client waits: its bytes find no room on the other side."""
        if held is not self.held:
            self.held = held
            self._hold(held)


class Source(Protocol):
    """A connection to a server that a download flows out of."""

    def hold(self, held: bool) -> None:
        """Whether the server waits."""
        ...

    def drop(self) -> None:
        """Nobody takes the rest."""
        ...


class Download:
    """A body on its way to a client: pieces wait here until its turn on the connection has come."""

    def __init__(self, length: int | None, headers: bytes, source: Source) -> None:
        self.length = length  # None: it ends when it ends
        self.headers = headers
        self._source = source
        self.pieces = list[bytes]()  # before its turn
        self.write: Callable[[bytes], None] | None = None
        self.size = 0  # bytes of the body that went on to the client
        self.chunked = False
        self.whole = self.broken = False

    def __repr__(self) -> str:
        state = "whole" if self.whole else "broken" if self.broken else "flowing" if self.write else "waiting"
        return f"<Download of {self.length or 'unknown'} bytes, {state}>"

    def put(self, data: bytes) -> None:
        """Bytes that the server gave."""
        if self.write is None:
            self.pieces.append(data)
            self._source.hold(True)  # others' answers come first
        else:
            self.size += len(data)
            self.write(chunk(data) if self.chunked else data)

    def start(self, write: Callable[[bytes], None], chunked: bool) -> None:
        """All before it is written: from now on it flows."""
        self.write, self.chunked = write, chunked
        pieces, self.pieces = self.pieces, []
        if pieces:
            self.put(b"".join(pieces))
        self._source.hold(False)

    def hold(self, held: bool) -> None:
        self._source.hold(held)

    def drop(self) -> None:
        """The client has gone."""
        self._source.drop()
