"""The channel between two processes of one limiter: messages and descriptors over a Unix socket. It decides nothing.

A message is one packet: a JSON object of ``MAX_MESSAGE_BYTES`` bytes at most, with up to
``MAX_DESCRIPTORS`` descriptors. Who connects must
run as the same user; what cannot be read ends the channel.
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
MAX_FILE_CHARACTERS = (
    8 << 20
)  # characters of a file: 1,024 servers' ids, 1,024 long (``admin.ROUTES``), six in JSON
MAX_QUEUED_MESSAGES = 8192  # messages that wait for the other side; one that takes none has stalled
SOCKET_NAME = "takeover"
Message = dict[str, Any]
UnsentHandler = Callable[[int], None]  # gets a descriptor that never went out, as its own


class Channel:
    """One connection to the other process. ``on_message`` gets each message with its descriptor; it owns that."""

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
        self._loop.add_reader(sock.fileno(), self._readable)

    @property
    def is_open(self) -> bool:
        return self._sock.fileno() >= 0

    def send(self, message: Message, fd: int | None = None, unsent: UnsentHandler = os.close) -> None:
        """Send a message and a descriptor, which is closed here once it is out.

        Where it has to wait and the channel ends first, ``unsent`` gets it. It is closed where the channel has ended
        when this returns.
        """
        data = json.dumps(message, separators=(",", ":")).encode()
        if not self.is_open or len(data) > MAX_MESSAGE_BYTES or len(self._queue) >= MAX_QUEUED_MESSAGES:
            if fd is not None:
                os.close(fd)
            if self.is_open:
                log.error("takeover: a message of %d bytes found no room", len(data))
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

    def _readable(self) -> None:
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
                log.error("takeover: an unreadable message of %d bytes", len(data))
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
    """The folder that both processes share. Paths of sockets are short: names go by the folder's descriptor."""

    def __init__(self, path: str, label: str) -> None:
        """OSError where there is no such folder. ``label`` tells limiters apart that share one."""
        self._fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        self._label = "".join(c if c.isalnum() else "-" for c in label)

    def _path(self, name: str) -> str:
        return f"/proc/self/fd/{self._fd}/{name}-{self._label}"

    def connect(self) -> socket.socket | None:
        """A connection to the process that serves; None where there is none, or only a dead one's leftover."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        sock.setblocking(False)
        try:
            sock.connect(self._path(SOCKET_NAME))
        except OSError:
            sock.close()
            return None
        return sock

    def listen(self) -> socket.socket:
        """Be found by a successor; what an earlier process left there is replaced."""
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
        """Replace a file as a whole."""
        path = self._path(name)
        with open(path + ".new", "w", encoding="utf-8") as file:
            file.write(text)
        os.replace(path + ".new", path)

    def read(self, name: str) -> str | None:
        """A file's text; None where it is not there or too large to be one of ours."""
        with (
            contextlib.suppress(OSError, UnicodeDecodeError),
            open(self._path(name), encoding="utf-8") as file,
        ):
            text = file.read(MAX_FILE_CHARACTERS + 1)
            return text if len(text) <= MAX_FILE_CHARACTERS else None
        return None


def same_user(sock: socket.socket) -> bool:
    """Whether the process at the other end runs as the user of this one."""
    _pid, uid, _gid = struct.unpack("3i", sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
    return bool(uid == os.getuid())
