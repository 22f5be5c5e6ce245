"""One budget for all waits: whatever failed before, a list is read 6 s after discovery can answer, in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from itertools import count
from random import Random
from typing import Any

import pytest

from cypresspulley.net.discovery import (
    DELIVERY_MARGIN,
    HEARTBEAT_INTERVAL,
    HEDGE_DELAYS,
    HEDGE_DELAYS_BUSY,
    HEDGE_DELAYS_SHARED,
    HEDGE_DELAYS_URGENT,
    JITTER,
    MAX_BACKOFF,
    MAX_CALL_INTERVAL,
    MAX_CALLS_SHARED,
    TIMEOUTS,
    Discovery,
    DiscoveryClient,
    Listing,
    WatchState,
)
from cypresspulley.rehearsal.virtual.loop import VirtualLoop, run_virtual
from cypresspulley.rehearsal.virtual.owner import OWNER, Owner
from tests.test_discovery import HEAD, chunk, message

TOLD = 6.0  # seconds after discovery had a change and could be reached
TURN = 2.0  # seconds that a call waits for its turn at most, where lists are asked for
# An answer that is just not given up, in seconds: until the dial is up, then until the answer begins, and its list's
# pieces, 0.2 s apart.
DIAL, HEADS, PIECES = 0.45, 2.4, 8
GRACE = 0.5  # seconds of the shortest grace of a drain; what a pushed list's agent has counts at once
WATCH, MOVED = ("10.0.0.1", 8500), ("10.0.0.2", 8500)
Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter
BUSY = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
HALF = chunk(message(43)[:70])
END = b"0\r\n\r\n"
STATES = [
    "busy", "refused", "hangs", "mute", "head", "half", "half, beats", "ends", "ends at once", "mixed",
]  # fmt: skip
KINDS = [state for state in STATES if state != "mixed"]


class Service:
    """Discovery at one address: each call meets ``state`` until ``up_at``; those that come later are answered."""

    def __init__(self, loop: VirtualLoop, state: str, slow: bool, dial: float = 0.0) -> None:
        self._loop, self._state = loop, state
        self._dial, self._turn, self._pieces = (dial, HEADS, PIECES) if slow else (0.0, 0.0, 1)
        self.up_at, self._kinds = float("inf"), Random(5)
        self.calls = 0
        self.said = asyncio.Event()

    async def listen(self, address: tuple[str, int]) -> None:
        connect = self._loop.network.connect

        async def dial(factory: Any, host: str, port: int, source: str = "127.0.0.1") -> Any:
            if (host, port) == address and self.said.is_set() and not self.up:
                self.calls += 1
                kind = self._kind()
                if kind == "refused":
                    raise ConnectionRefusedError(111, "refused")
                if kind == "hangs":
                    await self._loop.create_future()
            elif (host, port) == address and self.up:
                await asyncio.sleep(self._dial)
            return await connect(factory, host, port, source)

        self._loop.network.connect = dial  # type: ignore[method-assign]
        await asyncio.start_server(self._talk, *address)

    @property
    def up(self) -> bool:
        return self._loop.time() >= self.up_at

    def _kind(self) -> str:
        return self._kinds.choice(KINDS) if self._state == "mixed" else self._state

    async def _talk(self, reader: Reader, writer: Writer) -> None:
        kind = self._kind()
        await reader.readuntil(b"\r\n\r\n")
        if not self.said.is_set():
            writer.write(HEAD + chunk(message(42)))
            self.said.set()
            await asyncio.sleep(1.0)
            writer.transport.abort()
        elif not self.up:
            answers = {
                "busy": BUSY, "head": HEAD, "half": HEAD + HALF, "half, beats": HEAD + HALF, 
                "ends": HEAD + chunk(b"\n") + END, "ends at once": HEAD + END,
            }  # fmt: skip
            writer.write(answers.get(kind, b""))
            while kind == "half, beats" and not reader.at_eof():
                await asyncio.sleep(HEARTBEAT_INTERVAL)
                writer.write(chunk(b"\n"))
        else:
            await asyncio.sleep(self._turn)
            text = message(43)
            writer.write(HEAD)
            for at in range(self._pieces):
                writer.write(
                    chunk(text[at :: self._pieces] if self._pieces == 1 else _cut(text, at, self._pieces))
                )
                await asyncio.sleep(0.2)
        with suppress(ConnectionError):
            await reader.read()


def _cut(text: bytes, at: int, pieces: int) -> bytes:
    size = -(-len(text) // pieces)
    return text[at * size : (at + 1) * size]


def waited(
    state: str, lasts: float, draw: Callable[[], float], *, pushed: bool = False, heard: bool = True, slow: bool = True,
    held: tuple[float, float] | None = None, moves: bool = False, dial: float = DIAL,
) -> float:  # fmt: skip
    """Seconds from the moment that discovery can answer, after ``lasts`` seconds of ``state``, until its list is read.

    ``held``: the limiter's loop stands still from so long before that moment to so long after; ``moves``: SIGHUP
    names an address in that state.
    """

    async def main(loop: VirtualLoop) -> float:
        loop.turns_left = 500_000
        service = Service(loop, state, slow, dial)
        known, owner = asyncio.Event(), Owner("n0")
        await service.listen(MOVED if moves else WATCH)
        if moves:
            before = Service(loop, state, False)
            before.up_at = 0.0
            await before.listen(WATCH)
        if not heard or moves:
            service.said.set()

        def tell(listing: Listing) -> None:
            if listing.version == 43 and service.up:
                known.set()

        token = OWNER.set(owner)
        follower = DiscoveryClient(tell, draw, pushed)
        follower.follow(*WATCH, 41)
        OWNER.reset(token)
        if moves:
            await asyncio.sleep(1.0)
            follower.follow(*MOVED)
        else:
            await service.said.wait()
            await asyncio.sleep(1.0 if heard else 0.0)
        at = loop.time() + lasts
        if held is not None:
            loop.call_at(at - held[0], loop.stop_owner, owner)
            loop.call_at(at + held[1], loop.wake_owner, owner)
        await asyncio.sleep(lasts)
        service.up_at = loop.time()
        await asyncio.wait_for(known.wait(), 60)
        follower.close()
        return loop.time() - service.up_at

    return run_virtual(main)


DRAWS: dict[str, Callable[[int], Callable[[], float]]] = {
    "least": lambda _: lambda: 0.0, "most": lambda _: lambda: 1.0, "drawn": lambda seed: Random(seed).random,
}  # fmt: skip
PHASES = [0.83, 9.4]
drawn = pytest.mark.parametrize("draws", DRAWS)


def worst(draws: str, **how: Any) -> float:
    return max(
        waited(lasts=lasts, draw=DRAWS[draws](seed), **how)
        for seed, lasts in zip(count(), PHASES, strict=False)
    )


@drawn
@pytest.mark.parametrize("heard", [True, False], ids=["heard", "first start"])
@pytest.mark.parametrize("state", STATES)
def test_a_list_that_is_asked_for_is_read_in_time_in_every_state(state: str, heard: bool, draws: str) -> None:
    """The answer is as slow as one may be: the dial, the head, which waits for its turn, and the list in pieces."""
    assert worst(draws, state=state, heard=heard) < TOLD


@drawn
@pytest.mark.parametrize("heard", [True, False], ids=["heard", "first start"])
@pytest.mark.parametrize("state", STATES)
def test_an_agent_on_this_machine_is_asked_within_the_shortest_grace(
    state: str, heard: bool, draws: str
) -> None:
    """Whatever it answered before, also 503: a call costs nothing there."""
    assert worst(draws, state=state, heard=heard, pushed=True, slow=False) < GRACE


@drawn
@pytest.mark.parametrize("state", STATES)
def test_a_loop_that_was_held_over_the_return_still_asks_in_time(state: str, draws: str) -> None:
    """What lies behind the return is lost: half a second beside the slowest answer, 3 s beside a prompt one."""
    assert worst(draws, state=state, held=(1.0, 0.5)) < TOLD
    assert worst(draws, state=state, held=(1.0, 3.0), slow=False) < TOLD


@drawn
@pytest.mark.parametrize("state", STATES)
def test_an_address_that_a_signal_named_is_asked_in_time_once_it_answers(state: str, draws: str) -> None:
    assert worst(draws, state=state, moves=True) < TOLD


@drawn
@pytest.mark.parametrize("state", ["busy", "mute", "head", "mixed"])
def test_a_call_that_came_up_at_once_is_left_its_whole_time(state: str, draws: str) -> None:
    """Also beside as many others as there may be, which the shortest waits bring."""
    assert worst(draws, state=state, dial=0.0) < TOLD


def test_every_wait_comes_from_the_budget() -> None:
    """The longest wait, a dial, a head and a whole list take 6 s less the margin."""
    longest = (
        MAX_CALL_INTERVAL
        + TIMEOUTS[WatchState.DIALING]
        + TIMEOUTS[WatchState.AWAITING_ANSWER]
        + TIMEOUTS[WatchState.PARTIAL_MESSAGE]
    )
    assert (
        longest == pytest.approx(TOLD - DELIVERY_MARGIN)
        and DELIVERY_MARGIN >= 0.3
        and TIMEOUTS[WatchState.AWAITING_ANSWER] > TURN
    )
    hedges = [
        table[at] * (1 + JITTER)
        for table in (HEDGE_DELAYS, HEDGE_DELAYS_SHARED, HEDGE_DELAYS_BUSY, HEDGE_DELAYS_URGENT)
        for at in table
    ]
    assert max(hedges) <= MAX_CALL_INTERVAL + 1e-9 and MAX_BACKOFF * (1 + JITTER) < GRACE
    for busy, pushed in ((True, False), (False, False), (True, True)):
        watch = Discovery(*WATCH, 41, lambda _: None, lambda: 1.0, pushed)
        watch._is_overloaded = busy
        waits = [watch.backoff() for _ in range(20)]
        assert max(waits) <= MAX_CALL_INTERVAL + 1e-9
    assert (
        MAX_CALLS_SHARED * HEDGE_DELAYS_URGENT[WatchState.AWAITING_ANSWER] * (1 - JITTER)
        > TIMEOUTS[WatchState.AWAITING_ANSWER]
    ), "each has its whole time"


def test_of_the_calls_that_are_out_one_that_came_further_stays() -> None:
    """A list that comes slowly is not given up for the sake of calls that are not even up."""

    async def main(loop: VirtualLoop) -> float:
        connect, dials = loop.network.connect, count()
        known = asyncio.Event()

        async def dial(factory: Any, host: str, port: int, source: str = "127.0.0.1") -> Any:
            if next(dials):
                await loop.create_future()
            return await connect(factory, host, port, source)

        async def talk(reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(TURN)
            for at in range(4):
                writer.write((b"" if at else HEAD) + chunk(_cut(message(43), at, 4)))
                await asyncio.sleep(0.3)
            await asyncio.Event().wait()

        loop.network.connect = dial  # type: ignore[method-assign]
        await asyncio.start_server(talk, *WATCH)
        task = loop.create_task(Discovery(*WATCH, 41, lambda _: known.set(), lambda: 0.0, True).follow())
        await asyncio.wait_for(known.wait(), 60)
        task.cancel()
        return loop.time()

    assert run_virtual(partial(main)) < TURN + 1.2


@pytest.mark.parametrize(("refusals", "waits"), [(1, 0.8), (0, 0.6)], ids=["behind a refusal", "else"])
def test_a_call_that_a_busy_discovery_took_has_longer_until_the_next_begins_beside_it(
    refusals: int, waits: float
) -> None:
    """It answers: what it has not turned away waits for its turn, and a second call would wait behind it."""

    async def main(loop: VirtualLoop) -> float:
        asked, third = list[float](), asyncio.Event()

        async def talk(reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            asked.append(loop.time())
            if len(asked) <= refusals:
                writer.write(BUSY)
            if len(asked) == refusals + 2:
                third.set()
            await reader.read()

        await asyncio.start_server(talk, *WATCH)
        task = loop.create_task(Discovery(*WATCH, 41, lambda _: None).follow())
        await asyncio.wait_for(third.wait(), 60)
        task.cancel()
        return asked[-1] - asked[-2]

    assert run_virtual(main) == pytest.approx(waits, abs=0.05)
