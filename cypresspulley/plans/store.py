"""A crash-safe, append-only log of records: checksums, group commit, torn tails, snapshots and compaction.

Format, version 1. A file ``log.N`` (N in ten digits) is a generation. It begins with the line ``fawnseam log 1``,
followed by frames: length of the payload (4 bytes, little-endian), CRC-32 of length and payload (4 bytes), payload (a
JSON array of records in UTF-8). Records that are committed together form one frame, so that a crash leaves all or none
of them. A generation begins with a snapshot: frames that hold the state when it was written, closed by a record
``{"kind": "whole", "records": n}``. The records after it are in the order in which they were committed.

A new generation is written to the same folder under another name, synced and renamed, and the folder is synced before
the old one is removed, so that one complete generation exists after any crash. A record is durable once ``commit``
returns. At a start, bytes after the last good frame that form no good frame are a torn tail: they were never
acknowledged and are cut off. A bad frame with a good one after it is damage, and nothing is cut:
``check_generations`` reports what can be recovered.
"""

from __future__ import annotations

import json
import logging
import struct
import zlib
from collections.abc import Iterable, Iterator
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from cypresspulley.plans.files import File, Folder

log = logging.getLogger(__name__)

FILE_HEADER = b"fawnseam log 1\n"
FRAME_HEADER = struct.Struct("<II")
MAX_PAYLOAD_BYTES = 1 << 20  # a greater length field is treated as damage
SNAPSHOT_FRAME_BYTES = 256 << 10  # of a snapshot's frame, unless one record is larger
COMPACTION_THRESHOLD_BYTES = 8 << 20  # bytes after the snapshot beyond which the store needs compaction
COMPACTION_RETRY_BYTES = 1 << 20  # bytes committed after a failed compaction before it is tried again
Record = dict[str, Any]


class StoreError(ValueError):
    """A store cannot be used as it is. The text names the file and the byte."""


def _encode_record(record: Record) -> bytes:
    return json.dumps(record, separators=(",", ":"), sort_keys=True, allow_nan=False).encode()


def encode_frame(records: list[Record]) -> bytes:
    """Return the frame of records that are committed together. Raise ``StoreError`` if it would be too large."""
    return _frame(list(map(_encode_record, records)))


def _frame(encoded_records: list[bytes]) -> bytes:
    payload = b"[" + b",".join(encoded_records) + b"]"
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise StoreError(f"a commit of {len(payload)} bytes; expected at most {MAX_PAYLOAD_BYTES}")
    length = struct.pack("<I", len(payload))
    return length + struct.pack("<I", zlib.crc32(length + payload)) + payload


def _snapshot_frames(records: Iterable[Record]) -> Iterator[bytes]:
    """Yield the frames of a snapshot: as many records in each as fit into ``SNAPSHOT_FRAME_BYTES``, one at least."""
    part, size, count = list[bytes](), 0, 0
    for record in records:
        encoded = _encode_record(record)
        if part and size + len(encoded) > SNAPSHOT_FRAME_BYTES:
            yield _frame(part)
            part, size = [], 0
        part.append(encoded)
        size, count = size + len(encoded), count + 1
    if part:
        yield _frame(part)
    yield encode_frame([{"kind": "whole", "records": count}])


def _decode_frame(data: bytes, offset: int) -> tuple[list[Record], int] | None:
    """Return the records of the frame that begins at ``offset`` and the offset of its end; None for no good frame."""
    if offset + FRAME_HEADER.size > len(data):
        return None
    length, checksum = FRAME_HEADER.unpack_from(data, offset)
    payload = data[offset + FRAME_HEADER.size : offset + FRAME_HEADER.size + length]
    if length > MAX_PAYLOAD_BYTES or len(payload) < length:
        return None
    if zlib.crc32(data[offset : offset + 4] + payload) != checksum:
        return None
    try:
        records = json.loads(payload)
    except (ValueError, RecursionError):
        return None
    good = isinstance(records, list) and all(isinstance(one, dict) for one in records)
    return (records, offset + FRAME_HEADER.size + length) if good else None


@dataclass(frozen=True, slots=True)
class LogContents:
    """The contents of a log file: its good records in order, the end of the last one, and what follows it."""

    records: tuple[Record, ...]
    end: int
    size: int
    next_good: int | None = None  # offset of the first good frame after a bad one
    saved: tuple[Record, ...] = ()  # good records after the damage

    @property
    def has_snapshot(self) -> bool:
        """Whether the file holds a complete snapshot."""
        return any(r.get("kind") == "whole" and r.get("records") == n for n, r in enumerate(self.records))

    @property
    def torn(self) -> int:
        """The length of a torn tail in bytes; 0 where there is none or the file is damaged."""
        return 0 if self.next_good is not None else self.size - self.end


def read_log(data: bytes) -> LogContents:
    """Read all good frames from the start; after a bad one, search for the next good one."""
    records, offset = list[Record](), len(FILE_HEADER)
    if not data.startswith(FILE_HEADER):
        return LogContents((), 0, len(data))
    while (found := _decode_frame(data, offset)) is not None:
        more, offset = found
        records += more
    saved, next_good, position = list[Record](), None, offset + 1
    while position < len(data):
        if (found := _decode_frame(data, position)) is None:
            position += 1
            continue
        next_good = position if next_good is None else next_good
        saved += found[0]
        position = found[1]
    return LogContents(tuple(records), offset, len(data), next_good, tuple(saved))


def _generations(folder: Folder) -> list[tuple[int, str]]:
    """Return the numbers and names of all generations, newest first."""
    names = [n for n in folder.names() if n.startswith("log.") and n[4:].isdigit()]
    return sorted(((int(name[4:]), name) for name in names), reverse=True)


@dataclass(frozen=True, slots=True)
class GenerationCheck:
    """The result of ``check_generations`` for one file."""

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
    """Examine each generation, the newest first; change nothing."""
    found = []
    for _, name in _generations(folder):
        contents = read_log(folder.read(name))
        damaged_at = contents.end if contents.next_good is not None else None
        found.append(
            GenerationCheck(
                name,
                len(contents.records),
                contents.size,
                contents.torn,
                damaged_at,
                len(contents.saved),
                contents.has_snapshot,
            )
        )
    return found


class Store:
    """The newest complete generation of a folder, opened for appending by one process at a time."""

    def __init__(self, folder: Folder, read_only: bool = False) -> None:
        self._folder, self._read_only = folder, read_only
        self._uncommitted = list[Record]()
        self.records, self._generation = tuple[Record, ...](), 0
        self._file: File | None = None
        self._end = self._snapshot_end = self._failed_compaction_end = 0
        self.failure = ""  # why nothing can be committed any more
        self._open()

    def __repr__(self) -> str:
        state = f"{len(self._uncommitted)} waiting{self.failure and ', broken'}"
        return f"<Store log.{self._generation:010} {self._end} bytes, {state}>"

    def _open(self) -> None:
        for number, name in _generations(self._folder):
            contents = read_log(self._folder.read(name))
            if not contents.has_snapshot and contents.next_good is None:
                continue  # a crash interrupted the writing of this one; an older one exists
            if contents.next_good is not None:
                raise StoreError(
                    f"{name}: damaged at byte {contents.end}, with {len(contents.saved)} good records from byte "
                    f"{contents.next_good} on; expected frames without a gap (fawnseam plans check)"
                )
            self._generation, self.records, self._end = number, contents.records, contents.end
            if self._read_only:
                self.failure = "it was opened to read"
                return
            self._file = self._folder.append(name)
            if contents.torn:
                self._file.truncate(contents.end)
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
        """Write and sync all added records as one frame.

        Raise ``OSError`` where that fails. None of the records is acknowledged then, and the store accepts no more
        commits until it is opened again.
        """
        if self.failure:
            raise OSError(f"the store takes nothing more: {self.failure}")
        records, self._uncommitted = self._uncommitted, []
        if not records:
            return
        assert self._file is not None
        data = encode_frame(records)
        try:
            self._file.write(data)
            self._file.sync()
        except OSError as error:
            self._discard_partial_write(error)
            raise
        self._end += len(data)

    def _discard_partial_write(self, error: OSError) -> None:
        """Cut off a partial write. After a failed sync, only opening the store again shows what the disk holds."""
        self.failure = str(error) or repr(error)
        try:
            assert self._file is not None
            self._file.truncate(self._end)
        except OSError:
            pass  # the next start reads the file: a complete frame more holds records that were never acknowledged

    @property
    def needs_compaction(self) -> bool:
        """Whether enough was committed since the snapshot, and since the last attempt if that failed."""
        has_grown = self._end - self._snapshot_end > COMPACTION_THRESHOLD_BYTES
        return has_grown and self._end >= self._failed_compaction_end

    def compact(self, state: Iterable[Record]) -> None:
        """Write a new generation that begins with ``state``; remove the old ones once the new one is on the disk.

        Raise ``OSError`` or ``StoreError`` where that fails. The old generation stays in service then.
        """
        if self._uncommitted:
            raise StoreError("expected a commit before the store is compacted")
        try:
            self._start_generation(FILE_HEADER + b"".join(_snapshot_frames(state)))
        except (OSError, StoreError):
            self._failed_compaction_end = self._end + COMPACTION_RETRY_BYTES
            raise

    def _start_generation(self, content: bytes) -> None:
        number, old = self._generation + 1, _generations(self._folder)
        name = f"log.{number:010}"
        if "new" in self._folder.names():
            self._folder.remove("new")
        file = self._folder.append("new")
        try:
            file.write(content)
            file.sync()
            self._folder.rename("new", name)
            self._folder.sync()
        except OSError:
            file.close()
            self._remove_generation(name)
            raise
        if self._file is not None:
            self._file.close()
        self._file, self._generation, self._end = file, number, len(content)
        self._snapshot_end, self._failed_compaction_end = self._end, 0
        for _, stale in old:
            with suppress(OSError):  # the next start reads the newest complete generation
                self._folder.remove(stale)

    def _remove_generation(self, name: str) -> None:
        """Remove what a failed compaction left, since a start would read it in place of the one in service.

        Where that fails as well, nothing more is committed: it could be lost behind the other generation.
        """
        try:
            for left in {"new", name} & set(self._folder.names()):
                self._folder.remove(left)
            self._folder.sync()
        except OSError as error:
            self.failure = f"a failed compaction cannot be undone: {error}"
            log.error("plans: %s", self.failure)

    def close(self) -> None:
        if self._file is not None:
            self._file.close()
            self._file = None
