"""The file operations that the store needs, behind an interface, so that tests can lose data that was not synced."""

from __future__ import annotations

import fcntl
import os
from typing import Protocol


class File(Protocol):
    """A file opened for appending."""

    def write(self, data: bytes) -> None:
        """Append all of the data. Raise ``OSError`` where it cannot; some of it may have been written then."""

    def sync(self) -> None:
        """Return when all written data is on the disk."""

    def truncate(self, size: int) -> None:
        """Shorten the file to ``size`` bytes."""

    def close(self) -> None: ...


class Folder(Protocol):
    """The folder that holds a store's files."""

    def names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def append(self, name: str) -> File:
        """Open a file for appending, creating it where it does not exist."""

    def rename(self, old: str, new: str) -> None: ...

    def remove(self, name: str) -> None: ...

    def sync(self) -> None:
        """Return when created, renamed and removed names are on the disk."""


class MemoryFolder:
    """A folder in memory, for rehearsals and for installations that need no persistence."""

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
        self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)

    def write(self, data: bytes) -> None:
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(self._descriptor, remaining) :]

    def sync(self) -> None:
        os.fsync(self._descriptor)

    def truncate(self, size: int) -> None:
        os.ftruncate(self._descriptor, size)

    def close(self) -> None:
        os.close(self._descriptor)


class DiskFolder:
    """A folder on disk. One writer at a time holds its lock."""

    def __init__(self, path: str, writable: bool = True) -> None:
        self._path = path
        self._lock_descriptor: int | None = None
        if writable:
            os.makedirs(path, mode=0o700, exist_ok=True)
            self._lock_descriptor = os.open(
                os.path.join(path, "lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600
            )
            try:
                fcntl.flock(self._lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                os.close(self._lock_descriptor)
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
        descriptor = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        """Release the lock, so that another writer can open the folder."""
        if self._lock_descriptor is not None:
            os.close(self._lock_descriptor)
            self._lock_descriptor = None
