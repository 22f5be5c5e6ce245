"""A stand-in for engines that speak the Redis protocol: one node of it, as far as shared counts need it.

Written from the published protocol (RESP2, RESP3) and command pages; nothing of an engine is in it. It is trusted by
nobody and trusts nobody: every count, length and depth that comes in is bounded.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable
from hashlib import sha1

from redis.crc import key_slot

MAX_WORDS, MAX_WORD = 64, 64 * 1024
SLOTS = 16384


class RespError(Exception):
    """An error reply; the text begins with its code."""


Value = int | str | bytes | None | list["Value"] | dict[str, "Value"]


class EngineNode:
    """One node. ``port`` is known once it listens.

    Faults: ``loading``, ``out_of_memory``, ``replica`` (refuses writes), ``silent`` (takes calls, answers none),
    ``delay`` seconds before each answer, ``drop`` "before" or "after" running the next calls, ``garbled`` answers.
    ``owns`` and ``moved``: slots of a cluster; ``asking``: slots on their way, with where to.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self.values = dict[str, tuple[float, float | None]]()  # with the time at which they are forgotten
        self.history = list[tuple[str, float]]()  # additions, in order
        self.scripts = dict[str, str]()
        self.loading = self.out_of_memory = self.replica = self.silent = self.garbled = False
        self.delay, self.drop, self.drops_left = 0.0, "", 0
        self.owned_slots: set[int] | None = None  # None: no cluster
        self.moved_slots, self.migrating_slots = dict[int, tuple[str, int]](), dict[int, tuple[str, int]]()
        self.importing_slots = set[int]()  # slots on their way here: only after ASKING
        self.slot_ranges: list[tuple[int, int, str, int]] = []  # what CLUSTER SLOTS tells
        self.calls = 0
        self._server: asyncio.Server | None = None
        self._writers = set[asyncio.StreamWriter]()
        self.port = 0

    def __repr__(self) -> str:
        return f"<EngineNode :{self.port}, {len(self.values)} values, {self.calls} calls>"

    async def listen(self, port: int = 0) -> int:
        self._server = await asyncio.start_server(self._talk, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    def stop(self) -> None:
        """The process dies: connections are reset, new ones refused."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def total(self, key: str) -> float:
        value, until = self.values.get(key, (0.0, None))
        return 0.0 if until is not None and until <= self._clock() else value

    def promote(self, primary: EngineNode, lost: int) -> None:
        """Failover: this replica becomes the primary, without the last ``lost`` additions."""
        self.replica, self.values = False, {}
        for key, amount in primary.history[: len(primary.history) - lost]:
            self._add(key, amount, 60_000)

    async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        session = _Session(self)
        try:
            while (words := await _read_command(reader)) is not None:
                if not await self._answer(session, words, writer):
                    return
        except (RespError, ValueError) as error:
            with contextlib.suppress(OSError):
                writer.write(f"-ERR Protocol error: {error}\r\n".encode())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, session: _Session, words: list[str], writer: asyncio.StreamWriter) -> bool:
        """False ends the connection."""
        counting = words[0].upper() in ("EVAL", "EVALSHA")
        self.calls += counting
        if counting and self.drop and self.drops_left > 0:
            self.drops_left -= 1
            if self.drop == "after":
                with contextlib.suppress(RespError):
                    session.run(words)
            return False
        try:
            reply = encode(session.run(words), session.protocol)
        except RespError as error:
            reply = f"-{error}\r\n".encode()
        if counting and self.silent:
            return True
        if counting and self.delay:
            await asyncio.sleep(self.delay)
        writer.write(b"$5\r\nnoise\r\n" if counting and self.garbled else reply)
        await writer.drain()
        return True

    def check_writable(self, key: str, asked: bool) -> None:
        if self.loading:
            raise RespError("LOADING the data set is being read")
        slot = key_slot(key.encode())
        if (
            self.owned_slots is not None
            and slot not in self.owned_slots
            and not (asked and slot in self.importing_slots)
        ):
            if slot not in self.moved_slots:
                raise RespError("CLUSTERDOWN nobody serves this slot")
            raise RespError("MOVED {} {}:{}".format(slot, *self.moved_slots[slot]))
        if slot in self.migrating_slots and key not in self.values:
            raise RespError("ASK {} {}:{}".format(slot, *self.migrating_slots[slot]))
        if self.replica:
            raise RespError("READONLY writes go to the primary")
        if self.out_of_memory:
            raise RespError("OOM no memory for this command")

    def _add(self, key: str, amount: float, milliseconds: int) -> float:
        now = self._clock()
        value, until = self.values.get(key, (0.0, None))
        if until is not None and until <= now:
            value, until = 0.0, None
        self.values[key] = value + amount, now + milliseconds / 1000 if until is None else until
        return value + amount

    def add(self, key: str, amount: float, milliseconds: int) -> str:
        self.history.append((key, amount))
        return f"{self._add(key, amount, milliseconds):.10g}"


class _Session:
    """One connection's state: its protocol, and ASKING for the next command."""

    def __init__(self, node: EngineNode) -> None:
        self._node, self.protocol, self._asked = node, 2, False

    def run(self, words: list[str]) -> Value:
        name = words[0].upper()
        asked, self._asked = self._asked, name == "ASKING"
        if name == "HELLO":
            self.protocol = int(words[1]) if len(words) > 1 else self.protocol
            if self.protocol not in (2, 3):
                raise RespError("NOPROTO versions 2 and 3 only")
            return {"server": "stand-in", "version": "8.0.0", "proto": self.protocol, "mode": "standalone"}
        if name in ("EVAL", "EVALSHA"):
            return self._script(name, words[1:], asked)
        if name == "CLUSTER" and len(words) > 1 and words[1].upper() == "SLOTS":
            return [[low, high, [host, port, "node"]] for low, high, host, port in self._node.slot_ranges]
        if name == "PING":
            return "PONG"
        if name in ("CLIENT", "SELECT", "ASKING", "AUTH", "READONLY"):
            return "OK"
        raise RespError(f"ERR unknown command '{name[:40]}'")

    def _script(self, name: str, words: list[str], asked: bool) -> Value:
        """Any script is taken for the one that adds and sets a life: its text decides only its hash."""
        if len(words) != 5 or words[1] != "1":
            raise RespError("ERR wrong number of arguments")
        text, _, key, amount, life = words
        node = self._node
        if name == "EVAL":
            node.scripts[sha1(text.encode()).hexdigest()] = text
        elif text not in node.scripts:
            raise RespError("NOSCRIPT no matching script")
        node.check_writable(key, asked)
        return node.add(key, float(amount), int(life))


async def _read_command(reader: asyncio.StreamReader) -> list[str] | None:
    """An array of bulk strings; None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    count = _length(line, b"*", MAX_WORDS)
    words = list[str]()
    for _ in range(count):
        size = _length(await reader.readline(), b"$", MAX_WORD)
        words.append((await reader.readexactly(size + 2))[:-2].decode("utf-8"))
    if not words:
        raise RespError("an empty command")
    return words


def _length(line: bytes, mark: bytes, most: int) -> int:
    if line[:1] != mark or not line.endswith(b"\r\n") or not line[1:-2].isdigit():
        raise RespError(f"expected {mark.decode()} and a length")
    if (length := int(line[1:-2])) > most:
        raise RespError(f"{length} is more than {most}")
    return length


def encode(value: Value, protocol: int) -> bytes:
    """A reply: maps are flat arrays in RESP2."""
    if value is None:
        return b"_\r\n" if protocol == 3 else b"$-1\r\n"
    if isinstance(value, int):
        return b":%d\r\n" % value
    if isinstance(value, str) and value in ("OK", "PONG"):
        return b"+%b\r\n" % value.encode()
    if isinstance(value, str | bytes):
        data = value.encode() if isinstance(value, str) else value
        return b"$%d\r\n%b\r\n" % (len(data), data)
    if isinstance(value, dict):
        flat = [each for pair in value.items() for each in pair]
        mark, count = (b"%", len(value)) if protocol == 3 else (b"*", len(flat))
        return mark + b"%d\r\n" % count + b"".join(encode(each, protocol) for each in flat)
    return b"*%d\r\n" % len(value) + b"".join(encode(each, protocol) for each in value)
