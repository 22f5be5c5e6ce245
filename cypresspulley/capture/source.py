"""Opens captures (plain, gzip or zstd files, or standard input) and reads them with bounded memory."""

from __future__ import annotations

import gzip
import io
import sys
from collections.abc import Iterator
from typing import IO, Any, cast

import zstandard

from cypresspulley.capture.model import CaptureError

MAX_LINE_BYTES = 1 << 20  # a longer line is skipped and reported
MAX_UNPACK_RATIO = 300  # unpacked bytes per packed byte, beyond the first RATIO_FREE_BYTES
RATIO_FREE_BYTES = 64 << 20  # 64 MB are allowed at any ratio
CHUNK_BYTES = 1 << 16  # per read
HEAD_BYTES = 4096  # read first to detect the compression
GZIP_MAGIC = b"\x1f\x8b"
ZSTD_MAGIC = b"\x28\xb5\x2f\xfd"
BOM = b"\xef\xbb\xbf"


class _CountingReader(io.RawIOBase):
    """Counts the compressed bytes that are read."""

    def __init__(self, inner: IO[bytes], head: bytes) -> None:
        self._inner = inner
        self._head = head
        self.count = 0

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: memoryview) -> int:  # type: ignore[override]
        data = self._head[: len(buffer)] or self._inner.read(len(buffer))
        self._head = self._head[len(buffer) :]
        buffer[: len(data)] = data
        self.count += len(data)
        return len(data)


class _BoundedReader(io.RawIOBase):
    """Reads decompressed bytes; raises ``CaptureError`` for damaged data and decompression bombs."""

    def __init__(self, unpacked: IO[bytes], packed: _CountingReader, name: str) -> None:
        self._unpacked = unpacked
        self._packed = packed
        self._name = name
        self._count = 0

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: memoryview) -> int:  # type: ignore[override]
        try:
            data = self._unpacked.read(min(len(buffer), CHUNK_BYTES))
        except (OSError, EOFError, zstandard.ZstdError) as error:
            raise CaptureError(f"{self._name}: damaged after {self._count} bytes: {error}") from None
        self._count += len(data)
        if self._count > RATIO_FREE_BYTES + MAX_UNPACK_RATIO * self._packed.count:
            raise CaptureError(f"{self._name}: unpacks to over {MAX_UNPACK_RATIO} times its size: refused")
        buffer[: len(data)] = data
        return len(data)


def open_capture(name: str) -> io.BufferedReader[Any]:
    """Open a capture as decompressed bytes without a byte-order mark. ``-`` is standard input.

    Raises ``CaptureError`` if the file is not readable.
    """
    try:
        raw: IO[bytes] = sys.stdin.buffer if name == "-" else open(name, "rb", buffering=0)  # noqa: SIM115
        head = b""
        while len(head) < HEAD_BYTES and (more := raw.read(HEAD_BYTES - len(head))):
            head += more
    except OSError as error:
        raise CaptureError(f"{name}: not readable: {error.strerror}") from None
    counting = _CountingReader(raw, head)
    plain: io.BufferedReader[Any] = io.BufferedReader(counting, CHUNK_BYTES)
    if head.startswith(GZIP_MAGIC):
        unpacked: IO[bytes] = cast(IO[bytes], gzip.GzipFile(fileobj=plain))
    elif head.startswith(ZSTD_MAGIC):
        unpacked = cast(IO[bytes], zstandard.ZstdDecompressor().stream_reader(plain, read_across_frames=True))
    else:
        unpacked = cast(IO[bytes], plain)
    stream: io.BufferedReader[Any] = plain
    if unpacked is not plain:
        stream = io.BufferedReader(_BoundedReader(unpacked, counting, name), CHUNK_BYTES)
    if stream.peek(3)[:3] == BOM:
        stream.read(3)
    return stream


def read_lines(stream: io.BufferedReader) -> Iterator[tuple[int, bytes | None]]:
    """Yield numbered lines without their line ends, and None for a line longer than ``MAX_LINE_BYTES``."""
    number = 0
    while line := stream.readline(MAX_LINE_BYTES + 1):
        number += 1
        if len(line) > MAX_LINE_BYTES and not line.endswith(b"\n"):
            while (rest := stream.readline(CHUNK_BYTES)) and not rest.endswith(b"\n"):
                pass
            yield number, None
        else:
            yield number, line.rstrip(b"\r\n")
