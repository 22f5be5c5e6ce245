"""The channel between two processes of one limiter: messages and file descriptors over a Unix socket.

A message is one packet: a JSON object of at most ``MAX_MESSAGE_BYTES`` bytes with up to ``MAX_DESCRIPTORS`` file
descriptors. The other process must run as the same user. An unreadable message closes the channel. This module makes
no decisions.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import os
import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import Any

log = logging.getLogger(__name__)

MAX_MESSAGE_BYTES = 64 * 1024
MAX_DESCRIPTORS = 1
# Limit on the length of a file: 1,024 server ids of 1,024 characters (``admin.ROUTES``), each up to six in JSON.
MAX_FILE_CHARACTERS = 8 << 20
MAX_QUEUED_MESSAGES = (
    8192  # messages not yet accepted by the other process; a process that lets more queue has stalled
)
SOCKET_NAME = "takeover"
Message = dict[str, Any]
UnsentHandler = Callable[
    [int], None
]  # called with a descriptor that was never sent, and takes ownership of it


class Channel:
    """One connection to the other process.

    ``on_message`` is called with each message and its file descriptor, and takes ownership of the descriptor.
    """

    def __init__(
        self,
        sock: socket.socket,
        on_message: Callable[[Channel, Message, int | None], None],
        on_close: Callable[[Channel], None],
    ) -> None:
        sock.setblocking(False)
        self._sock = sock
        self._on_message = on_message
        self._on_close = on_close
        self._loop = asyncio.get_running_loop()
        self._queue = deque[tuple[bytes, int | None, UnsentHandler]]()
        self._loop.add_reader(sock.fileno(), self._on_readable)

    @property
    def is_open(self) -> bool:
        return self._sock.fileno() >= 0

    def send(self, message: Message, fd: int | None = None, unsent: UnsentHandler = os.close) -> None:
        """Send a message and a descriptor, whose local copy is closed once it has been sent.

        If the descriptor has to be queued and the channel closes first, ``unsent`` is called with it. If the channel is
        already closed when this method returns, the descriptor has been closed.
        """
        data = json.dumps(message, separators=(",", ":")).encode()
        if not self.is_open or len(data) > MAX_MESSAGE_BYTES or len(self._queue) >= MAX_QUEUED_MESSAGES:
            if fd is not None:
                os.close(fd)
            if self.is_open:
                log.error(
                    "takeover: message of %d bytes is too large, or too many are queued; closing the channel",
                    len(data),
                )
                self.close()
            return
        self._queue.append((data, fd, os.close))
        self._flush()
        if self._queue:
            self._queue[-1] = data, fd, unsent

    def _flush(self) -> None:
        while self._queue:
            data, fd, _ = self._queue[0]
            try:
                socket.send_fds(self._sock, [data], [] if fd is None else [fd])
            except BlockingIOError:
                self._loop.add_writer(self._sock.fileno(), self._flush)
                return
            except OSError:
                return self.close()
            self._queue.popleft()
            if fd is not None:
                os.close(fd)
        self._loop.remove_writer(self._sock.fileno())

    def _on_readable(self) -> None:
        while self.is_open:
            try:
                data, fds, flags, _ = socket.recv_fds(self._sock, MAX_MESSAGE_BYTES + 1, MAX_DESCRIPTORS)
            except BlockingIOError:
                return
            except OSError:
                return self.close()
            if not data:
                return self.close()
            message = None
            if len(data) <= MAX_MESSAGE_BYTES and not flags & (socket.MSG_CTRUNC | socket.MSG_TRUNC):
                with contextlib.suppress(ValueError):
                    message = json.loads(data)
            if not isinstance(message, dict):
                for fd in fds:
                    os.close(fd)
                log.error(
                    "takeover: received an unreadable message of %d bytes; closing the channel", len(data)
                )
                return self.close()
            self._on_message(self, message, fds[0] if fds else None)

    def close(self, silent: bool = False) -> None:
        """Close the channel; ``on_close`` is called once, unless ``silent``."""
        if not self.is_open:
            return
        self._loop.remove_reader(self._sock.fileno())
        self._loop.remove_writer(self._sock.fileno())
        self._sock.close()
        queue, self._queue = self._queue, deque()
        for _, fd, unsent in queue:
            if fd is not None:
                unsent(fd)
        if not silent:
            self._on_close(self)


class Folder:
    """A directory that both processes share.

    Paths of Unix sockets are limited in length, so files are addressed through the directory's file descriptor.
    """

    def __init__(self, path: str, label: str) -> None:
        """Open the directory. ``label`` distinguishes limiters that share it.

        Raise OSError if there is no such directory.
        """
        self._fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        self._label = "".join(c if c.isalnum() else "-" for c in label)

    def _path(self, name: str) -> str:
        return f"/proc/self/fd/{self._fd}/{name}-{self._label}"

    def connect(self) -> socket.socket | None:
        """Connect to the serving process; return None if there is none, or only the socket file of a dead process."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        sock.setblocking(False)
        try:
            sock.connect(self._path(SOCKET_NAME))
        except OSError:
            sock.close()
            return None
        return sock

    def listen(self) -> socket.socket:
        """Return a socket that listens for a successor, replacing the socket file of an earlier process."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        path = self._path(SOCKET_NAME)
        with contextlib.suppress(FileNotFoundError):
            os.unlink(path)
        sock.bind(path)
        os.chmod(path, 0o600)
        sock.listen(1)
        sock.setblocking(False)
        return sock

    def write(self, name: str, text: str) -> None:
        """Replace a file atomically."""
        path = self._path(name)
        with open(path + ".new", "w", encoding="utf-8") as file:
            file.write(text)
        os.replace(path + ".new", path)

    def read(self, name: str) -> str | None:
        """Return a file's text, or None if it cannot be read or is larger than any file of this program."""
        with (
            contextlib.suppress(OSError, UnicodeDecodeError),
            open(self._path(name), encoding="utf-8") as file,
        ):
            text = file.read(MAX_FILE_CHARACTERS + 1)
            return text if len(text) <= MAX_FILE_CHARACTERS else None
        return None


def same_user(sock: socket.socket) -> bool:
    """Return whether the process at the other end runs as the same user as this one."""
    _pid, uid, _gid = struct.unpack("3i", sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
    return bool(uid == os.getuid())
