"""Timeouts of a silent watch: from its last byte until the limiter knows the changes it missed, in virtual time."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from functools import partial
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cypresspulley.net import discovery
from cypresspulley.net.discovery import (
    MAX_CALL_INTERVAL,
    Discovery,
    DiscoveryClient,
    Listing,
    MalformedMessageError,
    MessageDecoder,
)
from cypresspulley.rehearsal.virtual.loop import VirtualLoop, run_virtual
from cypresspulley.rehearsal.virtual.owner import OWNER, Owner
from tests.test_discovery import HEAD, chunk, message

DELIVERY_LIMIT = 6.0  # seconds after a watch fell silent until the changes it missed count as known
MOVE_LIMIT = 4.0  # the same after a change of address by SIGHUP
HEARTBEAT = 2.0  # seconds between heartbeats
ADDRESS = ("10.0.0.1", 8500)
Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter
Talk = Callable[[Reader, Writer], Awaitable[None]]


async def send_and_hold(writer: Writer, *pieces: bytes) -> None:
    for piece in pieces:
        writer.write(piece)
        await asyncio.sleep(0)
    await asyncio.Event().wait()


async def beats(writer: Writer, first: bytes, count: int) -> None:
    """Send a message and then heartbeats."""
    writer.write(HEAD + first)
    for _ in range(count):
        await asyncio.sleep(HEARTBEAT)
        writer.write(chunk(b"\n"))


PARTIAL_CHUNK = chunk(message(43)[:70])


class Agent:
    """An agent whose first watch falls silent after ``beats`` heartbeats. Each later call meets the next trouble."""

    def __init__(self, loop: VirtualLoop, *troubles: str, beats: int = 2) -> None:
        self._loop, self._troubles, self._beats = loop, list(troubles), beats
        self._connect = loop.network.connect
        self.asked, self.silent_at = list[str](), 0.0
        self.silent = asyncio.Event()

    async def listen(self) -> None:
        await asyncio.start_server(self.talk, *ADDRESS)
        self._loop.network.connect = self._dial  # type: ignore[method-assign]

    async def _dial(self, factory: Any, host: str, port: int, source: str = "127.0.0.1") -> Any:
        trouble = self._troubles[0] if self._troubles and self.silent.is_set() else ""
        if trouble in ("never up", "refused"):
            self._troubles.pop(0)
            if trouble == "refused":
                raise ConnectionRefusedError(111, "refused")
            await self._loop.create_future()
        return await self._connect(factory, host, port, source)

    async def talk(self, reader: Reader, writer: Writer) -> None:
        self.asked.append((await reader.readuntil(b"\r\n\r\n")).decode().split()[1])
        if not self.silent.is_set():
            await beats(writer, chunk(message(42)), self._beats)
            self.silent_at = self._loop.time()
            self.silent.set()
            await asyncio.Event().wait()
        trouble = self._troubles.pop(0) if self._troubles else ""
        if trouble == "busy":
            return writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        if trouble == "half, beats":
            writer.write(HEAD + PARTIAL_CHUNK)
            while True:
                await asyncio.sleep(HEARTBEAT)
                writer.write(chunk(b"\n"))
        pieces = {
            "mute": (),
            "head": (HEAD,),
            "half": (HEAD, PARTIAL_CHUNK),
            "": (HEAD, chunk(message(43))),
        }
        await send_and_hold(writer, *pieces[trouble])


def measure_delay(*troubles: str, pushed: bool, draw: Callable[[], float] = lambda: 1.0) -> float:
    """Return the seconds from the last byte until the change is known; by default, with the longest waits."""

    async def main(loop: VirtualLoop) -> float:
        agent, known = Agent(loop, *troubles), asyncio.Event()
        await agent.listen()

        def on_listing(listing: Listing) -> None:
            if listing.version == 43:
                known.set()

        task = loop.create_task(Discovery(*ADDRESS, 41, on_listing, draw, pushed).follow())
        await asyncio.wait_for(known.wait(), 60)
        assert all(line.endswith("since=42") for line in agent.asked[1:]), (
            "the changes since the last version are requested"
        )
        task.cancel()
        return loop.time() - agent.silent_at

    return run_virtual(main)


TOLERATED = [
    (), ("never up",), ("never up",) * 2, ("never up",) * 3, ("never up",) * 4, ("never up",) * 6,
    ("refused",) * 6, ("mute",), ("mute",) * 2, ("mute",) * 3, ("mute", "never up"), ("head",), ("head",) * 2,
    ("head",) * 3, ("busy",), ("busy",) * 2, ("busy",) * 3, ("busy", "never up"), ("busy", "mute"), ("half",),
    ("half",) * 2, ("half", "never up"), ("half, beats",), ("half, beats",) * 2, ("refused", "mute", "never up"),
    ("head", "half", "mute"), ("half", "busy", "refused"), ("never up", "busy", "head"),
    ("busy",) * 4, ("head",) * 4, ("mute",) * 4, ("half",) * 3, ("busy", "busy", "mute", "mute"),
    ("busy",) * 6, ("head",) * 6, ("mute",) * 6, ("half",) * 6, ("busy", "mute", "head") * 2,
]  # fmt: skip


@pytest.mark.parametrize("pushed", [True, False], ids=["pushed", "asked"])
@pytest.mark.parametrize("troubles", TOLERATED, ids=", ".join)
def test_what_a_silent_watch_missed_is_known_before_it_counts_as_told(
    troubles: tuple[str, ...], pushed: bool
) -> None:
    assert measure_delay(*troubles, pushed=pushed) < DELIVERY_LIMIT


@pytest.mark.parametrize("pushed", [True, False], ids=["pushed", "asked"])
@given(
    st.lists(st.sampled_from(["never up", "refused", "mute", "head", "half", "half, beats"]), max_size=3),
    st.integers(0, 2**32),
)
def test_no_mixture_of_three_troubles_comes_too_late(pushed: bool, troubles: list[str], seed: int) -> None:
    assert measure_delay(*troubles, pushed=pushed, draw=Random(seed).random) < DELIVERY_LIMIT


@pytest.mark.parametrize("troubles", [("busy",) * 7, ("mute",) * 7], ids=", ".join)
def test_what_cannot_be_met_is_known_soon_after_the_trouble(troubles: tuple[str, ...]) -> None:
    """The design note names these cases, which the decision module has to tolerate."""
    assert DELIVERY_LIMIT < measure_delay(*troubles, pushed=False) < DELIVERY_LIMIT + MAX_CALL_INTERVAL


def test_where_lists_are_pushed_a_row_of_refusals_ends_in_time() -> None:
    assert measure_delay(*("busy",) * 8, pushed=True) < DELIVERY_LIMIT


@pytest.mark.parametrize("count", [4, 8, 11])
def test_where_lists_are_pushed_a_row_of_mute_calls_ends_in_time(count: int) -> None:
    assert measure_delay(*("mute",) * min(count, 8), pushed=True) < DELIVERY_LIMIT


def follow(
    loop: VirtualLoop, owner: Owner | None, on_listing: Callable[[Listing], None]
) -> asyncio.Task[None]:
    token = OWNER.set(owner)
    try:
        return loop.create_task(Discovery(*ADDRESS, 41, on_listing).follow())
    finally:
        OWNER.reset(token)


@pytest.mark.parametrize("held", [0.4, 1.0, 2.6, 4.0, 9.0])
def test_a_held_loop_does_not_take_its_own_stall_for_silence(held: float) -> None:
    async def main(loop: VirtualLoop) -> None:
        agent, owner = Agent(loop, beats=100), Owner("n0")
        await agent.listen()
        task = follow(loop, owner, lambda _: None)
        for at in range(6):
            await asyncio.sleep(6.0 + 0.37 * at)
            loop.stop_owner(owner)
            await asyncio.sleep(held)
            loop.resume_owner(owner)
        await asyncio.sleep(5.0)
        assert len(agent.asked) == 1
        task.cancel()

    run_virtual(main)


@pytest.mark.parametrize("after", [-0.01, 0.01, 0.3])
@pytest.mark.parametrize("held", [1.0, 2.6, 3.4, 5.0])
def test_a_held_loop_does_not_miss_a_silence(held: float, after: float) -> None:
    """The stall begins near the last byte: what is read after it may be as old as the stall."""

    async def main(loop: VirtualLoop) -> None:
        agent, owner, known = Agent(loop), Owner("n0"), asyncio.Event()
        await agent.listen()
        task = follow(loop, owner, lambda listing: known.set() if listing.version == 43 else None)
        await asyncio.sleep(2 * HEARTBEAT + after)
        loop.stop_owner(owner)
        await asyncio.sleep(held)
        loop.resume_owner(owner)
        await asyncio.wait_for(known.wait(), 60)
        assert loop.time() - agent.silent_at < max(DELIVERY_LIMIT, held + HEARTBEAT + 0.5)
        task.cancel()

    run_virtual(main)


def test_a_watch_that_was_only_late_is_heard_until_the_next_speaks() -> None:
    async def main(loop: VirtualLoop) -> None:
        received, late, done = list[int](), asyncio.Event(), asyncio.Event()

        async def talk(reader: Reader, writer: Writer) -> None:
            asked.append((await reader.readuntil(b"\r\n\r\n")).decode().split()[1])
            if len(asked) == 1:
                writer.write(HEAD + chunk(message(42)))
                await asyncio.sleep(8.0)
                await send_and_hold(writer, chunk(message(44)), chunk(message(45)))
            if not late.is_set():
                await asyncio.Event().wait()
            await send_and_hold(writer, HEAD, chunk(message(46)))

        def on_listing(listing: Listing) -> None:
            received.append(listing.version)
            received_at.append(loop.time())
            {45: late, 46: done}.get(listing.version, asyncio.Event()).set()

        asked, received_at = list[str](), list[float]()
        await asyncio.start_server(talk, *ADDRESS)
        task = follow(loop, None, on_listing)
        await asyncio.wait_for(done.wait(), 60)
        await asyncio.sleep(0.1)
        assert received == [42, 44, 45, 46] and received_at[1] < 8.1
        assert all(line.endswith("since=42") for line in asked[1:]), "version 43 may have been missed"
        mine = [end for end in loop.network.open_ends if end.peer_address == ADDRESS and not end._closing]
        assert len(mine) == 1, "only the newest watch is open"
        task.cancel()

    run_virtual(main)


@pytest.mark.parametrize("troubles", [(), ("never up",) * 3, ("mute",) * 2, ("refused",) * 5], ids=", ".join)
def test_a_move_is_known_before_it_counts_as_told(troubles: tuple[str, ...]) -> None:
    async def main(loop: VirtualLoop) -> None:
        agent, known = Agent(loop, *troubles), asyncio.Event()
        agent.silent.set()
        await agent.listen()
        follower = DiscoveryClient(lambda _: known.set(), lambda: 1.0)
        follower.follow(*ADDRESS)
        await asyncio.wait_for(known.wait(), 60)
        assert loop.time() < MOVE_LIMIT
        follower.close()

    run_virtual(main)


def test_after_an_outage_the_agent_is_asked_before_the_grace_of_a_drain_is_over() -> None:
    """The agent never responds to calls made during the outage. The longest delay of 60 phases is tested."""

    async def main(loop: VirtualLoop, up_at: float) -> float:
        known = asyncio.Event()

        async def talk(reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            if loop.time() < 1.0:
                await send_and_hold(writer, HEAD, chunk(message(42)))
            if loop.time() < up_at:
                await asyncio.Event().wait()
            await send_and_hold(writer, HEAD, chunk(message(43)))

        await asyncio.start_server(talk, *ADDRESS)

        def on_listing(listing: Listing) -> None:
            if listing.version == 43:
                known.set()

        task = loop.create_task(Discovery(*ADDRESS, 41, on_listing, Random(int(up_at * 100)).random).follow())
        await asyncio.wait_for(known.wait(), 60)
        task.cancel()
        return loop.time() - up_at

    waits = [run_virtual(partial(main, up_at=8 + 0.05 * phase)) for phase in range(60)]
    assert max(waits) < 1.5


# Messages on one line, or indented.

Rows = st.lists(
    st.dictionaries(
        st.text(max_size=6), st.one_of(st.integers(), st.text('{}[]"\\\n,:x', max_size=8), st.none())
    ),
    max_size=4,
)


@given(
    st.lists(
        st.tuples(Rows, st.sampled_from([None, 0, 2, "\t"]), st.sampled_from(["\n", "\r\n"])), max_size=4
    ),
    st.integers(0, 2**32),
)
def test_messages_are_read_however_they_are_laid_out_and_cut(
    drawn: list[tuple[list[dict[str, Any]], Any, str]], seed: int
) -> None:
    raw, data, rng = [{"seq": at, "hosts": rows} for at, (rows, _, _) in enumerate(drawn)], b"", Random(seed)
    for message_, (_, indent, end) in zip(raw, drawn, strict=True):
        text = json.dumps(message_, indent=indent).replace("\n", end) + end
        data += (text + rng.choice(["", "\n", "\r\n\n"])).encode()
    messages, found = MessageDecoder(), list[Any]()
    while data:
        at = rng.randint(1, len(data))
        found += messages.feed(data[:at])
        data = data[at:]
    assert found == raw and not messages.has_partial_message


@given(st.lists(st.binary(max_size=40), max_size=20), st.booleans())
def test_bytes_of_any_kind_are_read_or_refused(pieces: list[bytes], skip: bool) -> None:
    messages = MessageDecoder(skip)
    try:
        for piece in pieces:
            messages.feed(piece)
    except MalformedMessageError:
        pass


ENDLESS = {
    "deep in a line": b"[" * 100_000 + b"\n", "deep over lines": b"[\n" * 100, "objects": b'{"a":\n' * 65,
    "a long message": b'{"a":[\n"', "a long line": b"x",
}  # fmt: skip


@pytest.mark.parametrize("data", ENDLESS.values(), ids=ENDLESS)
def test_what_has_no_end_is_bounded(data: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "MAX_MESSAGE_BYTES", 50_000)
    messages = MessageDecoder()
    with pytest.raises(MalformedMessageError):
        for _ in range(10_000):
            messages.feed(data)
            messages.feed(b"x" * 100)


def test_an_indented_list_is_told() -> None:
    async def main(loop: VirtualLoop) -> None:
        async def talk(reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            text = json.dumps(json.loads(message(42)), indent=2).encode() + b"\n"
            await send_and_hold(
                writer, HEAD, *(chunk(line + b"\n") for line in text.splitlines()), chunk(message(43))
            )

        received, all_received = list[int](), asyncio.Event()

        def on_listing(listing: Listing) -> None:
            received.append(listing.version)
            all_received.set() if listing.version == 43 else None

        await asyncio.start_server(talk, *ADDRESS)
        task = follow(loop, None, on_listing)
        await asyncio.wait_for(all_received.wait(), 60)
        assert received == [42, 43] and loop.time() < 1.0
        task.cancel()

    run_virtual(main)
