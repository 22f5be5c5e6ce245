"""An append-only log of records that survives crashes: checksums, group commit, torn tails, snapshot and compaction.

Format, version 1. A file ``log.N`` (N in ten digits) is a generation. It begins with the line ``fawnseam log 1``, and
holds frames: length of the payload (4 bytes, little-endian), CRC-32 of length and payload (4 bytes), payload (a JSON
array of records in UTF-8). What is committed together is one frame, so that a crash leaves all of it or none. A
generation begins with a snapshot, frames that hold the state when it was written, closed by a record ``{"kind":
"whole", "records": n}``; what follows are records in the order in which they were committed.

Each generation is written beside the old one under another name, synced, renamed, and its folder synced before the old
one is removed: at any crash one whole generation is there. A record counts from the return of ``commit``. What stands
behind the last good frame at a start, and is no good frame, is a torn tail: it was never acknowledged and is cut off. A
bad frame with a good one behind it is damage, and nothing is cut: ``check`` tells what can be saved.
"""

from __future__ import annotations

import json
import struct
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from cypresspulley.plans.files import File, Folder

FILE_HEADER = b"fawnseam log 1\n"
FRAME_HEADER = struct.Struct("<II")
MAX_PAYLOAD_BYTES = 1 << 20  # bytes: a length beyond it is damage, not a reason to read on
SNAPSHOT_FRAME_RECORDS = 256  # records of a snapshot in a frame
COMPACTION_THRESHOLD_BYTES = (
    8 << 20
)  # bytes of records behind the snapshot, from which a store wants to be compacted
Record = dict[str, Any]


class StoreError(ValueError):
    """A store that cannot be used as it is; the text names file and byte."""


def encode_frame(records: list[Record]) -> bytes:
    payload = json.dumps(records, separators=(",", ":"), sort_keys=True, allow_nan=False).encode()
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise StoreError(f"a commit of {len(payload)} bytes; expected at most {MAX_PAYLOAD_BYTES}")
    length = struct.pack("<I", len(payload))
    return length + struct.pack("<I", zlib.crc32(length + payload)) + payload


def _decode_frame(data: bytes, at: int) -> tuple[list[Record], int] | None:
    """The records of the frame that begins there, and where it ends; None for no good one."""
    if at + FRAME_HEADER.size > len(data):
        return None
    length, checksum = FRAME_HEADER.unpack_from(data, at)
    payload = data[at + FRAME_HEADER.size : at + FRAME_HEADER.size + length]
    if length > MAX_PAYLOAD_BYTES or len(payload) < length:
        return None
    if zlib.crc32(data[at : at + 4] + payload) != checksum:
        return None
    try:
        records = json.loads(payload)
    except (ValueError, RecursionError):
        return None
    good = isinstance(records, list) and all(isinstance(one, dict) for one in records)
    return (records, at + FRAME_HEADER.size + length) if good else None


@dataclass(frozen=True, slots=True)
class LogContents:
    """What a file holds: good records in order, where the last one ends, and what stands behind that."""

    records: tuple[Record, ...]
    end: int
    size: int
    next_good: int | None = None  # a good frame behind a bad one: where it begins
    saved: tuple[Record, ...] = ()  # good records behind the damage

    @property
    def has_snapshot(self) -> bool:
        """Whether its snapshot is closed."""
        return any(r.get("kind") == "whole" and r.get("records") == n for n, r in enumerate(self.records))

    @property
    def torn(self) -> int:
        """Bytes of a torn tail; 0 for none, or for damage."""
        return 0 if self.next_good is not None else self.size - self.end


def read_log(data: bytes) -> LogContents:
    """All good frames from the start; past a bad one, a search for the next good one."""
    records, at = list[Record](), len(FILE_HEADER)
    if not data.startswith(FILE_HEADER):
        return LogContents((), 0, len(data))
    while (found := _decode_frame(data, at)) is not None:
        more, at = found
        records += more
    saved, next_good, place = list[Record](), None, at + 1
    while place < len(data):
        if (found := _decode_frame(data, place)) is None:
            place += 1
            continue
        next_good = place if next_good is None else next_good
        saved += found[0]
        place = found[1]
    return LogContents(tuple(records), at, len(data), next_good, tuple(saved))


def _generations(folder: Folder) -> list[tuple[int, str]]:
    """Numbers and names of all generations, newest first."""
    names = [n for n in folder.names() if n.startswith("log.") and n[4:].isdigit()]
    return sorted(((int(name[4:]), name) for name in names), reverse=True)


@dataclass(frozen=True, slots=True)
class GenerationCheck:
    """What ``check`` found in one file."""

    name: str
    records: int
    size: int
    torn: int
    damaged_at: int | None
    saved: int
    whole: bool

    @property
    def good(self) -> bool:
        return self.whole and self.damaged_at is None

    def __str__(self) -> str:
        if self.damaged_at is not None:
            state = (
                f"DAMAGED at byte {self.damaged_at}: {self.records} records before, {self.saved} behind it"
            )
        elif not self.whole:
            state = f"has no whole snapshot: {self.records} records"
        else:
            state = f"{self.records} records" + (f", a torn tail of {self.torn} bytes" if self.torn else "")
        return f"{self.name}: {self.size} bytes, {state}"


def check_generations(folder: Folder) -> list[GenerationCheck]:
    """Each generation as it is; changes nothing."""
    found = []
    for _, name in _generations(folder):
        seen = read_log(folder.read(name))
        at = seen.end if seen.next_good is not None else None
        found.append(
            GenerationCheck(
                name, len(seen.records), seen.size, seen.torn, at, len(seen.saved), seen.has_snapshot
            )
        )
    return found


class Store:
    """The newest whole generation of a folder, opened to append. One process at a time."""

    def __init__(self, folder: Folder, read_only: bool = False) -> None:
        self._folder, self._read_only = folder, read_only
        self._uncommitted = list[Record]()
        self.records, self._generation = tuple[Record, ...](), 0
        self._file: File | None = None
        self._end = self._snapshot_end = 0
        self.failure = ""  # why nothing may be committed any more
        self._open()

    def __repr__(self) -> str:
        state = f"{len(self._uncommitted)} waiting{self.failure and ', broken'}"
        return f"<Store log.{self._generation:010} {self._end} bytes, {state}>"

    def _open(self) -> None:
        for number, name in _generations(self._folder):
            seen = read_log(self._folder.read(name))
            if not seen.has_snapshot and seen.next_good is None:
                continue  # a crash while it was written: an older one is there
            if seen.next_good is not None:
                raise StoreError(
                    f"{name}: damaged at byte {seen.end}, with {len(seen.saved)} good records from byte "
                    f"{seen.next_good} on; expected frames without a gap (fawnseam plans check)"
                )
            self._generation, self.records, self._end = number, seen.records, seen.end
            if self._read_only:
                self.failure = "it was opened to read"
                return
            self._file = self._folder.append(name)
            if seen.torn:
                self._file.truncate(seen.end)
                self._file.sync()
            self._snapshot_end = self._end
            return
        if any(read_log(self._folder.read(name)).records for _, name in _generations(self._folder)):
            raise StoreError("no generation has a whole snapshot; expected one (fawnseam plans check)")
        self.compact(())

    def add(self, record: Record) -> None:
        """Add a record to the next commit."""
        self._uncommitted.append(record)

    def commit(self) -> None:
        """All that was put, at once and synced, or none of it: ``OSError``, and nothing more until a new start."""
        if self.failure:
            raise OSError(f"the store takes nothing more: {self.failure}")
        waiting, self._uncommitted = self._uncommitted, []
        if not waiting:
            return
        assert self._file is not None
        data = encode_frame(waiting)
        try:
            self._file.write(data)
            self._file.sync()
        except OSError as error:
            self._discard_partial_write(error)
            raise
        self._end += len(data)

    def _discard_partial_write(self, error: OSError) -> None:
        """Cut what may have been written in part. After a failed sync only a start can tell what the disk holds."""
        self.failure = str(error) or repr(error)
        try:
            assert self._file is not None
            self._file.truncate(self._end)
        except OSError:
            pass  # a start reads what is there: a whole frame more is a record that nobody was told of

    @property
    def needs_compaction(self) -> bool:
        return self._end - self._snapshot_end > COMPACTION_THRESHOLD_BYTES

    def compact(self, state: Iterable[Record]) -> None:
        """A new generation that begins with the state; the old one goes when the new one is safe."""
        if self._uncommitted:
            raise StoreError("expected a commit before the store is compacted")
        records = list(state)
        parts = (
            records[n : n + SNAPSHOT_FRAME_RECORDS] for n in range(0, len(records), SNAPSHOT_FRAME_RECORDS)
        )
        body = b"".join(map(encode_frame, parts)) + encode_frame([{"kind": "whole", "records": len(records)}])
        number, old = self._generation + 1, _generations(self._folder)
        name = f"log.{number:010}"
        if "new" in self._folder.names():
            self._folder.remove("new")
        file = self._folder.append("new")
        try:
            file.write(FILE_HEADER + body)
            file.sync()
            self._folder.rename("new", name)
            self._folder.sync()
        except OSError:
            file.close()
            raise
        if self._file is not None:
            self._file.close()
        self._file, self._generation, self._end = file, number, len(FILE_HEADER) + len(body)
        self._snapshot_end = self._end
        for _, stale in old:
            self._folder.remove(stale)

    def close(self) -> None:
        if self._file is not None:
            self._file.close()
            self._file = None
