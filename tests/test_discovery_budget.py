"""All timeouts and backoffs share one limit: whatever failed before, a list is read within 6 s after discovery can
respond again. Played in virtual time."""

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

DELIVERY_LIMIT = 6.0  # seconds from when discovery had a change and was reachable until it counts as known
MAX_QUEUEING = 2.0  # longest queueing of a call at a shared discovery service, in seconds
# A response just within the timeouts: seconds until the dial completes, seconds until the head of the response, and the
# number of pieces of its list, 0.2 s apart.
SLOW_DIAL, SLOW_HEAD, PIECE_COUNT = 0.45, 2.4, 8
GRACE = 0.5  # shortest drain grace in seconds; what a local agent has counts as known at once
ADDRESS, NEW_ADDRESS = ("10.0.0.1", 8500), ("10.0.0.2", 8500)
Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter
BUSY_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
PARTIAL_CHUNK = chunk(message(43)[:70])
LAST_CHUNK = b"0\r\n\r\n"
STATES = [
    "busy", "refused", "hangs", "mute", "head", "half", "half, beats", "ends", "ends at once", "mixed",
]  # fmt: skip
KINDS = [state for state in STATES if state != "mixed"]


class Service:
    """Discovery at one address: calls meet the failure ``state`` until ``up_at``, and get the list from then on."""

    def __init__(self, loop: VirtualLoop, state: str, slow: bool, dial: float = 0.0) -> None:
        self._loop, self._state = loop, state
        self._dial, self._turn, self._pieces = (dial, SLOW_HEAD, PIECE_COUNT) if slow else (0.0, 0.0, 1)
        self.up_at, self._kinds = float("inf"), Random(5)
        self.calls = 0
        self.first_list_sent = asyncio.Event()

    async def listen(self, address: tuple[str, int]) -> None:
        connect = self._loop.network.connect

        async def dial(factory: Any, host: str, port: int, source: str = "127.0.0.1") -> Any:
            if (host, port) == address and self.first_list_sent.is_set() and not self.up:
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
        if not self.first_list_sent.is_set():
            writer.write(HEAD + chunk(message(42)))
            self.first_list_sent.set()
            await asyncio.sleep(1.0)
            writer.transport.abort()
        elif not self.up:
            answers = {
                "busy": BUSY_RESPONSE, "head": HEAD, "half": HEAD + PARTIAL_CHUNK, "half, beats": HEAD + PARTIAL_CHUNK,
                "ends": HEAD + chunk(b"\n") + LAST_CHUNK, "ends at once": HEAD + LAST_CHUNK,
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
                    chunk(text[at :: self._pieces] if self._pieces == 1 else _slice(text, at, self._pieces))
                )
                await asyncio.sleep(0.2)
        with suppress(ConnectionError):
            await reader.read()


def _slice(text: bytes, at: int, pieces: int) -> bytes:
    size = -(-len(text) // pieces)
    return text[at * size : (at + 1) * size]


def measure_delay(
    state: str, lasts: float, draw: Callable[[], float], *, pushed: bool = False, heard: bool = True, slow: bool = True,
    held: tuple[float, float] | None = None, moves: bool = False, dial: float = SLOW_DIAL,
) -> float:  # fmt: skip
    """Return the seconds from the return of discovery, after ``lasts`` seconds of ``state``, until its list is read.

    ``held`` stalls the limiter's loop from so many seconds before the return to so many after it. ``moves`` changes
    the address to one in that state, as SIGHUP does.
    """

    async def main(loop: VirtualLoop) -> float:
        loop.turns_left = 500_000
        service = Service(loop, state, slow, dial)
        known, owner = asyncio.Event(), Owner("n0")
        await service.listen(NEW_ADDRESS if moves else ADDRESS)
        if moves:
            before = Service(loop, state, False)
            before.up_at = 0.0
            await before.listen(ADDRESS)
        if not heard or moves:
            service.first_list_sent.set()

        def on_listing(listing: Listing) -> None:
            if listing.version == 43 and service.up:
                known.set()

        token = OWNER.set(owner)
        follower = DiscoveryClient(on_listing, draw, pushed)
        follower.follow(*ADDRESS, 41)
        OWNER.reset(token)
        if moves:
            await asyncio.sleep(1.0)
            follower.follow(*NEW_ADDRESS)
        else:
            await service.first_list_sent.wait()
            await asyncio.sleep(1.0 if heard else 0.0)
        at = loop.time() + lasts
        if held is not None:
            loop.call_at(at - held[0], loop.stop_owner, owner)
            loop.call_at(at + held[1], loop.resume_owner, owner)
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
each_draw = pytest.mark.parametrize("draws", DRAWS)


def longest_delay(draws: str, **how: Any) -> float:
    return max(
        measure_delay(lasts=lasts, draw=DRAWS[draws](seed), **how)
        for seed, lasts in zip(count(), PHASES, strict=False)
    )


@each_draw
@pytest.mark.parametrize("heard", [True, False], ids=["heard", "first start"])
@pytest.mark.parametrize("state", STATES)
def test_a_list_that_is_asked_for_is_read_in_time_in_every_state(state: str, heard: bool, draws: str) -> None:
    """The response is as slow as the timeouts allow: a slow dial, a queued head, and the list in pieces."""
    assert longest_delay(draws, state=state, heard=heard) < DELIVERY_LIMIT


@each_draw
@pytest.mark.parametrize("heard", [True, False], ids=["heard", "first start"])
@pytest.mark.parametrize("state", STATES)
def test_an_agent_on_this_machine_is_asked_within_the_shortest_grace(
    state: str, heard: bool, draws: str
) -> None:
    """Also after a 503, because a call to a local agent costs nothing."""
    assert longest_delay(draws, state=state, heard=heard, pushed=True, slow=False) < GRACE


@each_draw
@pytest.mark.parametrize("state", STATES)
def test_a_loop_that_was_held_over_the_return_still_asks_in_time(state: str, draws: str) -> None:
    """The part of the stall after the return is lost: 0.5 s with the slowest response, 3 s with a prompt one."""
    assert longest_delay(draws, state=state, held=(1.0, 0.5)) < DELIVERY_LIMIT
    assert longest_delay(draws, state=state, held=(1.0, 3.0), slow=False) < DELIVERY_LIMIT


@each_draw
@pytest.mark.parametrize("state", STATES)
def test_an_address_that_a_signal_named_is_asked_in_time_once_it_answers(state: str, draws: str) -> None:
    assert longest_delay(draws, state=state, moves=True) < DELIVERY_LIMIT


@each_draw
@pytest.mark.parametrize("state", ["busy", "mute", "head", "mixed"])
def test_a_call_that_came_up_at_once_is_left_its_whole_time(state: str, draws: str) -> None:
    """Also with as many concurrent calls as allowed, which the shortest waits lead to."""
    assert longest_delay(draws, state=state, dial=0.0) < DELIVERY_LIMIT


def test_every_wait_comes_from_the_budget() -> None:
    """The longest wait, a dial, a response head and a complete list take 6 s less the margin."""
    longest = (
        MAX_CALL_INTERVAL
        + TIMEOUTS[WatchState.DIALING]
        + TIMEOUTS[WatchState.AWAITING_ANSWER]
        + TIMEOUTS[WatchState.PARTIAL_MESSAGE]
    )
    assert (
        longest == pytest.approx(DELIVERY_LIMIT - DELIVERY_MARGIN)
        and DELIVERY_MARGIN >= 0.3
        and TIMEOUTS[WatchState.AWAITING_ANSWER] > MAX_QUEUEING
    )
    hedges = [
        table[at] * (1 + JITTER)
        for table in (HEDGE_DELAYS, HEDGE_DELAYS_SHARED, HEDGE_DELAYS_BUSY, HEDGE_DELAYS_URGENT)
        for at in table
    ]
    assert max(hedges) <= MAX_CALL_INTERVAL + 1e-9 and MAX_BACKOFF * (1 + JITTER) < GRACE
    for busy, pushed in ((True, False), (False, False), (True, True)):
        watch = Discovery(*ADDRESS, 41, lambda _: None, lambda: 1.0, pushed)
        watch._is_overloaded = busy
        waits = [watch.backoff() for _ in range(20)]
        assert max(waits) <= MAX_CALL_INTERVAL + 1e-9
    assert (
        MAX_CALLS_SHARED * HEDGE_DELAYS_URGENT[WatchState.AWAITING_ANSWER] * (1 - JITTER)
        > TIMEOUTS[WatchState.AWAITING_ANSWER]
    ), "each call has its full timeout"


def test_of_the_calls_that_are_out_one_that_came_further_stays() -> None:
    """A call whose list arrives slowly is not cancelled in favour of calls whose dial has not completed."""

    async def main(loop: VirtualLoop) -> float:
        connect, dials = loop.network.connect, count()
        known = asyncio.Event()

        async def dial(factory: Any, host: str, port: int, source: str = "127.0.0.1") -> Any:
            if next(dials):
                await loop.create_future()
            return await connect(factory, host, port, source)

        async def talk(reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(MAX_QUEUEING)
            for at in range(4):
                writer.write((b"" if at else HEAD) + chunk(_slice(message(43), at, 4)))
                await asyncio.sleep(0.3)
            await asyncio.Event().wait()

        loop.network.connect = dial  # type: ignore[method-assign]
        await asyncio.start_server(talk, *ADDRESS)
        task = loop.create_task(Discovery(*ADDRESS, 41, lambda _: known.set(), lambda: 0.0, True).follow())
        await asyncio.wait_for(known.wait(), 60)
        task.cancel()
        return loop.time()

    assert run_virtual(partial(main)) < MAX_QUEUEING + 1.2


@pytest.mark.parametrize(("refusals", "waits"), [(1, 0.8), (0, 0.6)], ids=["behind a refusal", "else"])
def test_a_call_that_a_busy_discovery_took_has_longer_until_the_next_begins_beside_it(
    refusals: int, waits: float
) -> None:
    """A call that was not turned away is queued, and a second call would only be queued behind it."""

    async def main(loop: VirtualLoop) -> float:
        asked, third = list[float](), asyncio.Event()

        async def talk(reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            asked.append(loop.time())
            if len(asked) <= refusals:
                writer.write(BUSY_RESPONSE)
            if len(asked) == refusals + 2:
                third.set()
            await reader.read()

        await asyncio.start_server(talk, *ADDRESS)
        task = loop.create_task(Discovery(*ADDRESS, 41, lambda _: None).follow())
        await asyncio.wait_for(third.wait(), 60)
        task.cancel()
        return asked[-1] - asked[-2]

    assert run_virtual(main) == pytest.approx(waits, abs=0.05)
