"""Streaming of large request and response bodies, with backpressure in both directions.

This module makes no decisions. Small bodies are handed over complete; a body larger than ``MAX_REPLAYABLE_BYTES`` is
streamed. Each transfer buffers at most ``high_water()`` bytes plus what one read returns. An upload is read ahead of
its server up to there: only then is the end of the client's request, or of its connection, seen in time.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable
from typing import Protocol

MAX_REPLAYABLE_BYTES = (
    64 * 1024
)  # bytes of an upload kept for another attempt; larger uploads are sent only once
MAX_STREAMED_BODY_BYTES = (
    48 * 1024 * 1024
)  # the platform has no larger bodies, so larger lengths are rejected
# Default limit on the buffers of all transfers together, beside ``MIN_HIGH_WATER_BYTES`` and one read for each.
MAX_BUFFERED_BYTES = 24 * 1024 * 1024
# Range of the high-water mark of one transfer. An attempt occupies its server until its last byte has been read here,
# so buffering more of the response ends the attempt sooner.
MAX_HIGH_WATER_BYTES = 2 * 1024 * 1024
MIN_HIGH_WATER_BYTES = 4 * 1024
HIGH_WATER_DIVISOR = 4  # one transfer may use this fraction (1/4) of the remaining buffer space
# Size requested for a socket's kernel buffers; the kernel allocates twice as much. At half this size the buffer is
# smaller than a segment on loopback, and each segment waits 40 ms for its acknowledgement (an upload of 3 MB took more
# than 20 s).
SOCKET_BUFFER_BYTES = 32 * 1024
# What the kernels hold of a request that its client has written and this process has not read: Linux lets a send buffer
# grow to 4 MiB by itself (net.ipv4.tcp_wmem), and the receive buffer comes on top.
MAX_CLIENT_SOCKET_BYTES = 4 * 1024 * 1024 + 2 * SOCKET_BUFFER_BYTES
MIN_BODY_BYTES_PER_SECOND = 8192  # an upload slower than this counts as stalled
# Time for which an upload may bring less than that. A client that stops is owed its error within 3 s, and this is
# checked only now and then; slow clients send pieces of up to two seconds.
UPLOAD_RATE_WINDOW_SECONDS = 2.5
# Time for which a server may send nothing of a response that is being read, or accept nothing of an upload.
SERVER_STALL_SECONDS = 10.0
CLIENT_STALL_SECONDS = 60.0  # time for which a client may read nothing of a response that is ready for it


LAST_CHUNK = b"0\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """Encode data as one chunk of a chunked body (RFC 9112, 7.1)."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def framing(length: int | None, chunks: bool) -> bytes:
    """Return the header line that delimits a body; empty if the body ends when its connection closes."""
    if length is not None:
        return b"Content-Length: %d\r\n" % length
    return b"Transfer-Encoding: chunked\r\n" if chunks else b""


def limit_receive_buffer(sock: socket.socket) -> None:
    """Limit the kernel's receive buffer of a connection that may carry a large body; one read returns all of it."""
    with contextlib.suppress(OSError):  # the connection is closed, or its type has no such option
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)


class Relay:
    """Accounts for the transfers in progress, to limit the memory that they use together."""

    def __init__(self) -> None:
        self.active = 0
        self.buffered = 0  # bytes waiting for clients or servers, updated when each transfer makes progress
        self.limit_bytes = MAX_BUFFERED_BYTES

    def __repr__(self) -> str:
        return f"<Relay {self.active} transfers, {self.buffered} bytes buffered, {self.high_water()} for the next>"

    def high_water(self) -> int:
        """Return the buffer size in bytes at which a transfer stops reading from its source."""
        return max(
            MIN_HIGH_WATER_BYTES,
            min(MAX_HIGH_WATER_BYTES, (self.limit_bytes - self.buffered) // HIGH_WATER_DIVISOR),
        )

    def begin(self, sock: socket.socket) -> None:
        """Count one more transfer, on a server's socket, and limit the socket's buffers."""
        self.active += 1
        self.limit_socket_buffers(sock)

    def limit_socket_buffers(self, sock: socket.socket) -> None:
        """Limit the kernel buffers of a large transfer, and thereby the size of one read."""
        limit_receive_buffer(sock)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)

    def end(self) -> None:
        self.active -= 1


class Sink(Protocol):
    """A connection to a server that receives an upload."""

    def put(self, data: bytes) -> None: ...

    def put_end(self) -> None:
        """Signal that the last byte has been put."""
        ...


class Upload:
    """A request body being received from a client.

    ``hold`` is called with True to pause reading from the client and False to resume. ``on_progress`` is called with
    two flags: whether the last byte has been received, and whether everything received is still kept for a retry.
    """

    def __init__(self, length: int | None, hold: Callable[[bool], None], relay: Relay) -> None:
        self._relay = relay
        self.length = length  # None if the body is chunked
        self.size = 0  # bytes received
        self.complete = False  # the last byte has been received
        self.discarded = False  # the first bytes are no longer kept
        self.held = False  # reading from the client is paused
        self.on_progress: Callable[[bool, bool], None] = lambda _whole, _kept: None
        self._hold = hold
        self._kept = bytearray()
        self._sink: Sink | None = None

    def __repr__(self) -> str:
        state = "complete" if self.complete else "held" if self.held else "flowing"
        return f"<Upload {self.size} of {self.length or 'unknown'} bytes, {state}{', discarded' * self.discarded}>"

    @property
    def framing(self) -> bytes:
        """The header line that delimits the body."""
        return framing(self.length, chunks=True)

    def _framed(self, data: bytes) -> bytes:
        return chunk(data) if self.length is None else data

    def feed(self, data: bytes) -> None:
        """Process received bytes."""
        self.size += len(data)
        if not self.discarded:
            self._kept += data
            self._relay.buffered += len(data)
            if self.size > MAX_REPLAYABLE_BYTES and self._sink is not None:
                self._discard()
        if self._sink is not None:
            self._sink.put(self._framed(data))
        else:
            self.hold(self._is_full)  # no attempt takes the body yet

    @property
    def _is_full(self) -> bool:
        """Whether nothing more may be kept for an attempt that takes the body."""
        return self.discarded or len(self._kept) > self._relay.high_water()

    @property
    def may_be_sent_whole(self) -> bool:
        """Whether the client may have written the last byte, of which its kernel can hold the rest."""
        return self.length is None or self.length - self.size <= MAX_CLIENT_SOCKET_BYTES

    def release(self) -> None:
        """Give up the kept bytes: there will be no further attempt."""
        self._relay.buffered -= len(self._kept)
        self.discarded, self._kept = True, bytearray()

    def finish(self) -> None:
        """Process the end of the body."""
        self.complete = True
        if self._sink is not None:
            self._end(self._sink)
        self.on_progress(True, not self.discarded)

    def _end(self, sink: Sink) -> None:
        if self.length is None:
            sink.put(LAST_CHUNK)
        sink.put_end()

    def _discard(self) -> None:
        self.release()
        self.on_progress(self.complete, False)

    def attach(self, sink: Sink) -> bool:
        """Send the body to an attempt's connection from its first byte; return False if that is no longer kept."""
        if self.discarded:
            return False
        self._sink, kept = sink, bytes(self._kept)
        if self.size > MAX_REPLAYABLE_BYTES:
            self._discard()
        if kept:
            sink.put(self._framed(kept))
        if self.complete:
            self._end(sink)
        else:
            self.hold(False)
        return True

    def detach(self, sink: Sink) -> None:
        """Stop sending to an attempt that has ended."""
        if self._sink is sink:
            self._sink = None
            if not self.complete:
                self.hold(self._is_full)

    def hold(self, held: bool) -> None:
        """Pause (``held``) or resume reading from the client, according to the space on the server's side."""
        if held is not self.held:
            self.held = held
            self._hold(held)


class Source(Protocol):
    """A connection to a server that provides a download."""

    def hold(self, held: bool) -> None:
        """Pause (``held``) or resume reading from the server."""
        ...

    def drop(self) -> None:
        """Discard the rest of the body."""
        ...


class Download:
    """A response body being sent to a client; it is buffered until the earlier responses have been written."""

    def __init__(self, length: int | None, headers: bytes, source: Source) -> None:
        self.length = length  # None if unknown: the end of the stream is the end of the body
        self.headers = headers
        self._source = source
        self.pieces = list[bytes]()  # received before ``start``
        self.write: Callable[[bytes], None] | None = None
        self.size = 0  # bytes of the body written to the client
        self.chunked = False
        self.complete = self.broken = False

    def __repr__(self) -> str:
        state = (
            "complete"
            if self.complete
            else "broken"
            if self.broken
            else "flowing"
            if self.write
            else "waiting"
        )
        return f"<Download of {self.length or 'unknown'} bytes, {state}>"

    def put(self, data: bytes) -> None:
        """Process bytes received from the server."""
        if self.write is None:
            self.pieces.append(data)
            self._source.hold(True)  # earlier responses on the connection must be written first
        else:
            self.size += len(data)
            self.write(chunk(data) if self.chunked else data)

    def start(self, write: Callable[[bytes], None], chunked: bool) -> None:
        """Begin writing to the client, after all earlier responses have been written."""
        self.write, self.chunked = write, chunked
        pieces, self.pieces = self.pieces, []
        if pieces:
            self.put(b"".join(pieces))
        self._source.hold(False)

    def hold(self, held: bool) -> None:
        self._source.hold(held)

    def drop(self) -> None:
        """Discard the rest after the client has disconnected."""
        self._source.drop()
