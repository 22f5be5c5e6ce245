"""A simulated discovery agent on a limiter's machine, which serves the list of servers and watches on it."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, replace
from typing import Any

from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.standins.network import Link, LinkedProtocol, Listening, listen
from cypresspulley.rehearsal.standins.run_context import RunContext

HEARTBEAT_INTERVAL = 2.0  # seconds between two heartbeats (empty lines) of a watch
MAX_HEAD_BYTES = 16 * 1024
MAX_CHANGES = 1000  # changes from which a watch can resume; one from an older version gets the whole list


@dataclass(frozen=True, slots=True)
class Host:
    """One server as discovery lists it; ``dial`` is the address at which this limiter reaches it."""

    host: str
    dial: str
    site: str
    block: int
    health: str  # ready, draining or gone
    born_ms: int = 0
    share: float = 1.0

    def row(self) -> dict[str, Any]:
        return {
            "host": self.host, "dial": self.dial, "site": self.site, "class": "small", "block": self.block,
            "health": self.health, "share": self.share, "born_ms": self.born_ms,
        }  # fmt: skip


class _Connection(LinkedProtocol):
    def __init__(self, agent: Agent, link: Link) -> None:
        super().__init__(link)
        self._agent, self._buffer = agent, b""
        self.watching = False

    def received(self, data: bytes) -> None:
        self._buffer += data
        while (end := self._buffer.find(b"\r\n\r\n")) >= 0:
            head, self._buffer = self._buffer[:end], self._buffer[end + 4 :]
            self._agent.handle_request(self, head.split(b"\r\n")[0].decode("latin-1"))
        if len(self._buffer) > MAX_HEAD_BYTES:
            self.close()

    def ended(self) -> None:
        self._agent.watchers.pop(self, None)

    def send_chunk(self, line: bytes) -> None:
        self.send(b"%x\r\n%b\r\n" % (len(line), line))


class Agent:
    """The agent of one limiter. ``publish`` takes changes from discovery; a silent agent withholds them."""

    def __init__(self, context: RunContext, limiter: str) -> None:
        self.context, self.limiter = context, limiter
        self.seq = 1
        self.hosts = dict[str, Host]()
        self.delivered = dict[str, Host]()  # as last sent to the limiter, which restarts with this list
        self.delivered_seq = 0
        self._changes = list[tuple[int, Host]]()
        self.watchers = dict[_Connection, None]()
        self._withheld = list[tuple[Host, ...]]()
        self._listener: Listening | None = None
        self._heartbeat_timer: asyncio.TimerHandle | None = None
        self.silent = False

    def __repr__(self) -> str:
        return f"<Agent {self.limiter} seq {self.seq}, {len(self.hosts)} hosts{' silent' * self.silent}>"

    def listen(self, host: str) -> str:
        """Listen at a new address and return it. The old one accepts no connections; its watches end after 1.5 s."""
        old_listener, old_watchers = self._listener, list(self.watchers)
        link = Link(self.limiter)
        self._listener = listen(host, link, lambda of: _Connection(self, of))
        if old_listener is not None:
            old_listener.close()
            loop = asyncio.get_running_loop()
            for watcher in old_watchers:
                loop.call_later(1.5, watcher.close)
        if self._heartbeat_timer is None:
            self._send_heartbeats()
        return self._listener.address

    def close(self) -> None:
        if self._heartbeat_timer is not None:
            self._heartbeat_timer.cancel()
        if self._listener is not None:
            self._listener.close()
        for watcher in list(self.watchers):
            watcher.close()

    def delivered_list(self) -> dict[str, Any]:
        """The list as last sent to the limiter, in the form of the protocol."""
        return {"seq": self.delivered_seq, "whole": True, "hosts": [h.row() for h in self.delivered.values()]}

    def publish(self, *hosts: Host) -> None:
        """Accept changed entries from discovery and send them on; ``gone`` ones are sent once and then removed."""
        if self.silent:
            self._withheld.append(hosts)
            return
        self.seq += 1
        for host in hosts:
            if host.health == "gone":
                self.hosts.pop(host.host, None)
            else:
                self.hosts[host.host] = host
            self._changes.append((self.seq, host))
        del self._changes[:-MAX_CHANGES]
        self._record_listing(False, False, hosts)
        for watcher in list(self.watchers):
            self._send_update(watcher, False, hosts)

    def resume(self) -> None:
        """End the silence and publish what was withheld meanwhile."""
        self.silent = False
        withheld, self._withheld = self._withheld, []
        for hosts in withheld:
            self.publish(*hosts)

    def _record_listing(self, told: bool, whole: bool, hosts: tuple[Host, ...]) -> None:
        rows = {h.host: (h.health, h.born_ms / 1000 - self.context.unix_ms(0) / 1000) for h in hosts}
        rows = {name: (health, -1e9 if born < -1e8 else born) for name, (health, born) in rows.items()}
        self.context.record(log.Listed(self.context.now(), self.limiter, told, whole, rows))

    def _send_update(self, watcher: _Connection, whole: bool, hosts: tuple[Host, ...]) -> None:
        message = {"seq": self.seq, "whole": whole, "hosts": [host.row() for host in hosts]}
        watcher.send_chunk(json.dumps(message, separators=(",", ":")).encode() + b"\n")
        self.record_delivery(whole, hosts)

    def record_delivery(self, whole: bool, hosts: tuple[Host, ...]) -> None:
        """Record that the limiter was sent these hosts."""
        self.delivered_seq = self.seq
        if whole:
            self.delivered = {}
        for host in hosts:
            if host.health == "gone":
                self.delivered.pop(host.host, None)
            else:
                self.delivered[host.host] = replace(host)
        self._record_listing(True, whole, hosts)

    def handle_request(self, connection: _Connection, line: str) -> None:
        method, _, rest = line.partition(" ")
        path, _, query = rest.partition(" ")[0].partition("?")
        if method != "GET" or path != "/v1/servers":
            return connection.send(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
        if self.silent:
            return None  # a silent agent sends no response
        options = dict(part.partition("=")[::2] for part in query.split("&"))
        whole = tuple(self.hosts.values())
        if options.get("follow") != "1":
            body = json.dumps({"seq": self.seq, "whole": True, "hosts": [h.row() for h in whole]}).encode()
            connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            return self.record_delivery(True, whole)
        connection.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watchers[connection] = None
        since = options.get("since", "")
        oldest = self._changes[0][0] if self._changes else self.seq + 1
        if since.isdigit() and oldest - 1 <= int(since) <= self.seq:
            changed = tuple(host for seq, host in self._changes if seq > int(since))
            return self._send_update(connection, False, changed) if changed else None
        return self._send_update(connection, True, whole)

    def _send_heartbeats(self) -> None:
        self._heartbeat_timer = asyncio.get_running_loop().call_later(
            HEARTBEAT_INTERVAL, self._send_heartbeats
        )
        if not self.silent:
            for watcher in list(self.watchers):
                watcher.send_chunk(b"\n")
