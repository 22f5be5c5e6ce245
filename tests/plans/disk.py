"""A folder in memory that loses what was not synced, stops at a chosen operation, and can be full."""

from __future__ import annotations

import errno
from random import Random


class CrashError(BaseException):
    """The process died here. No ``Exception``: nothing may catch it."""


class _Data:
    def __init__(self) -> None:
        self.whole, self.synced = bytearray(), 0


class Disk:
    """``operations_left`` operations until the crash (None: never); ``room`` bytes until it is full."""

    def __init__(self, operations_left: int | None = None, room: int | None = None) -> None:
        self.operations_left, self.room = operations_left, room
        self._live, self._safe = dict[str, _Data](), dict[str, _Data]()

    def step(self) -> None:
        if self.operations_left is not None:
            self.operations_left -= 1
            if self.operations_left < 0:
                raise CrashError

    def names(self) -> list[str]:
        return list(self._live)

    def read(self, name: str) -> bytes:
        return bytes(self._live[name].whole)

    def append(self, name: str) -> DiskFile:
        return DiskFile(self, self._live.setdefault(name, _Data()))

    def rename(self, old: str, new: str) -> None:
        self.step()
        self._live[new] = self._live.pop(old)

    def remove(self, name: str) -> None:
        self.step()
        del self._live[name]

    def sync(self) -> None:
        self.step()
        self._safe = dict(self._live)

    def after_crash(self, rng: Random) -> Disk:
        """What a start may find: what was synced, a piece of the rest, perhaps garbled; names synced or not."""
        found = Disk()
        for name, data in (self._live if rng.random() < 0.5 else self._safe).items():
            rest = bytearray(data.whole[data.synced :])
            del rest[rng.randint(0, len(rest)) :]
            if rest and rng.random() < 0.3:
                rest[rng.randrange(len(rest))] ^= 1 + rng.randrange(255)
            kept = found._live[name] = _Data()
            kept.whole, kept.synced = data.whole[: data.synced] + rest, data.synced + len(rest)
        found._safe = dict(found._live)
        return found


class DiskFile:
    def __init__(self, disk: Disk, data: _Data) -> None:
        self._disk, self._data = disk, data

    def write(self, data: bytes) -> None:
        disk = self._disk
        try:
            disk.step()
        except CrashError:
            self._data.whole += data[: len(data) // 2]
            raise
        if disk.room is not None and len(data) > disk.room:
            self._data.whole += data[: disk.room]
            disk.room = 0
            raise OSError(errno.ENOSPC, "no space left")
        if disk.room is not None:
            disk.room -= len(data)
        self._data.whole += data

    def sync(self) -> None:
        self._disk.step()
        self._data.synced = len(self._data.whole)

    def truncate(self, size: int) -> None:
        self._disk.step()
        del self._data.whole[size:]
        self._data.synced = min(self._data.synced, size)

    def close(self) -> None:
        pass
