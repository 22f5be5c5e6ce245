"""The counter's calls over an engine that speaks the Redis protocol (RESP2 or 3), alone or as a cluster.

A call is one script that adds and, on a new name, sets its life: atomic at the engine, and its answer is the total.
Nothing is ever sent twice by itself: an addition that may have happened is told as such, and the decisions take it for
added. For that the library's connections and parser are used and its retries are not.

| what comes back | told as | added? |
| --- | --- | --- |
| a total | OK | yes |
| MOVED, ASK, NOSCRIPT | followed, a few times | not yet |
| OOM, BUSY, TRYAGAIN | FULL | no |
| LOADING, READONLY, CLUSTERDOWN, MASTERDOWN, no connection | UNREACHABLE | no |
| any other error | ERROR | no |
| the connection ends behind the call | BROKEN | maybe |
| nothing in time, behind the call | TIMEOUT | maybe |

What a failover loses is lost silently: totals then run backwards, which the decisions take for a fresh count.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from hashlib import sha1
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from redis.asyncio.connection import Connection
from redis.crc import key_slot
from redis.exceptions import (
    AskError,
    AuthenticationError,
    BusyLoadingError,
    ClusterDownError,
    MasterDownError,
    MovedError,
    NoScriptError,
    OutOfMemoryError,
    ReadOnlyError,
    RedisError,
    ResponseError,
    TryAgainError,
)

from cypresspulley.interface import Status

log = logging.getLogger(__name__)

ADD = (
    "local total = redis.call('INCRBYFLOAT', KEYS[1], ARGV[1]) "
    "if redis.call('PTTL', KEYS[1]) < 0 then redis.call('PEXPIRE', KEYS[1], ARGV[2]) end "
    "return total"
)
ADD_SHA = sha1(ADD.encode()).hexdigest()
HOPS = 5  # answers that send a call elsewhere, until it is given up
PER_NODE = 8  # connections to one node
DIAL_TIMEOUT = 1.0
FRESH = 0.5  # seconds between two readings of a cluster's slots
SLOTS = 16384
MOST_NODES = SLOTS  # addresses of one life: no cluster has more masters than slots
Done = Callable[[Status, float], None]
Address = tuple[str, int]

REFUSED_FOR_NOW = (BusyLoadingError, ReadOnlyError, ClusterDownError, MasterDownError)
TURNED_AWAY = (OutOfMemoryError, TryAgainError)


class EngineError(ValueError):
    """A URL that cannot be used; the text says what was expected."""


@dataclass(frozen=True, slots=True)
class EngineUrl:
    """``redis://[user:password@]host:port[,host:port...][/DB][?cluster=1&prefix=quota:&protocol=3]``.

    Several addresses of one that is no cluster are tried in turn: a primary and those that may take its place.
    """

    nodes: tuple[Address, ...]
    username: str | None = None
    password: str | None = None
    database: int = 0
    cluster: bool = False
    prefix: str = "fawnseam:"
    protocol: int = 3

    def __repr__(self) -> str:
        return f"<EngineUrl {','.join(f'{h}:{p}' for h, p in self.nodes)}{' cluster' * self.cluster}>"  # no password


def parse_engine_url(text: str) -> EngineUrl:
    """Parse and check a URL. Raises EngineError."""
    parts = urlsplit(text)
    login, _, hosts = parts.netloc.rpartition("@")
    if parts.scheme != "redis" or not hosts:
        raise EngineError("expected redis://host:port[,host:port]/[DB][?cluster=1&prefix=quota:&protocol=3]")
    nodes = list[Address]()
    for each in hosts.split(","):
        host, _, port = each.rpartition(":")
        if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) <= 65535:
            raise EngineError(f"{each!r:.60}: expected host:port")
        nodes.append((host.strip("[]"), int(port)))
    try:
        options = parse_qs(parts.query, strict_parsing=bool(parts.query))
    except ValueError as error:
        raise EngineError(f"its query: {error}") from None
    if unknown := set(options) - {"cluster", "prefix", "protocol"}:
        raise EngineError(f"{min(unknown)}: unknown; expected cluster, prefix, protocol")
    database, protocol = parts.path.strip("/") or "0", options.get("protocol", ["3"])[0]
    cluster = options.get("cluster", ["0"])[0]
    if not database.isdigit() or protocol not in ("2", "3") or cluster not in ("0", "1"):
        raise EngineError("expected a database's number, protocol 2 or 3, cluster 0 or 1")
    if cluster == "1" and int(database):
        raise EngineError("a cluster has database 0 only")
    user, _, password = login.partition(":")
    return EngineUrl(
        tuple(nodes), unquote(user) or None, unquote(password) or None, int(database), cluster == "1",
        options.get("prefix", ["fawnseam:"])[0], int(protocol),
    )  # fmt: skip


class _NotSentError(Exception):
    """No connection: the call has not left."""


class _Call:
    __slots__ = ("done", "result", "sent")

    def __init__(self, done: Done) -> None:
        self.done = done
        self.sent = False
        self.result: tuple[Status, float] | None = None


class _Node:
    """Connections to one address: idle ones are used again, those that failed are not."""

    def __init__(self, url: EngineUrl, address: Address) -> None:
        self._url = url
        self.address = address
        self._idle = list[Connection]()
        self._room = asyncio.Semaphore(PER_NODE)

    def __repr__(self) -> str:
        return f"<_Node {self.address[0]}:{self.address[1]}, {len(self._idle)} idle>"

    async def take(self) -> Connection:
        """A connection that is up; ``_NotSentError`` where there is none to be had."""
        await self._room.acquire()
        try:
            if self._idle:
                return self._idle.pop()
            connection = Connection(
                host=self.address[0], port=self.address[1], db=self._url.database, username=self._url.username,
                password=self._url.password, protocol=self._url.protocol, socket_timeout=None,
                socket_connect_timeout=DIAL_TIMEOUT, retry_on_error=[],
            )  # fmt: skip
            await connection.connect()  # type: ignore[no-untyped-call]
            return connection
        except (RedisError, OSError) as error:
            self._room.release()
            if isinstance(error, AuthenticationError):
                log.error("the engine at %s:%d refuses the login: %s", *self.address, error)
            raise _NotSentError(str(error)) from None
        except BaseException:
            self._room.release()
            raise

    def give_back(self, connection: Connection) -> None:
        self._idle.append(connection)
        self._room.release()

    def drop(self, connection: Connection) -> None:
        """What comes on it now belongs to nobody."""
        self._room.release()
        writer = connection._writer
        if writer is not None:
            writer.transport.abort()

    def close(self) -> None:
        for connection in self._idle:
            if connection._writer is not None:
                connection._writer.transport.abort()
        self._idle.clear()


class EngineCounter:
    """The same calls as ``net.counter.CounterClient``: each answered once, in order for each name."""

    def __init__(self, url: EngineUrl, timeout: float) -> None:
        self._url = url
        self._timeout = timeout
        self._loop = asyncio.get_running_loop()
        self._nodes = dict[Address, _Node]()
        self._slots = dict[int, Address]()
        self._first = 0  # which of the URL's addresses is asked; the next one's turn comes when it fails
        self._read_at = -math.inf
        self._order = dict[int, deque[_Call]]()
        self._tasks = set[asyncio.Task[None]]()
        self._said = ""

    def __repr__(self) -> str:
        return f"<EngineCounter {self._url!r}, {len(self._nodes)} nodes, {len(self._tasks)} calls out>"

    def start(self) -> None:
        """Connect ahead of the first call."""
        self._spawn(self._warm())

    def move(self, host: str, port: int) -> None:
        """The platform's configuration names another keeper: not ours, the operators' file has the engine."""

    def set_timeout(self, timeout: float) -> None:
        """Other settings: calls from now on are waited for so many seconds."""
        self._timeout = timeout

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        for node in self._nodes.values():
            node.close()

    def call(self, name: int, amount: float, lifetime: float, done: Done) -> None:
        """Add to a number; ``done`` gets the status and the total, later than this call returns."""
        call = _Call(done)
        self._order.setdefault(name, deque()).append(call)
        milliseconds = max(1, min(60_000, round(lifetime * 1000)))
        self._spawn(self._run(name, call, f"{amount:.6f}", milliseconds))

    def _spawn(self, work: Any) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, name: int, call: _Call, amount: str, milliseconds: int) -> None:
        status, total = Status.UNREACHABLE, 0.0
        try:
            async with asyncio.timeout(self._timeout):
                total = await self._add(f"{self._url.prefix}{{{name}}}", call, amount, milliseconds)
            status = Status.OK
        except TimeoutError:
            status = Status.TIMEOUT if call.sent else Status.UNREACHABLE
        except _NotSentError as error:
            self._say(f"no connection to the engine: {error}")
            self._elsewhere()
        except TURNED_AWAY:
            status = Status.FULL
        except REFUSED_FOR_NOW as error:
            self._say(f"the engine takes no writes: {error}")
            self._elsewhere()
        except ResponseError as error:
            status = Status.FULL if str(error).startswith("BUSY") else Status.ERROR
            self._say(f"the engine refuses: {error}")
        except (RedisError, OSError, ValueError):
            status = Status.BROKEN if call.sent else Status.UNREACHABLE
        except Exception:
            log.exception("a call to the engine failed")
            status = Status.BROKEN
        if status is Status.OK:
            self._said = ""
        self._finish(name, call, status, total)

    def _say(self, text: str) -> None:
        """Once for a row of the same."""
        if text != self._said:
            log.warning("%s", text)
        self._said = text

    def _finish(self, name: int, call: _Call, status: Status, total: float) -> None:
        """Settle a call behind the earlier ones for its name."""
        call.result = status, total
        line = self._order[name]
        while line and (result := line[0].result) is not None:
            first = line.popleft()
            if not line:
                del self._order[name]
            first.done(*result)

    # One call.

    async def _add(self, key: str, call: _Call, amount: str, milliseconds: int) -> float:
        slot = key_slot(key.encode()) if self._url.cluster else 0
        words: Sequence[Any] = ("EVALSHA", ADD_SHA, 1, key, amount, milliseconds)
        asking: Address | None = None
        for _ in range(HOPS):
            node = self._node(asking) if asking is not None else await self._route(slot)
            connection = await node.take()
            try:
                if asking is not None:
                    await self._ask(connection, "ASKING")
                    asking = None
                call.sent = True
                reply = await self._ask(connection, *words)
            except ResponseError as error:
                call.sent = False  # an error is an answer: nothing was added
                node.give_back(connection)
                if isinstance(error, MovedError):  # of AskError's kind in the library, and to be told first
                    self._slots[slot] = error.host, int(error.port)
                elif isinstance(error, AskError):  # for this call only
                    asking = error.host, int(error.port)
                elif isinstance(error, NoScriptError):
                    words = ("EVAL", ADD, 1, key, amount, milliseconds)
                else:
                    raise
                continue
            except BaseException:
                node.drop(connection)
                raise
            node.give_back(connection)
            return _total(reply)
        raise ClusterDownError("CLUSTERDOWN sent from node to node")

    @staticmethod
    async def _ask(connection: Connection, *words: Any) -> Any:
        await connection.send_command(*words, check_health=False)
        return await connection.read_response(timeout=math.inf)

    # Which node.

    def _node(self, address: Address) -> _Node:
        if address not in self._nodes:
            if len(self._nodes) >= MOST_NODES:
                raise _NotSentError("more nodes than any cluster has")
            self._nodes[address] = _Node(self._url, address)
        return self._nodes[address]

    async def _route(self, slot: int) -> _Node:
        if not self._url.cluster:
            return self._node(self._url.nodes[self._first % len(self._url.nodes)])
        if slot not in self._slots and self._loop.time() - self._read_at > FRESH:
            await self._read_slots()
        address = self._slots.get(slot)
        return self._node(address or self._url.nodes[self._first % len(self._url.nodes)])

    def _elsewhere(self) -> None:
        """What was believed of the nodes did not hold: the next of the URL is asked, slots are read anew."""
        self._first += 1
        self._slots.clear()

    async def _read_slots(self) -> None:
        """CLUSTER SLOTS of the node that is asked; one that cannot tell is passed over."""
        self._read_at = self._loop.time()
        node = self._node(self._url.nodes[self._first % len(self._url.nodes)])
        connection = await node.take()
        try:
            rows = await self._ask(connection, "CLUSTER", "SLOTS")
        except ResponseError:
            node.give_back(connection)
            raise
        except BaseException:
            node.drop(connection)
            raise
        node.give_back(connection)
        for low, high, primary, *_ in rows:
            if 0 <= low <= high < SLOTS:
                address = _text(primary[0]) or node.address[0], int(primary[1])
                self._slots.update(dict.fromkeys(range(low, high + 1), address))

    async def _warm(self) -> None:
        try:
            async with asyncio.timeout(DIAL_TIMEOUT):
                node = await self._route(0)
                node.give_back(await node.take())
        except (TimeoutError, _NotSentError, RedisError, OSError) as error:
            self._say(f"no connection to the engine: {error}")
            self._elsewhere()


def _text(word: Any) -> str:
    return word.decode() if isinstance(word, bytes) else str(word or "")


def _total(reply: Any) -> float:
    total = float(reply)
    if not math.isfinite(total):
        raise ValueError(f"no total: {reply!r:.40}")
    return total
