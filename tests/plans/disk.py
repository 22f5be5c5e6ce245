"""A folder in memory that loses data that was not synced, crashes at a chosen operation, and can be full."""

from __future__ import annotations

import errno
from random import Random


class CrashError(BaseException):
    """Simulates a crash of the process. It is no ``Exception``, so that no handler catches it."""


class _Data:
    def __init__(self) -> None:
        self.content, self.synced_size = bytearray(), 0


class Disk:
    """``operations_left`` operations until the crash (None: never); ``free_bytes`` bytes until it is full."""

    def __init__(self, operations_left: int | None = None, free_bytes: int | None = None) -> None:
        self.operations_left, self.free_bytes = operations_left, free_bytes
        self._files, self._synced_names = dict[str, _Data](), dict[str, _Data]()

    def step(self) -> None:
        if self.operations_left is not None:
            self.operations_left -= 1
            if self.operations_left < 0:
                raise CrashError

    def names(self) -> list[str]:
        return list(self._files)

    def read(self, name: str) -> bytes:
        return bytes(self._files[name].content)

    def append(self, name: str) -> DiskFile:
        return DiskFile(self, self._files.setdefault(name, _Data()))

    def rename(self, old: str, new: str) -> None:
        self.step()
        self._files[new] = self._files.pop(old)

    def remove(self, name: str) -> None:
        self.step()
        del self._files[name]

    def sync(self) -> None:
        self.step()
        self._synced_names = dict(self._files)

    def after_crash(self, rng: Random) -> Disk:
        """Returns what a start may find after a crash.

        Synced data is there; of the rest, a prefix that may be corrupted. Changes of names that were not synced are
        either all there or all lost.
        """
        after = Disk()
        for name, data in (self._files if rng.random() < 0.5 else self._synced_names).items():
            unsynced = bytearray(data.content[data.synced_size :])
            del unsynced[rng.randint(0, len(unsynced)) :]
            if unsynced and rng.random() < 0.3:
                unsynced[rng.randrange(len(unsynced))] ^= 1 + rng.randrange(255)
            copy = after._files[name] = _Data()
            copy.content, copy.synced_size = (
                data.content[: data.synced_size] + unsynced,
                data.synced_size + len(unsynced),
            )
        after._synced_names = dict(after._files)
        return after


class DiskFile:
    def __init__(self, disk: Disk, data: _Data) -> None:
        self._disk, self._data = disk, data

    def write(self, data: bytes) -> None:
        disk = self._disk
        try:
            disk.step()
        except CrashError:
            self._data.content += data[: len(data) // 2]
            raise
        if disk.free_bytes is not None and len(data) > disk.free_bytes:
            self._data.content += data[: disk.free_bytes]
            disk.free_bytes = 0
            raise OSError(errno.ENOSPC, "no space left")
        if disk.free_bytes is not None:
            disk.free_bytes -= len(data)
        self._data.content += data

    def sync(self) -> None:
        self._disk.step()
        self._data.synced_size = len(self._data.content)

    def truncate(self, size: int) -> None:
        self._disk.step()
        del self._data.content[size:]
        self._data.synced_size = min(self._data.synced_size, size)

    def close(self) -> None:
        pass
