"""The shared counter on an engine that speaks the Redis protocol (RESP2 or RESP3), single or as a cluster.

A call is one script that adds to a count and sets the expiry of a new one. The engine runs it atomically, and its reply
is the total. No call is sent twice: an addition that may have happened is reported as such, and the decision module
takes it for added. The redis library's connections and parser are used for that, and its retries are not.

| reply or failure | status | added? |
| --- | --- | --- |
| a total | OK | yes |
| MOVED, ASK, NOSCRIPT | followed, up to ``MAX_REDIRECTS`` times | not yet |
| OOM, BUSY, TRYAGAIN | FULL | no |
| LOADING, READONLY, CLUSTERDOWN, MASTERDOWN, no connection | UNREACHABLE | no |
| any other error | ERROR | no |
| the connection breaks after the call was sent | BROKEN | maybe |
| no reply in time after the call was sent | TIMEOUT | maybe |

A failover may lose additions without notice: totals then decrease, which the decision module takes for a new count.
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

ADD_SCRIPT = (
    "local total = redis.call('INCRBYFLOAT', KEYS[1], ARGV[1]) "
    "if redis.call('PTTL', KEYS[1]) < 0 then redis.call('PEXPIRE', KEYS[1], ARGV[2]) end "
    "return total"
)
ADD_SCRIPT_SHA = sha1(ADD_SCRIPT.encode()).hexdigest()
MAX_REDIRECTS = 5  # attempts at one call that may end with MOVED, ASK or NOSCRIPT
MAX_NODE_CONNECTIONS = 8  # to one node
DIAL_TIMEOUT = 1.0  # seconds
SLOTS_READ_INTERVAL = 0.5  # seconds between two readings of a cluster's slots
SLOT_COUNT = 16384  # of a cluster
MAX_NODES = SLOT_COUNT  # addresses seen by one process: no cluster has more masters than slots
ResultCallback = Callable[[Status, float], None]
Address = tuple[str, int]

UNAVAILABLE_ERRORS = (BusyLoadingError, ReadOnlyError, ClusterDownError, MasterDownError)
OVERLOAD_ERRORS = (OutOfMemoryError, TryAgainError)


class EngineError(ValueError):
    """An engine URL is not usable; the message says what is expected."""


@dataclass(frozen=True, slots=True)
class EngineUrl:
    """``redis://[user:password@]host:port[,host:port...][/DB][?cluster=1&prefix=quota:&protocol=3]``.

    Without a cluster, several addresses are tried in turn: a primary, and the replicas that may replace it.
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
    """Parse and check an engine URL. Raise EngineError."""
    parts = urlsplit(text)
    login, _, hosts = parts.netloc.rpartition("@")
    if parts.scheme != "redis" or not hosts:
        raise EngineError("expected redis://host:port[,host:port]/[DB][?cluster=1&prefix=quota:&protocol=3]")
    nodes = list[Address]()
    for part in hosts.split(","):
        host, _, port = part.rpartition(":")
        if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) <= 65535:
            raise EngineError(f"{part!r:.60}: expected host:port")
        nodes.append((host.strip("[]"), int(port)))
    try:
        options = parse_qs(parts.query, strict_parsing=bool(parts.query))
    except ValueError as error:
        raise EngineError(f"malformed query: {error}") from None
    if unknown := set(options) - {"cluster", "prefix", "protocol"}:
        raise EngineError(f"{min(unknown)}: unknown; expected cluster, prefix, protocol")
    database, protocol = parts.path.strip("/") or "0", options.get("protocol", ["3"])[0]
    cluster = options.get("cluster", ["0"])[0]
    if not database.isdigit() or protocol not in ("2", "3") or cluster not in ("0", "1"):
        raise EngineError("expected a database number, protocol 2 or 3, cluster 0 or 1")
    if cluster == "1" and int(database):
        raise EngineError("a cluster has database 0 only")
    user, _, password = login.partition(":")
    return EngineUrl(
        tuple(nodes), unquote(user) or None, unquote(password) or None, int(database), cluster == "1",
        options.get("prefix", ["fawnseam:"])[0], int(protocol),
    )  # fmt: skip


class _NotSentError(Exception):
    """There is no connection, so the call was not sent."""


class _Call:
    __slots__ = ("done", "result", "sent")

    def __init__(self, done: ResultCallback) -> None:
        self.done = done
        self.sent = False
        self.result: tuple[Status, float] | None = None


class _Node:
    """A pool of connections to one address. Failed connections are not reused."""

    def __init__(self, url: EngineUrl, address: Address) -> None:
        self._url = url
        self.address = address
        self._idle = list[Connection]()
        self._limit = asyncio.Semaphore(MAX_NODE_CONNECTIONS)

    def __repr__(self) -> str:
        return f"<_Node {self.address[0]}:{self.address[1]}, {len(self._idle)} idle>"

    async def acquire(self) -> Connection:
        """Return an established connection. Raise _NotSentError if there is none."""
        await self._limit.acquire()
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
            self._limit.release()
            if isinstance(error, AuthenticationError):
                log.error("the engine at %s:%d rejected the credentials: %s", *self.address, error)
            raise _NotSentError(str(error)) from None
        except BaseException:
            self._limit.release()
            raise

    def release(self, connection: Connection) -> None:
        self._idle.append(connection)
        self._limit.release()

    def discard(self, connection: Connection) -> None:
        """Close a connection on which a reply may still arrive that no call waits for."""
        self._limit.release()
        writer = connection._writer
        if writer is not None:
            writer.transport.abort()

    def close(self) -> None:
        for connection in self._idle:
            if connection._writer is not None:
                connection._writer.transport.abort()
        self._idle.clear()


class EngineCounter:
    """Makes the calls of ``net.counter.Counter``: each gets one result, in the order of the calls for a name."""

    def __init__(self, url: EngineUrl, timeout: float) -> None:
        self._url = url
        self._timeout = timeout
        self._loop = asyncio.get_running_loop()
        self._nodes = dict[Address, _Node]()
        self._slots = dict[int, Address]()
        self._node_index = 0  # index of the URL's address in use; increased when a node fails
        self._slots_read_at = -math.inf
        self._calls_by_name = dict[int, deque[_Call]]()
        self._tasks = set[asyncio.Task[None]]()
        self._last_warning = ""

    def __repr__(self) -> str:
        return (
            f"<EngineCounter {self._url!r}, {len(self._nodes)} nodes, {len(self._tasks)} calls in progress>"
        )

    def start(self) -> None:
        """Connect before the first call."""
        self._spawn(self._connect_early())

    def move(self, host: str, port: int) -> None:
        """Ignore the address in the platform's configuration: the engine's URL is in the operators' file."""

    def set_timeout(self, timeout: float) -> None:
        """Set the timeout of new calls, in seconds."""
        self._timeout = timeout

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        for node in self._nodes.values():
            node.close()

    def call(self, name: int, amount: float, lifetime: float, done: ResultCallback) -> None:
        """Add ``amount`` to the count of a name; a new count lives for ``lifetime`` seconds, from 0.001 to 60.

        ``done`` gets the status and the total, after this method has returned.
        """
        call = _Call(done)
        self._calls_by_name.setdefault(name, deque()).append(call)
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
                total = await self._send_add(f"{self._url.prefix}{{{name}}}", call, amount, milliseconds)
            status = Status.OK
        except TimeoutError:
            status = Status.TIMEOUT if call.sent else Status.UNREACHABLE
        except _NotSentError as error:
            self._warn_once(f"cannot connect to the engine: {error}")
            self._switch_node()
        except OVERLOAD_ERRORS:
            status = Status.FULL
        except UNAVAILABLE_ERRORS as error:
            self._warn_once(f"the engine does not accept writes: {error}")
            self._switch_node()
        except ResponseError as error:
            status = Status.FULL if str(error).startswith("BUSY") else Status.ERROR
            self._warn_once(f"the engine rejected a call: {error}")
        except (RedisError, OSError, ValueError):
            status = Status.BROKEN if call.sent else Status.UNREACHABLE
        except Exception:
            log.exception("a call to the engine failed")
            status = Status.BROKEN
        if status is Status.OK:
            self._last_warning = ""
        self._finish_call(name, call, status, total)

    def _warn_once(self, text: str) -> None:
        """Log a warning, once for a series of the same."""
        if text != self._last_warning:
            log.warning("%s", text)
        self._last_warning = text

    def _finish_call(self, name: int, call: _Call, status: Status, total: float) -> None:
        """Finish a call. Its result is delivered after those of the earlier calls for its name."""
        call.result = status, total
        calls = self._calls_by_name[name]
        while calls and (result := calls[0].result) is not None:
            first = calls.popleft()
            if not calls:
                del self._calls_by_name[name]
            first.done(*result)

    # Calls.

    async def _send_add(self, key: str, call: _Call, amount: str, milliseconds: int) -> float:
        slot = key_slot(key.encode()) if self._url.cluster else 0
        words: Sequence[Any] = ("EVALSHA", ADD_SCRIPT_SHA, 1, key, amount, milliseconds)
        asking: Address | None = None
        for _ in range(MAX_REDIRECTS):
            node = self._get_node(asking) if asking is not None else await self._find_node(slot)
            connection = await node.acquire()
            try:
                if asking is not None:
                    await self._execute(connection, "ASKING")
                    asking = None
                call.sent = True
                reply = await self._execute(connection, *words)
            except ResponseError as error:
                call.sent = False  # an error reply says that nothing was added
                node.release(connection)
                # MovedError is a subclass of AskError in the library, so it is checked first.
                if isinstance(error, MovedError):
                    self._slots[slot] = error.host, int(error.port)
                elif isinstance(error, AskError):  # holds for this call only
                    asking = error.host, int(error.port)
                elif isinstance(error, NoScriptError):
                    words = ("EVAL", ADD_SCRIPT, 1, key, amount, milliseconds)
                else:
                    raise
                continue
            except BaseException:
                node.discard(connection)
                raise
            node.release(connection)
            return _parse_total(reply)
        raise ClusterDownError(f"CLUSTERDOWN after {MAX_REDIRECTS} redirects")

    @staticmethod
    async def _execute(connection: Connection, *words: Any) -> Any:
        await connection.send_command(*words, check_health=False)
        return await connection.read_response(timeout=math.inf)

    # Nodes.

    def _get_node(self, address: Address) -> _Node:
        if address not in self._nodes:
            if len(self._nodes) >= MAX_NODES:
                raise _NotSentError(f"more than {MAX_NODES} node addresses")
            self._nodes[address] = _Node(self._url, address)
        return self._nodes[address]

    async def _find_node(self, slot: int) -> _Node:
        if not self._url.cluster:
            return self._get_node(self._url.nodes[self._node_index % len(self._url.nodes)])
        if slot not in self._slots and self._loop.time() - self._slots_read_at > SLOTS_READ_INTERVAL:
            await self._read_slots()
        address = self._slots.get(slot)
        return self._get_node(address or self._url.nodes[self._node_index % len(self._url.nodes)])

    def _switch_node(self) -> None:
        """Use the URL's next address and read the slots again, because what was known of the nodes did not hold."""
        self._node_index += 1
        self._slots.clear()

    async def _read_slots(self) -> None:
        """Read CLUSTER SLOTS from the URL's address in use. Raise ResponseError if the node cannot provide them."""
        self._slots_read_at = self._loop.time()
        node = self._get_node(self._url.nodes[self._node_index % len(self._url.nodes)])
        connection = await node.acquire()
        try:
            rows = await self._execute(connection, "CLUSTER", "SLOTS")
        except ResponseError:
            node.release(connection)
            raise
        except BaseException:
            node.discard(connection)
            raise
        node.release(connection)
        for low, high, primary, *_ in rows:
            if 0 <= low <= high < SLOT_COUNT:
                address = _decode_text(primary[0]) or node.address[0], int(primary[1])
                self._slots.update(dict.fromkeys(range(low, high + 1), address))

    async def _connect_early(self) -> None:
        try:
            async with asyncio.timeout(DIAL_TIMEOUT):
                node = await self._find_node(0)
                node.release(await node.acquire())
        except (TimeoutError, _NotSentError, RedisError, OSError) as error:
            self._warn_once(f"cannot connect to the engine: {error}")
            self._switch_node()


def _decode_text(word: Any) -> str:
    return word.decode() if isinstance(word, bytes) else str(word or "")


def _parse_total(reply: Any) -> float:
    total = float(reply)
    if not math.isfinite(total):
        raise ValueError(f"the reply is not a finite total: {reply!r:.40}")
    return total
