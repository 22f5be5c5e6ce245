"""A simulated node of a server that speaks the Redis protocol, with the commands that shared counters need.

Written from the published protocol (RESP2, RESP3) and command pages, without code of any such server. It trusts no
peer: every count and length that it receives is bounded.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable
from hashlib import sha1

from redis.crc import key_slot

MAX_WORDS = 64  # of a command
MAX_WORD_BYTES = 64 * 1024
SLOTS = 16384


class RespError(Exception):
    """An error reply; the text begins with its code."""


Value = int | str | bytes | None | list["Value"] | dict[str, "Value"]


class EngineNode:
    """One node. ``port`` is set by ``listen``.

    Faults: ``loading``, ``out_of_memory``, ``replica`` (refuses writes), ``silent`` (accepts calls, answers none),
    ``delay`` seconds before each answer, ``drop`` (closes the connection "before" or "after" it runs each of the next
    ``drops_left`` calls) and ``garbled`` answers. In a cluster ``owned_slots`` are served here, ``moved_slots`` at the
    given address, and ``migrating_slots`` are being moved to the given address.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self.values = dict[str, tuple[float, float | None]]()  # by key, with the time of expiry
        self.history = list[tuple[str, float]]()  # of additions, in order
        self.scripts = dict[str, str]()
        self.loading = self.out_of_memory = self.replica = self.silent = self.garbled = False
        self.delay, self.drop, self.drops_left = 0.0, "", 0
        self.owned_slots: set[int] | None = None  # None: not in a cluster
        self.moved_slots, self.migrating_slots = dict[int, tuple[str, int]](), dict[int, tuple[str, int]]()
        self.importing_slots = set[int]()  # slots being moved here, served only after ASKING
        self.slot_ranges: list[tuple[int, int, str, int]] = []  # as CLUSTER SLOTS reports them
        self.calls = 0
        self._server: asyncio.Server | None = None
        self._writers = set[asyncio.StreamWriter]()
        self.port = 0

    def __repr__(self) -> str:
        return f"<EngineNode :{self.port}, {len(self.values)} values, {self.calls} calls>"

    async def listen(self, port: int = 0) -> int:
        self._server = await asyncio.start_server(self._serve_connection, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    def stop(self) -> None:
        """Kill the node: connections are reset and new ones are refused."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def total(self, key: str) -> float:
        value, until = self.values.get(key, (0.0, None))
        return 0.0 if until is not None and until <= self._clock() else value

    def promote(self, primary: EngineNode, lost: int) -> None:
        """Make this replica the primary, without the last ``lost`` additions of the old one."""
        self.replica, self.values = False, {}
        for key, amount in primary.history[: len(primary.history) - lost]:
            self._add(key, amount, 60_000)

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
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
        """Answer one command; return False if the connection must be closed."""
        is_script = words[0].upper() in ("EVAL", "EVALSHA")
        self.calls += is_script
        if is_script and self.drop and self.drops_left > 0:
            self.drops_left -= 1
            if self.drop == "after":
                with contextlib.suppress(RespError):
                    session.run(words)
            return False
        try:
            reply = encode(session.run(words), session.protocol)
        except RespError as error:
            reply = f"-{error}\r\n".encode()
        if is_script and self.silent:
            return True
        if is_script and self.delay:
            await asyncio.sleep(self.delay)
        writer.write(b"$5\r\nnoise\r\n" if is_script and self.garbled else reply)
        await writer.drain()
        return True

    def check_writable(self, key: str, is_asking: bool) -> None:
        if self.loading:
            raise RespError("LOADING the data set is being read")
        slot = key_slot(key.encode())
        if (
            self.owned_slots is not None
            and slot not in self.owned_slots
            and not (is_asking and slot in self.importing_slots)
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
    """The state of one connection: the protocol version, and whether ASKING precedes the next command."""

    def __init__(self, node: EngineNode) -> None:
        self._node, self.protocol, self._is_asking = node, 2, False

    def run(self, words: list[str]) -> Value:
        name = words[0].upper()
        is_asking, self._is_asking = self._is_asking, name == "ASKING"
        if name == "HELLO":
            self.protocol = int(words[1]) if len(words) > 1 else self.protocol
            if self.protocol not in (2, 3):
                raise RespError("NOPROTO versions 2 and 3 only")
            return {"server": "stand-in", "version": "8.0.0", "proto": self.protocol, "mode": "standalone"}
        if name in ("EVAL", "EVALSHA"):
            return self._run_script(name, words[1:], is_asking)
        if name == "CLUSTER" and len(words) > 1 and words[1].upper() == "SLOTS":
            return [[low, high, [host, port, "node"]] for low, high, host, port in self._node.slot_ranges]
        if name == "PING":
            return "PONG"
        if name in ("CLIENT", "SELECT", "ASKING", "AUTH", "READONLY"):
            return "OK"
        raise RespError(f"ERR unknown command '{name[:40]}'")

    def _run_script(self, name: str, words: list[str], is_asking: bool) -> Value:
        """Run a script. Each is treated as the one that adds and sets an expiry; its text only gives its hash."""
        if len(words) != 5 or words[1] != "1":
            raise RespError("ERR wrong number of arguments")
        text, _, key, amount, ttl_ms = words
        node = self._node
        if name == "EVAL":
            node.scripts[sha1(text.encode()).hexdigest()] = text
        elif text not in node.scripts:
            raise RespError("NOSCRIPT no matching script")
        node.check_writable(key, is_asking)
        return node.add(key, float(amount), int(ttl_ms))


async def _read_command(reader: asyncio.StreamReader) -> list[str] | None:
    """Read an array of bulk strings; return None at the end of the connection. Raise RespError if malformed."""
    line = await reader.readline()
    if not line:
        return None
    count = _read_length(line, b"*", MAX_WORDS)
    words = list[str]()
    for _ in range(count):
        size = _read_length(await reader.readline(), b"$", MAX_WORD_BYTES)
        words.append((await reader.readexactly(size + 2))[:-2].decode("utf-8"))
    if not words:
        raise RespError("an empty command")
    return words


def _read_length(line: bytes, mark: bytes, limit: int) -> int:
    if line[:1] != mark or not line.endswith(b"\r\n") or not line[1:-2].isdigit():
        raise RespError(f"expected {mark.decode()} and a length")
    if (length := int(line[1:-2])) > limit:
        raise RespError(f"{length} is more than {limit}")
    return length


def encode(value: Value, protocol: int) -> bytes:
    """Encode a reply; in RESP2 a map is a flat array of keys and values."""
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
        flat = [item for pair in value.items() for item in pair]
        mark, count = (b"%", len(value)) if protocol == 3 else (b"*", len(flat))
        return mark + b"%d\r\n" % count + b"".join(encode(item, protocol) for item in flat)
    return b"*%d\r\n" % len(value) + b"".join(encode(item, protocol) for item in value)
