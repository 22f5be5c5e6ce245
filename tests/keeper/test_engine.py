"""The counter over the Redis protocol: errors, broken connections and failovers of the stand-in add nothing twice."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import hypothesis
import pytest
from hypothesis import strategies as st
from redis.crc import key_slot

from cypresspulley.interface import Status
from cypresspulley.keeper.engine import EngineCounter, EngineError, EngineUrl, parse_engine_url
from cypresspulley.rehearsal.standins.engine import SLOTS, EngineNode
from tests.loopback import run

LONG_TIMEOUT = 5.0  # seconds; a timeout that no call should reach


class Caller:
    """Makes calls, waits for each and records the results."""

    def __init__(self, counter: EngineCounter) -> None:
        self.counter = counter
        self.answers = list[tuple[int, Status, float]]()

    async def add(self, name: int = 1, amount: float = 1.0, life: float = 60.0) -> tuple[Status, float]:
        done = asyncio.get_running_loop().create_future()

        def finished(status: Status, total: float) -> None:
            self.answers.append((name, status, total))
            done.set_result((status, total))

        self.counter.call(name, amount, life, finished)
        found: tuple[Status, float] = await done
        return found


@asynccontextmanager
async def engines(
    count: int = 1, timeout: float = LONG_TIMEOUT, query: str = ""
) -> AsyncIterator[tuple[list[EngineNode], Caller]]:
    nodes = [EngineNode() for _ in range(count)]
    ports = [await node.listen() for node in nodes]
    hosts = ",".join(f"127.0.0.1:{port}" for port in ports)
    counter = EngineCounter(parse_engine_url(f"redis://{hosts}/{query}"), timeout)
    try:
        yield nodes, Caller(counter)
    finally:
        counter.close()
        for node in nodes:
            node.stop()


def run_with_engines(scenario: Callable[[list[EngineNode], Caller], Awaitable[None]], **how: object) -> None:
    async def main() -> None:
        async with engines(**how) as (nodes, caller):  # type: ignore[arg-type]
            await scenario(nodes, caller)

    run(main())


@pytest.mark.parametrize("protocol", [2, 3])
def test_totals_add_up_and_names_are_apart(protocol: int) -> None:
    async def scenario(nodes: list[EngineNode], caller: Caller) -> None:
        assert await caller.add(1, 2.5) == (Status.OK, 2.5)
        assert await caller.add(1, -1.0) == (Status.OK, 1.5)
        assert await caller.add(2, 0.0) == (Status.OK, 0.0)
        assert nodes[0].total("fawnseam:{1}") == 1.5

    run_with_engines(scenario, query=f"?protocol={protocol}")


def test_a_name_lives_from_its_first_call_and_later_ones_do_not_extend_it() -> None:
    async def main() -> None:
        now = 100.0
        node = EngineNode(lambda: now)
        counter = EngineCounter(parse_engine_url(f"redis://127.0.0.1:{await node.listen()}"), LONG_TIMEOUT)
        caller = Caller(counter)
        assert await caller.add(1, 1.0, 4.0) == (Status.OK, 1.0)
        now = 103.0
        assert await caller.add(1, 1.0, 4.0) == (Status.OK, 2.0)
        now = 104.5
        assert await caller.add(1, 1.0, 4.0) == (Status.OK, 1.0)
        counter.close()
        node.stop()

    run(main())


@pytest.mark.parametrize(
    ("fault", "status"),
    [
        ("loading", Status.UNREACHABLE), ("replica", Status.UNREACHABLE), ("out_of_memory", Status.FULL),
    ],
)  # fmt: skip
def test_a_refusal_adds_nothing_and_is_over_with_its_cause(fault: str, status: Status) -> None:
    async def scenario(nodes: list[EngineNode], caller: Caller) -> None:
        setattr(nodes[0], fault, True)
        assert (await caller.add())[0] is status
        assert nodes[0].total("fawnseam:{1}") == 0.0
        setattr(nodes[0], fault, False)
        assert await caller.add() == (Status.OK, 1.0)

    run_with_engines(scenario)


@pytest.mark.parametrize(("drop", "added"), [("before", 0.0), ("after", 1.0)])
def test_a_break_behind_the_call_is_told_as_maybe_and_nothing_is_sent_again(drop: str, added: float) -> None:
    async def scenario(nodes: list[EngineNode], caller: Caller) -> None:
        await caller.add(9)  # loads the script and opens a connection
        nodes[0].drop, nodes[0].drops_left = drop, 1
        calls = nodes[0].calls
        assert (await caller.add())[0] is Status.BROKEN
        assert nodes[0].calls == calls + 1 and nodes[0].total("fawnseam:{1}") == added
        assert await caller.add() == (Status.OK, added + 1)

    run_with_engines(scenario)


def test_no_answer_in_time_is_told_as_maybe_and_a_late_one_meets_no_other_call() -> None:
    async def scenario(nodes: list[EngineNode], caller: Caller) -> None:
        await caller.add(9)  # loads the script
        nodes[0].delay = 0.3
        assert (await caller.add(1, 5.0))[0] is Status.TIMEOUT
        nodes[0].delay = 0.0
        assert await caller.add(2, 1.0) == (Status.OK, 1.0)
        assert nodes[0].total("fawnseam:{1}") == 5.0

    run_with_engines(scenario, timeout=0.1)


def test_nobody_there_is_unreachable_and_the_next_address_takes_over() -> None:
    async def scenario(nodes: list[EngineNode], caller: Caller) -> None:
        await caller.add()
        nodes[0].stop()
        statuses = [(await caller.add())[0] for _ in range(4)]
        assert statuses[-1] is Status.OK and set(statuses) <= {Status.BROKEN, Status.UNREACHABLE, Status.OK}

    run_with_engines(scenario, count=2)


def test_a_failover_that_forgets_is_a_total_that_runs_backwards() -> None:
    async def scenario(nodes: list[EngineNode], caller: Caller) -> None:
        old, new = nodes
        new.replica = True
        totals = [(await caller.add())[1] for _ in range(5)]
        new.promote(old, lost=3)
        old.replica = True
        assert (await caller.add())[0] is Status.UNREACHABLE  # READONLY: nothing was added
        assert totals == [1.0, 2.0, 3.0, 4.0, 5.0] and await caller.add() == (Status.OK, 3.0)

    run_with_engines(scenario, count=2)


def test_answers_of_one_name_come_in_the_order_of_the_calls() -> None:
    async def scenario(nodes: list[EngineNode], caller: Caller) -> None:
        await caller.add(7)
        await asyncio.gather(*(caller.add(1, amount) for amount in (1.0, 10.0, 100.0)))
        assert [name for name, _, _ in caller.answers] == [7, 1, 1, 1]
        assert nodes[0].total("fawnseam:{1}") == 111.0

    run_with_engines(scenario)


def test_noise_is_no_total() -> None:
    async def scenario(nodes: list[EngineNode], caller: Caller) -> None:
        nodes[0].garbled = True
        assert (await caller.add())[0] is Status.BROKEN  # it was added, or may have been

    run_with_engines(scenario)


# Clusters.


def form_cluster(nodes: list[EngineNode]) -> None:
    """Give each node half of the slots, as both report in CLUSTER SLOTS."""
    half = SLOTS // 2
    rows = [(0, half - 1, "127.0.0.1", nodes[0].port), (half, SLOTS - 1, "127.0.0.1", nodes[1].port)]
    for n, node in enumerate(nodes):
        node.slot_ranges = rows
        node.owned_slots = set(range(half * n, half * (n + 1)))
        other = nodes[1 - n]
        node.moved_slots = dict.fromkeys(set(range(SLOTS)) - node.owned_slots, ("127.0.0.1", other.port))


def slot_of(name: int) -> int:
    return int(key_slot(f"fawnseam:{{{name}}}".encode()))


def test_calls_go_to_the_node_of_their_slot() -> None:
    async def scenario(nodes: list[EngineNode], caller: Caller) -> None:
        form_cluster(nodes)
        for name in range(40):
            assert await caller.add(name) == (Status.OK, 1.0)
        assert all(len(node.values) > 5 for node in nodes)
        for node in nodes:
            assert node.owned_slots is not None and all(
                key_slot(key.encode()) in node.owned_slots for key in node.values
            )

    run_with_engines(scenario, count=2, query="?cluster=1")


def test_moved_slots_are_followed_and_remembered() -> None:
    async def scenario(nodes: list[EngineNode], caller: Caller) -> None:
        form_cluster(nodes)
        name = next(n for n in range(100) if slot_of(n) < SLOTS // 2)
        await caller.add(name)
        slot, (here, there) = slot_of(name), nodes
        assert here.owned_slots is not None and there.owned_slots is not None
        here.owned_slots.discard(slot)
        here.moved_slots[slot] = ("127.0.0.1", there.port)
        there.owned_slots.add(slot)
        assert await caller.add(name) == (Status.OK, 1.0)  # the value was not migrated
        before = here.calls
        assert await caller.add(name) == (Status.OK, 2.0) and here.calls == before

    run_with_engines(scenario, count=2, query="?cluster=1")


def test_a_slot_on_its_way_is_asked_for_once_and_not_remembered() -> None:
    async def scenario(nodes: list[EngineNode], caller: Caller) -> None:
        form_cluster(nodes)
        name = next(n for n in range(100) if slot_of(n) < SLOTS // 2)
        slot, (here, there) = slot_of(name), nodes
        here.migrating_slots[slot] = ("127.0.0.1", there.port)
        there.importing_slots.add(slot)
        assert await caller.add(name) == (Status.OK, 1.0)
        assert there.total(f"fawnseam:{{{name}}}") == 1.0 and here.calls >= 1
        calls = here.calls
        await caller.add(name)
        assert here.calls > calls

    run_with_engines(scenario, count=2, query="?cluster=1")


def test_nodes_that_send_a_call_round_do_not_hold_it_for_ever() -> None:
    async def scenario(nodes: list[EngineNode], caller: Caller) -> None:
        form_cluster(nodes)
        for node, other in zip(nodes, reversed(nodes), strict=True):
            node.owned_slots, node.moved_slots = set(), dict.fromkeys(range(SLOTS), ("127.0.0.1", other.port))
        assert (await caller.add())[0] is Status.UNREACHABLE

    run_with_engines(scenario, count=2, query="?cluster=1")


def test_a_slot_nobody_serves_is_unreachable() -> None:
    async def scenario(nodes: list[EngineNode], caller: Caller) -> None:
        form_cluster(nodes)
        for node in nodes:
            node.owned_slots, node.moved_slots = set(), {}
        assert (await caller.add())[0] is Status.UNREACHABLE

    run_with_engines(scenario, count=2, query="?cluster=1")


# No addition is made twice.


@hypothesis.settings(derandomize=True, deadline=None, max_examples=25)
@hypothesis.given(
    st.lists(st.sampled_from(("ok", "before", "after", "loading", "oom")), min_size=1, max_size=25)
)
def test_what_is_told_as_added_was_added_once_and_what_is_told_as_not_was_not(faults: list[str]) -> None:
    async def scenario(nodes: list[EngineNode], caller: Caller) -> None:
        node, sure, maybe = nodes[0], 0, 0
        await caller.add(9)  # loads the script
        for fault in faults:
            node.loading, node.out_of_memory = fault == "loading", fault == "oom"
            node.drop, node.drops_left = (fault, 1) if fault in ("before", "after") else ("", 0)
            status, _ = await caller.add()
            sure += status is Status.OK
            maybe += status in (Status.BROKEN, Status.TIMEOUT)
        assert sure <= node.total("fawnseam:{1}") <= sure + maybe
        assert node.total("fawnseam:{1}") == sum(fault in ("ok", "after") for fault in faults)

    run_with_engines(scenario)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=25)
@hypothesis.given(st.binary(max_size=200))
def test_the_stand_in_stands_any_bytes(data: bytes) -> None:
    async def scenario(nodes: list[EngineNode], caller: Caller) -> None:
        _, writer = await asyncio.open_connection("127.0.0.1", nodes[0].port)
        writer.write(data)
        writer.write_eof()
        await writer.drain()
        assert await caller.add() == (Status.OK, 1.0)
        writer.close()

    run_with_engines(scenario)


# URLs.


def test_a_url_is_read_whole_and_its_password_not_shown() -> None:
    url = parse_engine_url("redis://me:s%40cret@a:1,b:2/0?cluster=1&prefix=q:&protocol=2")
    assert url == EngineUrl((("a", 1), ("b", 2)), "me", "s@cret", 0, True, "q:", 2)
    assert "s@cret" not in repr(url) and "cret" not in repr(url)


@pytest.mark.parametrize(
    "text",
    [
        "http://a:1", "redis://", "redis://a", "redis://a:x", "redis://a:1?shards=2", "redis://a:1/x",
        "redis://a:1?cluster=2", "redis://a:1/3?cluster=1", "redis://a:70000", "redis://a:1?protocol=4",
    ],
)  # fmt: skip
def test_a_wrong_url_says_what_was_expected(text: str) -> None:
    with pytest.raises(EngineError):
        parse_engine_url(text)
