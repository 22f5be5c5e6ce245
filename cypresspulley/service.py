"""Answers the operators' calls; connects their interface, the process states, takeovers, clients and decisions."""

from __future__ import annotations

import asyncio
import json
import logging
import math
import socket
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from cypresspulley.lifecycle import Lifecycle, LifecycleEvent
from cypresspulley.net.admin import Reply
from cypresspulley.net.frontend import Frontend
from cypresspulley.net.node import Node, UnixClock
from cypresspulley.net.peer_link import PeerLink
from cypresspulley.net.upstream import Upstream
from cypresspulley.policy.gateway import Gateway
from cypresspulley.takeover.channel import Folder
from cypresspulley.takeover.handover import Offer, Peer, Predecessor, Successor
from cypresspulley.takeover.snapshot import (
    PredecessorAttempts,
    SnapshotError,
    StateSplit,
    count_open_attempts,
    restore_snapshot,
    take_snapshot,
)

log = logging.getLogger(__name__)

RECORD_FILE = "bans"  # file that passes on bans and drain when a predecessor could not hand over
CLOCK_OFFSET = "clock_offset"  # key of the snapshot: seconds from the monotonic clock to the decisions' clock


class Service:
    """Answers the operators' calls and is the ``Host`` of a takeover.

    Until ``serve`` there is no node, and calls other than ``readyz`` are answered with 503.
    """

    def __init__(self, lifecycle: Lifecycle, folder: Folder | None = None) -> None:
        self.lifecycle = lifecycle
        self._folder = folder
        self._node: Node | None = None
        self._frontend: Frontend | None = None
        self._gateway: Gateway | None = None
        self._upstream: Upstream | None = None
        self.peer_link: PeerLink | None = None
        self._clock: Callable[[], float] = float
        self._successor: Successor | None = None  # our side of the channel to our predecessor
        self._predecessor: Predecessor | None = None  # our side of the channel to our successor
        self._split: StateSplit | None = None
        self._predecessor_attempts: PredecessorAttempts | None = None
        self._drained = False  # inherited value, used until the process serves
        self._tasks = set[asyncio.Task[None]]()
        # Divides the memory by the number of processes that share its limit: two while an upgrade goes on.
        self.share_memory: Callable[[int], None] = lambda _processes: None
        # Purges an account's cached answers on all limiters; returns the limiters that may still have some. None if
        # nothing is cached.
        self.purge: Callable[[str], Awaitable[tuple[str, ...]]] | None = None

    # Start, alone or after a predecessor.

    async def wait_for_offer(self, clock: Callable[[], float] | None = None) -> Offer | None:
        """Return what a running predecessor hands over; None if there is no predecessor.

        Times in the offer are by the predecessor's clock. ``clock`` is set to continue that clock, so everything that
        reads ``clock`` has to be created after this call.
        """
        if self._folder is None:
            return None
        self._successor = Successor(self._folder)
        offer = await self._successor.wait_for_offer()
        offset = offer.state.get(CLOCK_OFFSET) if offer is not None else None
        if isinstance(clock, UnixClock) and isinstance(offset, float) and math.isfinite(offset):
            clock.offset = offset
        return offer

    def adopt(self, gateway: Gateway, now: float, offer: Offer, upstream: Upstream) -> bool:
        """Restore the state of the offer; return False if it is invalid, which leaves ``gateway`` unusable."""
        assert self._successor is not None
        state = offer.state
        try:
            restore_snapshot(gateway, now, state["decisions"])
            dials = {str(k): str(v) for k, v in state["dials"].items()}
            for server in gateway.load_balancer.servers.values():
                name, born = server.entry.name, server.entry.born
                upstream.update_server(name, dials.get(name, ""), server.up, born)
            drained = bool(state["drained"])
        except (SnapshotError, KeyError, TypeError, ValueError, AttributeError) as error:
            log.error("takeover: %s", error)
            self._successor.reject()
            return False
        for name in gateway.load_balancer.bans:
            upstream.set_banned(name, True)
        self._drained = drained
        return True

    def serve(
        self, node: Node, frontend: Frontend, gateway: Gateway | None = None, upstream: Upstream | None = None,
        clock: Callable[[], float] | None = None, inherited: bool = False,
    ) -> None:  # fmt: skip
        """Start to serve: client connections are accepted from now on."""
        self._node, self._frontend, self._gateway, self._upstream = node, frontend, gateway, upstream
        self._clock = clock or self._clock
        self.lifecycle.apply(LifecycleEvent.SERVE_AS_SUCCESSOR if inherited else LifecycleEvent.SERVE)
        if not inherited:
            self._restore_record()
        if self._drained:
            self.lifecycle.apply(LifecycleEvent.DRAIN)
        self._apply_drain()
        if gateway is not None:
            self._predecessor_attempts = PredecessorAttempts(gateway)
        if self._successor is not None:
            self._successor.serve(self)
        if self._folder is not None:
            self._predecessor = Predecessor(self, self._folder)
            self._write_record()

    def _restore_record(self) -> None:
        """Restore the bans and the drain from the file of a predecessor that could not hand over."""
        text = self._folder.read(RECORD_FILE) if self._folder is not None else None
        if text is None or self._node is None:
            return
        try:
            raw = json.loads(text)
            bans, self._drained = {str(name) for name in raw["bans"]}, bool(raw["drained"])
        except (ValueError, KeyError, TypeError) as error:
            return log.error("takeover: the record of bans cannot be read: %r", error)
        for name in bans:
            self._node.suspend(name, True, sure=True)

    def _write_record(self) -> bool:
        """Write the bans and the drain to the folder, to outlast this process; return False if that failed."""
        if self._folder is not None and self._gateway is not None:
            record = {
                "bans": sorted(self._gateway.load_balancer.bans),
                "drained": self.lifecycle.drained_by_operators,
            }
            text = json.dumps(record)
            try:
                self._folder.write(RECORD_FILE, text)
            except OSError as error:
                log.error("takeover: the record of bans cannot be written: %s", error)
                return False
        return True

    # The operators' calls.

    async def call(self, name: str, id: str) -> Reply:
        """Apply an operators' call and return its answer.

        A call answered with 200 has taken effect, during an upgrade in both processes.
        """
        state = {"state": self.lifecycle.state.value}
        if name == "readyz":
            return Reply(200 if self.lifecycle.ready else 503, state)
        if self._node is None:
            return Reply(503, state | {"error": "the process starts; call again"})
        if name == "purge":
            return await self._purge(id)
        reply = self._apply(name, id)
        if reply.status == 200 and not await self._forward_call(name, id, None):
            return Reply(503, {"error": "the other process of this upgrade did not answer; call again"})
        return reply

    async def _purge(self, account: str) -> Reply:
        if self.purge is None:
            return Reply(404, {"account": account, "error": "nothing is kept here: closing is off"})
        try:
            missing = await self.purge(account)
        except ValueError as error:
            return Reply(400, {"account": account, "error": str(error)})
        if missing:
            return Reply(503, {"account": account, "missing": list(missing)})
        return Reply(200, {"account": account, "purged": True})

    async def _forward_call(self, name: str, id: str, source: Peer | None) -> bool:
        peers = (self._successor, self._predecessor)
        others = [peer.forward_call(name, id) for peer in peers if peer is not None and peer is not source]
        return all(await asyncio.gather(*others))  # concurrently, because the operators wait for the answer

    def _apply(self, name: str, id: str, sure: bool = False) -> Reply:
        if name in ("suspend", "resume"):
            return self._ban(id, name == "suspend", sure)
        if not self.lifecycle.apply(LifecycleEvent.DRAIN if name == "drain" else LifecycleEvent.ACTIVATE):
            return Reply(409, {"state": self.lifecycle.state.value, "error": f"cannot {name} now"})
        self._apply_drain()
        return self._confirm_recorded(Reply(200, {"state": self.lifecycle.state.value}))

    def _ban(self, id: str, out: bool, sure: bool) -> Reply:
        assert self._node is not None
        if not self._node.suspend(id, out, sure):
            return Reply(404, {"server": id, "error": "no server of this id was ever listed"})
        return self._confirm_recorded(Reply(200, {"server": id, "suspended": out}))

    def _confirm_recorded(self, reply: Reply) -> Reply:
        """Record the state after a call took effect; return ``reply``, or 503 if the state could not be recorded."""
        if self._write_record():
            return reply
        return Reply(
            503,
            reply.body | {"error": "in force, and not recorded: the folder cannot be written; call again"},
        )

    def leave(self) -> bool:
        """Begin the shutdown; return True if a successor accepts new connections."""
        is_handed_over = self.lifecycle.handed_over
        self.lifecycle.apply(LifecycleEvent.TERMINATE)
        self._apply_drain()
        if is_handed_over:
            self.stop_offering()
        return is_handed_over

    def stop_offering(self) -> None:
        """Leave the next successor to whoever serves, because this process closes its listener."""
        if self._predecessor is not None:
            self._predecessor.leave()

    def _apply_drain(self) -> None:
        if self._frontend is None:
            return
        if self.lifecycle.drained:
            self._frontend.drain()
        else:
            self._frontend.activate()

    def close(self) -> None:
        for peer in (self._successor, self._predecessor):
            if peer is not None:
                peer.close()

    # Host of a takeover.

    def take_snapshot(self) -> dict[str, Any]:
        assert self._gateway is not None and self._upstream is not None
        self._gateway.quotas.refill_accounts(self._clock())
        offset = self._clock.offset if isinstance(self._clock, UnixClock) else None
        return {
            "decisions": take_snapshot(self._gateway),
            "dials": self._upstream.server_addresses(), "drained": self.lifecycle.drained_by_operators,
            CLOCK_OFFSET: offset,
        }  # fmt: skip

    def duplicate_listener(self) -> int:
        assert self._frontend is not None
        return self._frontend.duplicate_listener()

    def duplicate_peer_socket(self) -> int | None:
        return None if self.peer_link is None else self.peer_link.duplicate_socket()

    def release_peer_address(self) -> None:
        if self.peer_link is not None:
            self.peer_link.release_address()

    def pause(self) -> None:
        assert self._frontend is not None
        self._frontend.pause()
        if self.peer_link is not None:
            self.peer_link.pause()

    def resume(self) -> None:
        self.lifecycle.apply(LifecycleEvent.TAKE_BACK)
        self._apply_drain()
        if self._frontend is not None and not self._frontend.is_shutting_down:
            self._frontend.resume()
        if self.peer_link is not None:
            self.peer_link.resume()

    def _run_in_background(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def split_state(self) -> None:
        assert self._gateway is not None
        self._split = StateSplit(self._gateway)

    def undo_split(self, whole: bool) -> None:
        split, self._split = self._split, None
        if split is None:
            return
        try:
            split.undo(whole, self._clock())
        except Exception:
            split.abandon(self._clock())  # what could not be taken back counts as used
            raise

    def set_late_successor(self, is_late: bool) -> None:
        if self._gateway is not None:
            self._gateway.quotas.set_late_successor(self._clock(), is_late)

    def skip_refills(self) -> None:
        if self._gateway is not None:
            self._gateway.quotas.skip_refills(self._clock())

    def set_successor(self, to: Peer | None) -> None:
        assert self._frontend is not None
        self.share_memory(2 if isinstance(to, Predecessor) else 1)
        if isinstance(to, Predecessor):
            self.lifecycle.apply(LifecycleEvent.HAND_OVER)
            self._frontend.set_handoff(to.pass_client)
        else:
            self._frontend.set_handoff(None)

    def count_open_attempts(self) -> list[tuple[str, str, int]]:
        return count_open_attempts(self._gateway) if self._gateway is not None else []

    def set_predecessor_attempts(self, rows: list[tuple[str, str, int]]) -> None:
        if self._predecessor_attempts is not None:
            self._predecessor_attempts.update({(plan, account): n for plan, account, n in rows})

    def adopt_connection(self, sock: socket.socket) -> None:
        assert self._frontend is not None
        self._run_in_background(self._frontend.adopt_connection(sock))

    def apply_call(self, name: str, id: str, source: Peer) -> None:
        if name in ("drain", "activate"):
            self.lifecycle.drained_by_operators = name == "drain"  # also where this process is leaving
        self._apply(name, id, sure=True)
        self._run_in_background(self._forward_call(name, id, source))  # a third process may be involved

    def known_request_ids(self) -> list[str]:
        if self._frontend is None:
            return []
        return [id.decode("latin-1") for id in self._frontend.request_ids.known()]

    def remember_request_ids(self, ids: list[str]) -> None:
        if self._frontend is not None:
            self._frontend.request_ids.remember(id.encode("latin-1") for id in ids)

    def on_request_announced(self, tell: Callable[[str], None] | None) -> None:
        if self._frontend is not None:
            self._frontend.request_ids.on_announced = (
                None if tell is None else lambda id: tell(id.decode("latin-1"))
            )

    def predecessor_ended(self) -> None:
        if self._gateway is not None:
            self._gateway.quotas.set_predecessor(False)
        self.share_memory(1)
        self.lifecycle.apply(LifecycleEvent.PREDECESSOR_ENDED)
        self._apply_drain()
