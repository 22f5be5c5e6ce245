"""The few file operations that the store needs, behind an interface, so that tests can lose what was not synced."""

from __future__ import annotations

import fcntl
import os
from typing import Protocol


class File(Protocol):
    """A file that is appended to."""

    def write(self, data: bytes) -> None:
        """Append all of it; ``OSError`` where that is not possible, with some of it written or none."""

    def sync(self) -> None:
        """Return when all that was written is on the disk."""

    def truncate(self, size: int) -> None:
        """Make it so many bytes long."""

    def close(self) -> None: ...


class Folder(Protocol):
    """The folder that a store lives in."""

    def names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def append(self, name: str) -> File:
        """Open to append; made where it is not there."""

    def rename(self, old: str, new: str) -> None: ...

    def remove(self, name: str) -> None: ...

    def sync(self) -> None:
        """Return when names that were made, changed or removed are on the disk."""


class MemoryFolder:
    """A folder that lasts as long as its process: for rehearsals, and installations that want no more."""

    def __init__(self) -> None:
        self._files = dict[str, bytearray]()

    def names(self) -> list[str]:
        return list(self._files)

    def read(self, name: str) -> bytes:
        return bytes(self._files[name])

    def append(self, name: str) -> File:
        return MemoryFile(self._files.setdefault(name, bytearray()))

    def rename(self, old: str, new: str) -> None:
        self._files[new] = self._files.pop(old)

    def remove(self, name: str) -> None:
        del self._files[name]

    def sync(self) -> None: ...


class MemoryFile:
    def __init__(self, data: bytearray) -> None:
        self._data = data

    def write(self, data: bytes) -> None:
        self._data += data

    def sync(self) -> None: ...

    def truncate(self, size: int) -> None:
        del self._data[size:]

    def close(self) -> None: ...


class DiskFile:
    def __init__(self, path: str) -> None:
        self._fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)

    def write(self, data: bytes) -> None:
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(self._fd, rest) :]

    def sync(self) -> None:
        os.fsync(self._fd)

    def truncate(self, size: int) -> None:
        os.ftruncate(self._fd, size)

    def close(self) -> None:
        os.close(self._fd)


class DiskFolder:
    """A real folder; one writer at a time holds its lock."""

    def __init__(self, path: str, writable: bool = True) -> None:
        self._path = path
        self._lock: int | None = None
        if writable:
            os.makedirs(path, mode=0o700, exist_ok=True)
            self._lock = os.open(os.path.join(path, "lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            try:
                fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                os.close(self._lock)
                raise OSError(f"{path}: another process writes here; expected one writer at a time") from None

    def names(self) -> list[str]:
        return os.listdir(self._path)

    def read(self, name: str) -> bytes:
        with open(os.path.join(self._path, name), "rb") as file:
            return file.read()

    def append(self, name: str) -> File:
        return DiskFile(os.path.join(self._path, name))

    def rename(self, old: str, new: str) -> None:
        os.rename(os.path.join(self._path, old), os.path.join(self._path, new))

    def remove(self, name: str) -> None:
        os.remove(os.path.join(self._path, name))

    def sync(self) -> None:
        fd = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def close(self) -> None:
        """Let another writer in."""
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None
