"""Each way in which the watch on discovery ends, with what may coincide: resets, silence, changes of address and
outages, in virtual time.

The limits are those of the standing page: a change counts as known at once if an agent has it, 6 s after the last byte
if a silent watch missed it, and 4 s after SIGHUP if a new address has it.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import struct
from collections.abc import Awaitable, Callable
from functools import partial
from random import Random

import pytest

from cypresspulley import interface as api
from cypresspulley.net import discovery
from cypresspulley.net.discovery import HEDGE_DELAYS, Discovery, DiscoveryClient, Listing, WatchState
from cypresspulley.rehearsal.virtual.loop import VirtualLoop, run_virtual
from tests.loopback import run
from tests.test_discovery import HEAD, chunk, message

GRACE = 0.5  # shortest drain grace in use, in seconds
MOVE_LIMIT = 4.0  # seconds after SIGHUP until the list of the new address counts as known
OLD, NEW = ("10.0.0.1", 8500), ("10.0.0.2", 8500)
Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter
each_draw = pytest.mark.parametrize("draw", [0.0, 0.5, 1.0])
BUSY = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"


class Agent:
    """An agent with a list of one server, which it sends to each watch unless the test makes it fail."""

    def __init__(self, loop: VirtualLoop, seq: int = 42) -> None:
        self.loop, self.seq, self.health = loop, seq, "ready"
        self.asked, self.open = list[str](), list[Writer]()
        self.down = False  # it accepts connections and does not respond
        self.busy = False
        self.silent = set[Writer]()  # open watches that get nothing more

    async def listen(self, address: tuple[str, int]) -> None:
        await asyncio.start_server(self._talk, *address)

    async def _talk(self, reader: Reader, writer: Writer) -> None:
        self.asked.append((await reader.readuntil(b"\r\n\r\n")).decode().split()[1])
        self.open.append(writer)
        if self.down:
            await asyncio.Event().wait()
        if self.busy:
            writer.write(BUSY)
            return
        writer.write(HEAD + chunk(message(self.seq, self.health)))
        while True:
            await asyncio.sleep(2.0)
            if self.down or writer in self.silent or writer.transport.is_closing():
                await asyncio.Event().wait()
            writer.write(chunk(b"\n"))

    def publish(self, health: str) -> None:
        """Change the server's health, and send the change to open and later watches."""
        self.seq, self.health = self.seq + 1, health
        for writer in self.open:
            if not self.down and writer not in self.silent and not writer.transport.is_closing():
                writer.write(chunk(message(self.seq, health)))

    def reset(self) -> None:
        for writer in self.open:
            writer.transport.abort()


class ListingRecorder:
    """Records which lists a limiter got, and when."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop, self.rows, self._news = loop, list[tuple[float, int, str]](), asyncio.Event()

    def __call__(self, listing: Listing) -> None:
        (entry,) = listing.servers.entries
        self.rows.append((self._loop.time(), listing.version, entry.health.value))
        self._news.set()

    @property
    def versions(self) -> list[int]:
        return [version for _, version, _ in self.rows]

    async def until(self, version: int) -> float:
        while version not in self.versions:
            self._news.clear()
            await asyncio.wait_for(self._news.wait(), 60)
        return next(at for at, seen, _ in self.rows if seen == version)


def count_connections(loop: VirtualLoop, address: tuple[str, int]) -> int:
    """Return the number of connections to an address that a limiter has open."""
    return sum(end.peer_address == address and not end._closing for end in loop.network.open_ends)


@each_draw
def test_a_reset_just_before_a_drain_is_no_reason_to_miss_it(draw: float) -> None:
    async def main(loop: VirtualLoop, ahead: float) -> None:
        agent, recorder = Agent(loop), ListingRecorder(loop)
        await agent.listen(OLD)
        task = loop.create_task(Discovery(*OLD, 41, recorder, lambda: draw, True).follow())
        await recorder.until(42)
        await asyncio.sleep(3.0)
        agent.reset()
        await asyncio.sleep(ahead)
        at = loop.time()
        agent.publish("draining")
        assert await recorder.until(43) - at < GRACE
        task.cancel()

    for ahead in (0.0, 0.001, 0.04, 0.1, 0.3):
        run_virtual(partial(main, ahead=ahead))


def test_after_an_outage_what_counts_at_once_is_known_within_the_shortest_grace() -> None:
    """Calls made during the outage never get a response. The longest delay of 60 phases is tested."""

    async def main(loop: VirtualLoop, phase: int) -> float:
        agent, recorder = Agent(loop), ListingRecorder(loop)
        await agent.listen(OLD)
        task = loop.create_task(Discovery(*OLD, 41, recorder, Random(phase).random, True).follow())
        await recorder.until(42)
        agent.down = True
        await asyncio.sleep(8.0 + 0.05 * phase)
        agent.down = False
        agent.publish("draining")
        at = loop.time()
        waited = await recorder.until(43) - at
        await asyncio.sleep(0.1)
        assert count_connections(loop, OLD) == 1, "the hedged calls have ended"
        task.cancel()
        return waited

    assert max(run_virtual(partial(main, phase=phase)) for phase in range(60)) < GRACE - 0.1


def test_an_outage_costs_no_more_than_a_few_connections_at_a_time() -> None:
    async def main(loop: VirtualLoop) -> None:
        agent, recorder = Agent(loop), ListingRecorder(loop)
        agent.down = True
        await agent.listen(OLD)
        task = loop.create_task(Discovery(*OLD, 41, recorder, Random(7).random, True).follow())
        for _ in range(200):
            await asyncio.sleep(0.05)
            assert count_connections(loop, OLD) <= 4
        assert (
            10 / (1.5 * HEDGE_DELAYS[WatchState.AWAITING_ANSWER]) - 2
            < len(agent.asked)
            < 10 / (0.5 * HEDGE_DELAYS[WatchState.AWAITING_ANSWER])
        )
        task.cancel()
        await asyncio.sleep(0.1)
        assert count_connections(loop, OLD) == 0, "no connection is left open"

    run_virtual(main)


@pytest.mark.parametrize("pushed", [True, False], ids=["pushed", "asked"])
def test_limiters_that_lose_their_watches_together_do_not_ask_in_step(pushed: bool) -> None:
    """Forty limiters lose their watches at one moment. Their later calls in the busiest 0.1 s are counted."""

    async def main(loop: VirtualLoop, seed: int) -> list[float]:
        agent, recorder, at = Agent(loop), ListingRecorder(loop), list[float]()
        await agent.listen(OLD)
        task = loop.create_task(Discovery(*OLD, 41, recorder, Random(seed).random, pushed).follow())
        await recorder.until(42)
        agent.down = True
        while loop.time() < 12.0:
            if len(agent.asked) - 1 > len(at):
                at.append(loop.time())
            await asyncio.sleep(0.01)
        task.cancel()
        return at

    each = [run_virtual(partial(main, seed=seed)) for seed in range(40)]
    late = sorted(time for times in each for time in times if time > 6.0)
    mean = len(late) / 6.0 / 10
    assert max(sum(t <= other < t + 0.1 for other in late) for t in late) < 2.2 * mean


@each_draw
def test_all_watches_silent_at_once_and_a_drain_right_behind(draw: float) -> None:
    """The drain begins right after the last byte of the watches."""

    async def main(loop: VirtualLoop) -> None:
        agent, recorder = Agent(loop), ListingRecorder(loop)
        await agent.listen(OLD)
        task = loop.create_task(Discovery(*OLD, 41, recorder, lambda: draw, True).follow())
        await recorder.until(42)
        before = loop.time()
        agent.silent |= set(agent.open)
        agent.publish("draining")
        assert await recorder.until(43) - before < 3.2
        task.cancel()

    run_virtual(main)


@pytest.mark.parametrize("how", ["end", "reset", "silence"])
@each_draw
def test_a_watch_that_dies_in_the_middle_of_a_message_tells_none_of_it_and_asks_again(
    how: str, draw: float
) -> None:
    async def main(loop: VirtualLoop) -> None:
        asked, recorder, cut = list[str](), ListingRecorder(loop), asyncio.Event()

        async def talk(reader: Reader, writer: Writer) -> None:
            asked.append((await reader.readuntil(b"\r\n\r\n")).decode().split()[1])
            if len(asked) > 1:
                writer.write(HEAD + chunk(message(43, "draining")))
                await asyncio.Event().wait()
            writer.write(HEAD + chunk(message(42)))
            await asyncio.sleep(1.0)
            writer.write(chunk(message(43, "gone")[:-9]))
            await asyncio.sleep(0.1)
            cut.set()
            if how == "reset":
                writer.transport.abort()
            elif how == "end":
                writer.close()
            await asyncio.Event().wait()

        await asyncio.start_server(talk, *OLD)
        task = loop.create_task(Discovery(*OLD, 41, recorder, lambda: draw, True).follow())
        await cut.wait()
        at = loop.time()
        waited = await recorder.until(43) - at
        assert waited < (GRACE if how != "silence" else 2.5), "an incomplete message times out soon"
        assert [row[1:] for row in recorder.rows] == [(42, "up"), (43, "draining")]
        assert asked[1].endswith("since=42")
        task.cancel()

    run_virtual(main)


# Versions never decrease.


def script(
    loop: VirtualLoop, asked: list[str], *answers: Callable[[Writer], Awaitable[None]]
) -> Awaitable[object]:
    async def talk(reader: Reader, writer: Writer) -> None:
        asked.append((await reader.readuntil(b"\r\n\r\n")).decode().split()[1])
        await answers[min(len(asked), len(answers)) - 1](writer)
        await asyncio.Event().wait()

    return asyncio.start_server(talk, *OLD)


def test_news_on_the_silent_watch_are_not_taken_back_by_an_older_answer_to_the_new_one() -> None:
    async def main(loop: VirtualLoop) -> None:
        recorder, asked, late = ListingRecorder(loop), list[str](), asyncio.Event()

        async def silent(writer: Writer) -> None:
            writer.write(HEAD + chunk(message(42)))
            await asyncio.sleep(2.7)
            writer.write(chunk(message(45, "draining")))
            await asyncio.sleep(0.01)
            late.set()

        async def behind(writer: Writer) -> None:
            await late.wait()
            writer.write(HEAD + chunk(message(44, "ready")))

        async def newest(writer: Writer) -> None:
            writer.write(HEAD + chunk(message(46, "draining")))

        await script(loop, asked, silent, behind, newest)
        task = loop.create_task(Discovery(*OLD, 41, recorder, pushed=True).follow())
        await recorder.until(46)
        assert [row[1:] for row in recorder.rows] == [(42, "up"), (45, "draining"), (46, "draining")]
        assert recorder.rows[-1][0] - recorder.rows[-2][0] < GRACE
        await asyncio.sleep(0.1)
        assert count_connections(loop, OLD) == 1
        task.cancel()

    run_virtual(main)


def test_a_list_that_stays_older_is_that_of_another_discovery() -> None:
    """The list is as old when requested again, so the versions have been restarted."""

    async def main(loop: VirtualLoop) -> None:
        recorder, asked, late = ListingRecorder(loop), list[str](), asyncio.Event()

        async def silent(writer: Writer) -> None:
            writer.write(HEAD + chunk(message(42)))
            await asyncio.sleep(2.7)
            writer.write(chunk(message(45, "draining")))
            await asyncio.sleep(0.01)
            late.set()

        async def replaced(writer: Writer) -> None:
            await late.wait()
            writer.write(HEAD + chunk(message(1, "ready")))

        await script(loop, asked, silent, replaced)
        task = loop.create_task(Discovery(*OLD, 41, recorder, pushed=True).follow())
        assert await recorder.until(1) < 4.0
        assert recorder.versions == [42, 45, 1]
        task.cancel()

    run_virtual(main)


def test_numbers_that_began_anew_are_followed_from_a_whole_list() -> None:
    """A partial update of an unknown list is not applied: the complete list is requested."""

    async def main(loop: VirtualLoop) -> None:
        recorder, asked = ListingRecorder(loop), list[str]()

        async def before(writer: Writer) -> None:
            writer.write(HEAD + chunk(message(42)))
            await asyncio.sleep(1.0)
            writer.transport.abort()

        async def part(writer: Writer) -> None:
            writer.write(HEAD + chunk(message(3, "gone")))

        async def whole(writer: Writer) -> None:
            text = json.dumps(json.loads(message(3, "draining")) | {"whole": True}).encode() + b"\n"
            writer.write(HEAD + chunk(text) + chunk(message(4, "ready")))

        await script(loop, asked, before, part, whole)
        task = loop.create_task(Discovery(*OLD, 41, recorder, pushed=True).follow())
        await recorder.until(4)
        assert [row[1:] for row in recorder.rows] == [(42, "up"), (3, "draining"), (4, "up")]
        assert asked == [f"/v1/servers?follow=1{since}" for since in ("&since=41", "&since=42", "")]
        task.cancel()

    run_virtual(main)


@pytest.mark.parametrize("first", [0, 1, 2])
def test_calls_that_are_answered_in_one_moment_leave_one_watch(first: int) -> None:
    """The first call to send a line becomes the watch. Messages of the others at the same moment are ignored."""

    async def main(loop: VirtualLoop, seed: int) -> None:
        recorder, writers = ListingRecorder(loop), list[Writer]()

        async def talk(reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writers.append(writer)
            if len(writers) == 3:
                order = [first, *(at for at in range(3) if at != first)]
                for place, at in enumerate(order):
                    answer = (
                        chunk(message(43, "draining")) if place else chunk(message(43)) + chunk(message(44))
                    )
                    writers[at].write(HEAD + answer)
            elif len(writers) > 3:
                writer.write(HEAD + chunk(message(46)))
            await asyncio.Event().wait()

        await asyncio.start_server(talk, *OLD)
        task = loop.create_task(Discovery(*OLD, 42, recorder, pushed=True).follow())
        await recorder.until(43)
        await asyncio.sleep(0.4)
        assert count_connections(loop, OLD) == 1 and len(writers) == 3
        assert recorder.versions in ([43, 44], [43])
        task.cancel()
        await asyncio.sleep(0.1)
        assert count_connections(loop, OLD) == 0

    for seed in range(20):
        run_virtual(partial(main, seed=seed), seed)


@pytest.mark.parametrize("turns", [0, 1])
def test_an_answer_in_the_same_turn_of_the_loop_meets_a_call_that_is_done_with(turns: int) -> None:
    """Two responses are in the socket buffers. The second is read before or after its cancelled task has run."""

    async def main(loop: VirtualLoop) -> None:
        agent, recorder = Agent(loop), ListingRecorder(loop)
        agent.down = True
        await agent.listen(OLD)
        watch = Discovery(*OLD, 42, recorder, pushed=True)
        task = loop.create_task(watch.follow())
        while len(agent.asked) < 2:
            await asyncio.sleep(0.01)
        first, second = list(watch._calls)
        first.data_received(HEAD + chunk(message(43)) + chunk(message(44)))
        for _ in range(turns):
            await asyncio.sleep(0)
        second.data_received(HEAD + chunk(message(43, "draining")))
        assert watch._active_watch is first and recorder.versions == [43, 44]
        await asyncio.sleep(0.1)
        assert watch._active_watch is first and not first.ended.done() and count_connections(loop, OLD) == 1
        assert watch._since == 44
        task.cancel()

    run_virtual(main)


# A change of address (SIGHUP) during each of these failures.


async def fine(agent: Agent) -> None:
    await asyncio.sleep(1.0)


async def outage(agent: Agent) -> None:
    agent.down = True
    await asyncio.sleep(5.3)


async def silence(agent: Agent) -> None:
    agent.down = True
    await asyncio.sleep(1.1)


async def refusal(agent: Agent) -> None:
    agent.busy = True
    agent.reset()
    await asyncio.sleep(9.0)


async def reset(agent: Agent) -> None:
    agent.reset()


async def half(agent: Agent) -> None:
    agent.open[-1].write(chunk(message(43, "gone")[:-9]))
    agent.down = True
    await asyncio.sleep(0.01)


TROUBLES = [fine, outage, silence, refusal, reset, half]


@each_draw
@pytest.mark.parametrize("trouble", TROUBLES, ids=lambda f: f.__name__)
def test_a_move_is_followed_at_once_whatever_the_old_address_does(
    trouble: Callable[[Agent], Awaitable[None]], draw: float
) -> None:
    async def main(loop: VirtualLoop) -> None:
        agent, other, recorder = Agent(loop), Agent(loop, seq=7), ListingRecorder(loop)
        await agent.listen(OLD)
        await other.listen(NEW)
        follower = DiscoveryClient(recorder, lambda: draw, True)
        follower.follow(*OLD, 41)
        await recorder.until(42)
        await trouble(agent)
        moved = loop.time()
        follower.follow(*NEW)
        assert await recorder.until(7) - moved < 0.1
        assert other.asked == ["/v1/servers?follow=1"], "the versions of another service are its own"
        agent.down = agent.busy = False
        agent.publish("gone")
        await asyncio.sleep(8.0)
        assert recorder.versions == [42, 7], "lists of the old address are ignored"
        assert count_connections(loop, OLD) == 0 and count_connections(loop, NEW) == 1
        follower.close()
        await asyncio.sleep(0.1)
        assert count_connections(loop, NEW) == 0

    run_virtual(main)


@each_draw
@pytest.mark.parametrize("trouble", TROUBLES, ids=lambda f: f.__name__)
def test_a_move_to_an_address_that_is_not_there_yet_is_known_in_time(
    trouble: Callable[[Agent], Awaitable[None]], draw: float
) -> None:
    """The new address first refuses connections and then is silent. Its list counts as known 4 s after the change."""

    async def main(loop: VirtualLoop) -> None:
        agent, other, recorder = Agent(loop), Agent(loop, seq=7), ListingRecorder(loop)
        await agent.listen(OLD)
        follower = DiscoveryClient(recorder, lambda: draw, True)
        follower.follow(*OLD, 41)
        await recorder.until(42)
        await trouble(agent)
        moved = loop.time()
        follower.follow(*NEW)
        await asyncio.sleep(1.0)
        other.down = True
        await other.listen(NEW)
        await asyncio.sleep(2.0)
        other.down = False
        assert await recorder.until(7) - moved < MOVE_LIMIT
        follower.close()

    run_virtual(main)


def test_two_moves_in_a_row_leave_the_last() -> None:
    async def main(loop: VirtualLoop) -> None:
        agent, other, recorder = Agent(loop), Agent(loop, seq=7), ListingRecorder(loop)
        await agent.listen(OLD)
        await other.listen(NEW)
        follower = DiscoveryClient(recorder, pushed=True)
        follower.follow(*OLD, 41)
        await recorder.until(42)
        follower.follow(*NEW)
        follower.follow(*OLD)  # and back, before the new address has sent anything
        await asyncio.sleep(5.0)
        assert count_connections(loop, NEW) == 0 and count_connections(loop, OLD) == 1
        assert recorder.versions == [42, 42], "the complete list, requested again"
        follower.close()

    run_virtual(main)


# On real sockets: errors of the operating system, and leaked descriptors.


def shorten_hedge_delays(monkeypatch: pytest.MonkeyPatch) -> None:
    for at in WatchState:
        monkeypatch.setitem(discovery.HEDGE_DELAYS, at, 0.02)


@pytest.mark.parametrize("how", ["reset", "end"])
def test_a_real_reset_in_the_middle_of_a_message(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        loop, heard = asyncio.get_running_loop(), asyncio.Event()
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        versions = list[int]()

        def on_listing(listing: Listing) -> None:
            versions.append(listing.version)
            assert listing.servers.entries[0].health is api.Health.UP
            heard.set()

        async def accept() -> tuple[socket.socket, bytes]:
            conn, _ = await loop.sock_accept(listener)
            return conn, await loop.sock_recv(conn, 4096)

        host, port = listener.getsockname()
        task = loop.create_task(Discovery(host, port, 41, on_listing, pushed=True).follow())
        conn, _ = await accept()
        await loop.sock_sendall(conn, HEAD + chunk(message(42)))
        await heard.wait()
        heard.clear()
        await loop.sock_sendall(conn, chunk(message(43, "gone")[:-9]))
        if how == "reset":
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        conn.close()
        conn, line = await accept()
        assert b"since=42 " in line
        await loop.sock_sendall(conn, HEAD + chunk(message(43)))
        await heard.wait()
        assert versions == [42, 43]
        task.cancel()
        assert await loop.sock_recv(conn, 100) == b"", "the client closed the connection"
        listener.close()

    run(main())


def test_calls_beside_the_one_that_speaks_are_ended_and_so_is_a_watch_that_moved(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    shorten_hedge_delays(monkeypatch)

    async def main() -> None:
        loop, heard = asyncio.get_running_loop(), asyncio.Event()
        listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
        for listener in listeners:
            listener.setblocking(False)
        addresses = [(str(host), int(port)) for host, port in (each.getsockname() for each in listeners)]

        async def accept(at: int) -> socket.socket:
            conn, _ = await loop.sock_accept(listeners[at])
            assert b"follow=1" in await loop.sock_recv(conn, 4096)
            return conn

        async def ended(conn: socket.socket) -> bool:
            try:
                return await loop.sock_recv(conn, 100) == b""
            except ConnectionResetError:
                return True

        follower = DiscoveryClient(lambda _: heard.set(), pushed=True)
        follower.follow(*addresses[0], 41)
        mute = [await accept(0) for _ in range(3)]  # accepted without a response
        await loop.sock_sendall(mute[1], HEAD + chunk(message(42)))
        await heard.wait()
        assert await ended(mute[0]) and await ended(mute[2])
        heard.clear()
        follower.follow(*addresses[1])
        new = await accept(1)
        await loop.sock_sendall(new, HEAD + chunk(message(7)))
        await heard.wait()
        assert await ended(mute[1]), "the watch of the previous address is closed"
        follower.close()
        assert await ended(new)

    run(main())


def count_descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


def test_dials_that_never_come_up_leave_no_descriptor(monkeypatch: pytest.MonkeyPatch) -> None:
    """The listener's accept queue is full, so that dials do not complete."""
    shorten_hedge_delays(monkeypatch)
    monkeypatch.setitem(discovery.TIMEOUTS, WatchState.DIALING, 0.05)
    begin = Discovery._begin_call

    async def play(loop: asyncio.AbstractEventLoop, host: str, port: int) -> int:
        """Make twelve dials and return the highest number of descriptors."""
        seen, enough = list[int](), asyncio.Event()

        def begin_counted_call(of: Discovery) -> discovery._Watch:
            seen.append(count_descriptors())
            if len(seen) == 12:
                enough.set()
            return begin(of)

        monkeypatch.setattr(Discovery, "_begin_call", begin_counted_call)
        task = loop.create_task(Discovery(host, port, 41, lambda _: None, pushed=True).follow())
        await enough.wait()
        task.cancel()
        await asyncio.wait([task])
        return max(seen)

    async def main() -> None:
        loop = asyncio.get_running_loop()
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        host, port = listener.getsockname()
        full = [socket.socket() for _ in range(3)]
        for each in full:
            each.setblocking(False)
            each.connect_ex((host, port))
        await asyncio.sleep(0)
        await play(loop, host, port)  # the loop opens some descriptors of its own with the first dial
        before = count_descriptors()
        most = await play(loop, host, port)
        assert most <= before + 4
        while count_descriptors() > before:
            await asyncio.sleep(0)
        for each in (listener, *full):
            each.close()

    run(main())
