"""The rehearsal of a fleet: scenario tables, relay, datagrams, clocks, calendars and the harness's history."""

from __future__ import annotations

import asyncio
import json
from contextvars import copy_context
from datetime import datetime
from pathlib import Path
from typing import Any
from zoneinfo import ZoneInfo

import pytest
import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st

from cypresspulley.histories.clock import Shift, ShiftedClock, parse_shift
from cypresspulley.histories.events import FACTS, Kind
from cypresspulley.histories.read import HARNESS, Histories, from_memory, read_folder
from cypresspulley.histories.writer import MemoryHistory
from cypresspulley.operators import OperatorsError, load_operators
from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.calendars import (
    INITIAL_VERSION,
    LAST_WEEK_VERSION,
    CalendarVersions,
    caching_accounts,
    local_times_by_date,
)
from cypresspulley.rehearsal.closing_schedule import ClosingSchedule
from cypresspulley.rehearsal.datagram_faults import ScheduledDatagramFault, datagram_fault
from cypresspulley.rehearsal.harness_history import HarnessHistory, read_made_time
from cypresspulley.rehearsal.judge import judge
from cypresspulley.rehearsal.plan import PlannedFault, draw_plan
from cypresspulley.rehearsal.report import conclusion
from cypresspulley.rehearsal.scenario import (
    FLEET_KINDS,
    Fault,
    Scenario,
    ScenarioError,
    limiter_names,
    load_scenario,
    parse_scenario,
    shipped_scenarios,
)
from cypresspulley.rehearsal.standins.datagrams import Address, DatagramFault, Relay, routes_between
from cypresspulley.rehearsal.virtual.datagrams import DATAGRAM_OVERHEAD_BYTES, RECEIVE_BUFFER_BYTES
from cypresspulley.rehearsal.virtual.loop import VirtualLoop, run_virtual
from cypresspulley.rehearsal.virtual.owner import OWNER, Owner
from cypresspulley.rehearsal.virtual.play import digest, play_virtual
from tests.rehearsal.logs import LogBuilder
from tests.rehearsal.small import small

FLEET_SCENARIOS = (
    "fleet-crash", "fleet-partition", "fleet-paused", "lanes-shed", "lanes-cut", "closing-calm", "closing-cut",
    "closing-paused", "wedding-close",
)  # fmt: skip
PLACES = [
    {"name": "vadodara", "zone": "Asia/Kolkata", "closes": [1, 3]},
    {"name": "lisbon", "zone": "Europe/Lisbon", "closes": [3]},
]
LANES = [{"name": "premium", "plans": ["hard"], "floor": 0.5}, {"name": "rest", "plans": ["free"]}]


def fleet_scenario(**changes: Any) -> Scenario:
    """Returns the small scenario with a fleet of three limiters, changed by ``changes``."""
    raw: dict[str, Any] = {
        "together": {"period_ms": 50},
        "limiters": {"count": 3},
        "load": {"inside": 30, "heavy": 0, "full": 0, "spiky": 0, "spread": [2, 3]},
        "fault": [],
    }
    return small(**(raw | changes))


def caching(**changes: Any) -> Scenario:
    return fleet_scenario(
        closing={"keep": ["look"], "lease_ms": 500, "share": 0.8, "place": PLACES}, **changes
    )


# Scenario tables.


@pytest.mark.parametrize("name", FLEET_SCENARIOS)
def test_the_scenarios_of_limiters_together_are_shipped_and_as_large_as_said(name: str) -> None:
    scenario = load_scenario(name)
    assert name in shipped_scenarios() and scenario.together is not None
    assert 12 <= scenario.seconds <= 40 and 3 <= scenario.limiters.count <= 8
    assert bool(scenario.lanes) == (name[:5] in ("lanes", "weddi"))
    assert bool(scenario.closing) == ("clos" in name)


def test_each_fault_between_limiters_is_in_a_shipped_day() -> None:
    assert {fault.kind for name in FLEET_SCENARIOS for fault in load_scenario(name).faults} >= FLEET_KINDS


@pytest.mark.parametrize(
    ("changes", "said"),
    [
        ({"together": None, "lanes": {"lane": LANES}}, "lanes: expected [together]"),
        ({"lanes": {"lane": LANES[:1]}}, "lanes.lane"),
        ({"lanes": {"lane": [LANES[0], {"name": "rest", "plans": ["hard"]}]}}, "each plan in one lane"),
        ({"closing": {"keep": ["hand"], "place": PLACES}}, "'hand' is none of the safe classes look"),
        ({"closing": {"keep": ["look"], "place": [{"name": "a", "zone": "Mars/Base"}]}}, "a time zone"),
        ({"closing": {"keep": ["look"], "place": [PLACES[0], PLACES[0]]}}, "each name once"),
        ({"fault": [{"kind": "datagram-cut", "at": 1, "lasts": 1}]}, "needs targets, or two groups"),
        (
            {"fault": [{"kind": "datagram-loss", "at": 1, "lasts": 1, "targets": ["limiter-7"]}]},
            "'limiter-7' is none",
        ),
        (
            {"fault": [{"kind": "datagram-cut", "at": 1, "lasts": 1, "groups": [["limiter-0"], ["n"]]}]},
            "'n' is none",
        ),
        ({"fault": [{"kind": "datagram-loss", "at": 1}]}, "needs lasts"),
        ({"together": None, "fault": [{"kind": "limiter-clock", "at": 1}]}, "wants [together]"),
        ({"fault": [{"kind": "purge", "at": 1}]}, "wants [closing]"),
    ],
)
def test_a_section_that_cannot_be_played_is_refused_with_its_key(changes: dict[str, Any], said: str) -> None:
    with pytest.raises(ScenarioError) as error:
        fleet_scenario(**changes)
    assert said in str(error.value)


def test_a_closing_is_told_no_later_than_its_notice() -> None:
    fault = {"kind": "closing-told", "at": 1, "ahead": 1.5}
    with pytest.raises(ScenarioError, match=r"fault.0.ahead: expected more than 2.25 s"):
        caching(fault=[fault])
    caching(fault=[fault | {"ahead": 2.3}])


def test_days_without_a_fleet_have_the_plan_that_they_had() -> None:
    assert (
        draw_plan(load_scenario("calm-morning"), 1).digest()
        == draw_plan(load_scenario("calm-morning"), 1).digest()
    )
    fault = small().faults[0]
    assert not fault.model_fields_set & {"groups", "offset", "ppm", "place", "one_way"}


# The relay, on sockets and in virtual time.


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.received = list[tuple[bytes, Address]]()

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.received.append((data, addr[:2]))


class RelayBed:
    """A relay with the UDP sockets of some limiters."""

    def __init__(self, virtual: bool) -> None:
        self._virtual = virtual
        loop = asyncio.get_running_loop()
        self.relay = Relay(7, lambda _a, _b: 0.0, loop.time)
        self.receivers = dict[str, _Receiver]()
        self.sockets = dict[str, asyncio.DatagramTransport]()
        self.relay_addresses = dict[str, Address]()

    async def add(self, name: str) -> None:
        loop, number = asyncio.get_running_loop(), len(self.receivers)
        self.receivers[name] = _Receiver()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self.receivers[name], local_addr=("127.0.0.1", 0)
        )
        own = transport.get_extra_info("sockname")[:2]
        where = ("127.0.0.2", 9000 + number) if self._virtual else ("127.0.0.1", _free())
        await self.relay.open(name, where, own)
        self.sockets[name], self.relay_addresses[name] = transport, where

    def send(self, one: str, other: str, data: bytes) -> None:
        self.sockets[one].sendto(data, self.relay_addresses[other])

    async def received(self, name: str, count: int) -> list[bytes]:
        """Returns what a limiter has received, after waiting at most 5 s for ``count`` datagrams."""
        async with asyncio.timeout(5):
            while len(self.receivers[name].received) < count:
                await asyncio.sleep(0.002)
        return [data for data, _ in self.receivers[name].received]

    def close(self) -> None:
        self.relay.close()
        for transport in self.sockets.values():
            transport.close()


def _free() -> int:
    from cypresspulley.rehearsal.limiters import free_datagram_port

    return free_datagram_port("127.0.0.1")


async def _relay_bed(virtual: bool) -> RelayBed:
    bed = RelayBed(virtual)
    for name in ("a", "b", "c"):
        await bed.add(name)
    return bed


@pytest.mark.parametrize("virtual", [False, True])
def test_the_relay_passes_on_cuts_doubles_and_delays_by_ordered_pair(virtual: bool) -> None:
    async def main(*_: object) -> None:
        bed = await _relay_bed(virtual)
        bed.send("a", "b", b"plain")
        assert await bed.received("b", 1) == [b"plain"]
        assert (
            bed.receivers["b"].received[0][1] == bed.relay_addresses["a"]
        )  # replies to this address reach the sender
        cut = DatagramFault(routes_between((["a"], ["b"]), one_way=True), loss_share=1.0)
        bed.relay.begin(cut)
        bed.send("a", "b", b"cut")
        bed.send("b", "a", b"back")
        bed.send("c", "b", b"others")
        assert await bed.received("a", 1) == [b"back"]
        assert await bed.received("b", 2) == [b"plain", b"others"]
        bed.relay.end(cut)
        twice, late = (
            DatagramFault(None, duplicate_share=1.0),
            DatagramFault(routes_between((["a"], ["b"])), delay_share=1.0, delay_seconds=0.05),
        )
        bed.relay.begin(twice)
        bed.send("a", "c", b"two")
        assert await bed.received("c", 2) == [b"two", b"two"]
        bed.relay.end(twice)
        bed.relay.begin(late)
        bed.send("a", "b", b"late")
        bed.send("c", "b", b"overtakes")
        assert (await bed.received("b", 4))[2:] == [b"overtakes", b"late"]
        bed.send("a", "c", b"x")
        assert (await bed.received("c", 3))[-1] == b"x"
        bed.close()

    if virtual:
        run_virtual(main, 3)
    else:
        uvloop.run(main())


def test_what_no_limiter_says_is_not_passed_on() -> None:
    async def main(_: VirtualLoop) -> None:
        bed = await _relay_bed(True)
        loop = asyncio.get_running_loop()
        stranger, _protocol = await loop.create_datagram_endpoint(_Receiver, local_addr=("127.0.0.9", 1))
        stranger.sendto(b"foreign", bed.relay_addresses["a"])
        await asyncio.sleep(0.1)
        assert bed.receivers["a"].received == [] and bed.relay.counts["foreign"] == 1

    run_virtual(main)


def test_a_share_is_lost_and_the_same_ones_for_one_seed() -> None:
    def played() -> list[bytes]:
        async def main(_: VirtualLoop) -> list[bytes]:
            bed = await _relay_bed(True)
            bed.relay.begin(DatagramFault(None, loss_share=0.3))
            for number in range(400):
                bed.send("a", "b", b"%d" % number)
                await asyncio.sleep(0.001)
            await asyncio.sleep(0.1)
            return [data for data, _ in bed.receivers["b"].received]

        return run_virtual(main, 5)

    once = played()
    assert once == played()
    assert 230 < len(once) < 330


def test_a_flapping_way_is_cut_in_the_first_half_of_each_span() -> None:
    flap = DatagramFault(None, loss_share=1.0, flap_period=2.0, since=10.0)
    assert [flap.applies_to(("a", "b"), t) for t in (10.0, 10.9, 11.0, 11.9, 12.1)] == [
        True,
        True,
        False,
        False,
        True,
    ]


def test_groups_part_their_members_and_nobody_else() -> None:
    both = routes_between((["a", "b"], ["c"]))
    assert both == {("a", "c"), ("b", "c"), ("c", "a"), ("c", "b")}
    assert routes_between((["a"], ["b", "c"]), one_way=True) == {("a", "b"), ("a", "c")}


# Datagrams in virtual time belong to owners.


def test_a_killed_owners_socket_is_gone_and_a_stopped_ones_datagrams_wait_in_a_bounded_buffer() -> None:
    async def main(loop: VirtualLoop) -> None:
        owner, receiver, context = Owner("p"), _Receiver(), copy_context()
        context.run(OWNER.set, owner)

        async def open_it() -> None:
            await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: receiver, local_addr=("127.0.0.5", 7)
            )

        await loop.create_task(open_it(), context=context)
        sender, _ = await loop.create_datagram_endpoint(_Receiver, local_addr=("127.0.0.6", 7))
        sender.sendto(b"one", ("127.0.0.5", 7))
        await asyncio.sleep(0.01)
        assert [data for data, _ in receiver.received] == [b"one"]
        loop.stop_owner(owner)
        for _number in range(500):
            sender.sendto(bytes(1000), ("127.0.0.5", 7))
        await asyncio.sleep(0.01)
        assert len(receiver.received) == 1
        loop.resume_owner(owner)
        await asyncio.sleep(0.01)
        assert len(receiver.received) == 1 + RECEIVE_BUFFER_BYTES // (1000 + DATAGRAM_OVERHEAD_BYTES)
        loop.kill(owner)
        before = len(receiver.received)
        sender.sendto(b"late", ("127.0.0.5", 7))
        await asyncio.sleep(0.01)
        assert len(receiver.received) == before and ("127.0.0.5", 7) not in loop.network.sockets
        await loop.create_datagram_endpoint(
            _Receiver, local_addr=("127.0.0.5", 7)
        )  # the address is free again
        with pytest.raises(OSError, match="already in use"):
            await loop.create_datagram_endpoint(_Receiver, local_addr=("127.0.0.5", 7))

    run_virtual(main, 2)


# Clocks.


def test_a_clock_goes_by_its_file_and_reads_it_anew(tmp_path: Path) -> None:
    path, steady = tmp_path / "clock", [0.0]
    path.write_text(Shift().line())
    clock = ShiftedClock(str(path), lambda: 1000.0, lambda: steady[0])
    assert clock() == 1000.0
    other = tmp_path / "other"
    other.write_text(Shift(-3.5, 100_000.0, 990.0).line())
    other.replace(path)
    assert clock() == 1000.0  # the file has not been read again yet
    steady[0] += 0.06
    assert clock() == pytest.approx(997.5)
    for broken in ("1 2", "nan 0 0", "a b c"):
        path.write_text(broken)
        steady[0] += 0.06
        assert clock() == pytest.approx(997.5)
    path.unlink()
    steady[0] += 0.06
    assert clock() == pytest.approx(997.5)


@given(st.text(max_size=40))
def test_a_clocks_file_is_three_finite_numbers_or_refused(text: str) -> None:
    try:
        shift = parse_shift(text)
    except ValueError:
        return
    assert shift == parse_shift(shift.line())


def test_the_operators_file_takes_a_clock_for_rehearsals_and_no_other_key(tmp_path: Path) -> None:
    fleet = '[fleet]\ninstallation = "x"\n[history]\npath = "h-{name}.jsonl"\n'
    path = tmp_path / "o.toml"
    path.write_text(fleet)
    assert load_operators(str(path)).clock is None
    path.write_text(fleet + 'clock = "c"\n')
    assert load_operators(str(path)).clock == "c"
    for wrong in ("clock = 3\n", 'clocks = "c"\n', 'clock = ""\n'):
        path.write_text(fleet + wrong)
        with pytest.raises(OperatorsError, match=r"history\.clock"):
            load_operators(str(path))


# Calendars.


@settings(max_examples=60)
@given(
    st.sampled_from(["Asia/Kolkata", "Europe/Lisbon", "America/Santiago", "Pacific/Apia"]),
    st.lists(st.integers(1_700_000_000, 1_900_000_000), max_size=6),
)
def test_closings_are_written_as_local_times_of_their_zone(zone: str, seconds: list[int]) -> None:
    found = [
        datetime.fromisoformat(f"{day}T{time}").replace(tzinfo=ZoneInfo(zone))
        for day, times in local_times_by_date(zone, seconds).items()
        for time in times
    ]
    shown = {moment.strftime("%F %T") for moment in found}
    assert shown == {datetime.fromtimestamp(s, ZoneInfo(zone)).strftime("%F %T") for s in seconds}


def test_a_calendar_told_on_the_way_is_a_higher_version_with_all_closings_and_its_notice() -> None:
    scenario = caching()
    assert scenario.closing is not None
    accounts = caching_accounts(scenario.closing, draw_plan(scenario, 4))
    assert accounts == caching_accounts(scenario.closing, draw_plan(scenario, 4)) and set(
        accounts.values()
    ) == {
        "vadodara",
        "lisbon",
    }
    calendars = CalendarVersions(scenario.closing, accounts, 1_800_000_000)
    old, today = calendars.last_week(), calendars.initial()
    assert (old["version"], today["version"]) == (LAST_WEEK_VERSION, INITIAL_VERSION)
    assert old["places"]["vadodara"]["special"] == {}
    assert today["places"]["lisbon"]["special"] == {"2027-01-15": ["08:00:03"]}
    told = calendars.add_closing("lisbon", 1_800_000_004, 1_800_000_000.2)
    assert told["version"] == INITIAL_VERSION + 1
    assert told["in_force"].timestamp() >= 1_800_000_000.2 + scenario.closing.notice
    assert told["places"]["lisbon"]["changes"] == [{"date": "2027-01-15", "closes": ["08:00:03", "08:00:04"]}]
    closings = {at for account, at in calendars.expected_closings() if accounts[account] == "lisbon"}
    assert closings == {1_800_000_003.0}


class _CalendarReceiver:
    """Stands in for a limiter and stores the calendars that it gets."""

    def __init__(self) -> None:
        self.calendars = list[tuple[int, bool]]()

    def write_calendar(self, raw: dict[str, Any], reload: bool = False) -> None:
        self.calendars.append((raw["version"], reload))


@pytest.mark.parametrize(
    ("event", "true"),
    [
        ({"version": INITIAL_VERSION + 1, "state": "held", "mono": 100.0, "in_force": 101.3}, True),
        (
            {"version": INITIAL_VERSION + 1, "state": "held", "mono": 100.0, "in_force": 101.0},
            False,
        ),  # without the required notice
        ({"version": INITIAL_VERSION + 1, "state": "refused", "mono": 100.0, "in_force": 200.0}, False),
        ({"version": INITIAL_VERSION, "state": "held", "mono": 100.0, "in_force": 200.0}, False),
    ],
)
def test_a_closing_told_on_the_way_is_true_where_a_limiter_took_it_in_time(
    event: dict[str, Any], true: bool
) -> None:
    faults = [
        {"kind": "closing-told", "at": 1, "ahead": 2.5, "targets": ["limiter-1"]},
        {"kind": "limiter-old-calendar", "at": 0, "targets": ["limiter-2"]},
    ]
    scenario = caching(fault=faults)
    plan, limiters = draw_plan(scenario, 4), {name: _CalendarReceiver() for name in limiter_names(scenario)}
    assert scenario.closing is not None
    closings = ClosingSchedule(scenario.closing, plan, limiters, 1_800_000_000)  # type: ignore[arg-type]
    closings.write_initial_calendars()
    for fault in plan.faults:
        closings.apply_fault(fault, 1_800_000_001.0)
    found = {name: told.calendars for name, told in limiters.items()}
    assert found == {
        "limiter-0": [(INITIAL_VERSION, False)],
        "limiter-1": [(INITIAL_VERSION, False), (INITIAL_VERSION + 1, True)],
        "limiter-2": [(LAST_WEEK_VERSION, False)],
    }
    truth = {at - 1_800_000_000 for account, at in closings.expected_closings([event])
             if closings.caching_accounts[account] == "vadodara"}  # fmt: skip
    assert truth == ({1.0, 3.0, 4.0} if true else {1.0, 3.0})


THREE = ["a", "b", "c"]


def _datagram_fault(**fault: Any) -> ScheduledDatagramFault:
    spec = Fault(at=1, lasts=1, **fault)
    return datagram_fault(PlannedFault(1.0, 2.0, spec.kind, spec.targets, spec), THREE, 0.2, 10.0)


@pytest.mark.parametrize(
    ("fault", "kind", "sides"),
    [
        ({"kind": "datagram-loss", "size": 0.05}, "fleet-loss", ((),)),
        ({"kind": "datagram-loss", "size": 0.5}, "fleet-cut", (("a",), ("b",), ("c",))),
        ({"kind": "datagram-delay", "add_ms": 40, "targets": ["b"]}, "fleet-delay", (("b",),)),
        ({"kind": "datagram-delay", "add_ms": 60, "targets": ["b"]}, "fleet-cut", (("b",),)),
        ({"kind": "datagram-reorder", "add_ms": 60, "size": 0.1}, "fleet-reorder", ((),)),
        ({"kind": "datagram-double", "size": 1.0}, "fleet-double", ((),)),
        ({"kind": "datagram-cut", "targets": ["c"]}, "fleet-cut", (("c",),)),
        ({"kind": "datagram-cut", "targets": ["c"], "one_way": True}, "fleet-oneway", (("c",),)),
        (
            {"kind": "datagram-cut", "groups": [["a"], ["b"], ["c"]]},
            "fleet-cut",
            (("a",), ("b",)),
        ),
        ({"kind": "datagram-cut", "groups": [["a"], ["b"]]}, "fleet-partial", (("a",),)),
        ({"kind": "datagram-flap", "every": 1.0, "targets": ["a"]}, "fleet-flap", (("a",),)),
        ({"kind": "datagram-flap", "every": 1.0}, "fleet-flap", (("a",), ("b",), ("c",))),
    ],
    ids=str,
)
def test_what_checkers_excuse_is_what_a_fault_parts(
    fault: dict[str, Any], kind: str, sides: tuple[tuple[str, ...], ...]
) -> None:
    found = _datagram_fault(**fault)
    assert (found.kind, found.sides) == (kind, sides)


def test_the_limiters_read_the_calendars_that_the_kit_writes(tmp_path: Path) -> None:
    import tomli_w

    from cypresspulley.closing.options import load_calendar

    scenario = caching()
    assert scenario.closing is not None
    accounts = caching_accounts(scenario.closing, draw_plan(scenario, 4))
    calendars, start = CalendarVersions(scenario.closing, accounts, 1_800_000_000), 1_800_000_000
    calendars.add_closing("vadodara", start + 4, float(start))
    path = tmp_path / "c.toml"
    path.write_text(tomli_w.dumps(calendars.add_closing("lisbon", start + 5, float(start))))
    read = load_calendar(str(path))
    for place, expected in (("vadodara", [1, 3, 4]), ("lisbon", [3, 5])):
        ordinals = [read.timeline(place).ordinal(start + s + 0.5) for s in range(-1, 7)]
        assert [s - 1 for s in range(1, 8) if ordinals[s] > ordinals[s - 1]] == expected


# The harness's own history, and the judge.


def test_the_kits_history_holds_calls_answers_and_faults_as_the_checkers_read_them() -> None:
    now = [100.0]
    history = MemoryHistory(lambda: now[0], lambda: now[0])
    harness = HarnessHistory(history, now[0])
    harness.record(log.LimiterState(0, "n0", "killed"))
    harness.record(log.Sent(0, "i1", "i1", 0, "n1", "acc", "free", "look", 1.0, 2.0, True))
    harness.record(log.FromKept(0, "i1", 3.0))
    harness.record(log.Answered(0, "i1", 200, None, '{"id":"x","made":99.5}'))
    harness.record(log.Sent(0, "i2", "i2", 0, "n1", "acc", "free", "look", 1.0, 2.0, True))
    harness.record(log.Left(0, "i2", "impatient"))
    harness.record(log.LimiterState(0, "n0", "ready"))
    harness.record(log.Happened(0, 1.0, "server-hang", "s1"))
    harness.end_run()
    harness.record(log.LimiterState(0, "n0", "stopping"))
    kinds = [(event["kind"], {k: event[k] for k in FACTS[Kind(event["kind"])]}) for event in history.events]
    assert kinds[1] == ("fault", {"kind_of": "limiter-kill", "targets": ["n0"], "on": True})
    assert kinds[3] == ("answer", {"id": "i1", "status": 200, "made": 99.5, "kept": True})
    assert kinds[5] == ("answer", {"id": "i2", "status": 0, "made": None, "kept": False})
    assert kinds[6] == ("fault", {"kind_of": "limiter-kill", "targets": ["n0"], "on": False})
    assert kinds[-1] == ("end", {"reason": "over"})
    read = from_memory(history.lives).harness
    assert read is not None and read.name == HARNESS


@given(st.text(max_size=60))
def test_an_answer_that_says_no_time_has_none(text: str) -> None:
    assert read_made_time(text) is None or isinstance(read_made_time(text), float)


BODY = '{"id":"first","made":1.0}'


def _cached_answer_log(
    account: str = "a", cls: str = "look", age: bool = True, keeps: bool = True
) -> list[log.Record]:
    """Returns a log in which a server answers one request of an account, and the cache answers a later one."""
    story = LogBuilder()
    if keeps:
        story.records.append(log.Keeping(0.0, ("a",), ("look",)))
    sent: dict[str, Any] = {
        "fresh": True,
        "ttl": 3.0,
        "units": 1.0,
        "plan": "free",
        "number": 0,
        "limiter": "n0",
    }
    for t, id, who, what in ((1.0, "first", "a", "look"), (2.0, "later", account, cls)):
        story.records.append(log.Sent(t=t, id=id, first=id, account=who, cls=what, **sent))
    story.records += [
        log.Arrived(1.1, 0, "s1", "n0", "first", 0.1, 1.1), log.Ran(1.1, 0, False),
        log.Replied(1.2, 0, 200, False, BODY, 0.1), log.Answered(1.3, "first", 200, None, BODY),
    ]  # fmt: skip
    if age:
        story.records.append(log.FromKept(2.1, "later", 0.9))
    story.records.append(log.Answered(2.1, "later", 200, None, BODY))
    return story.done()


def test_a_kept_answer_is_served_and_is_a_servers() -> None:
    verdict = judge(_cached_answer_log())
    assert verdict.kept and verdict.service.counts["served"] == 2
    assert verdict.service.counts["from_kept"] == 1


@pytest.mark.parametrize(
    "changes", [{"account": "b"}, {"cls": "hand"}, {"age": False}, {"keeps": False}], ids=str
)
def test_an_answer_kept_for_others_or_without_its_age_is_nobodys(changes: dict[str, Any]) -> None:
    violations = judge(_cached_answer_log(**changes)).rules[0].violations
    assert [v.text for v in violations] == ["served with what no server made for it"]


def test_a_broken_promise_fails_the_day_as_a_broken_rule_does() -> None:
    records = [*_cached_answer_log()[:-1], log.Checked(20.0, "fleet", 3, ()), log.End(30.0)]
    good = judge(records)
    assert good.passed and conclusion(good).startswith(
        "PASSED: all five rules kept, the promises of fleet kept"
    )
    text = "detected: n0 knew never that n1 was killed\n4.2 n1 fleet.member"
    bad = judge([*records[:-1], log.Checked(20.0, "lanes", 2, (text,)), log.End(30.0)])
    assert not bad.passed and conclusion(bad) == "FAILED: broken: what lanes promises"
    assert bad.as_json()["histories"] == [
        {"name": "fleet", "kept": True, "checked": 3, "findings": []},
        {"name": "lanes", "kept": False, "checked": 2, "findings": [text]},
    ]


def test_the_new_records_come_back_from_a_log() -> None:
    for record in (log.Keeping(0.0, ("a", "b"), ("look",)), log.FromKept(1.0, "x", 2.5),
                   log.Checked(2.0, "fleet", 4, ("p: t\nline",))):  # fmt: skip
        assert log.from_line(log.to_line(record), "here") == record
    with pytest.raises(log.RecordError, match="accounts"):
        log.from_line('{"record":"keeping","t":0.0,"accounts":"a","classes":[]}', "here")


# Whole runs.


def _histories_of(scenario: Scenario, folder: Path) -> tuple[list[log.Record], Histories]:
    records = play_virtual(scenario, scenario.seed, logs=folder)
    return records, read_folder(folder / "histories")


def test_a_fleets_virtual_day_is_one_trace_and_every_life_has_a_history(tmp_path: Path) -> None:
    faults = [
        {"kind": "limiter-kill", "at": 0.5, "targets": ["limiter-1"], "back_after": 0.5},
        {"kind": "limiter-late", "at": 1.5, "targets": ["limiter-2"]},
        {"kind": "datagram-loss", "at": 1.0, "lasts": 2.0, "size": 0.1},
        {"kind": "limiter-clock", "at": 2.0, "targets": ["limiter-0"], "offset": -5},
    ]
    scenario = fleet_scenario(fault=faults)
    records, histories = _histories_of(scenario, tmp_path)
    assert digest(records) == digest(play_virtual(scenario, scenario.seed))
    verdict = judge(records)
    assert verdict.kept and not verdict.void and not verdict.crash, verdict
    assert [one.name for one in verdict.histories] == ["fleet"] and verdict.histories[0].checked > 10
    assert [life.name for life in histories.lives] == ["limiter-0", "limiter-1", "limiter-1", "limiter-2"]
    assert histories.harness is not None
    late = next(life for life in histories.lives if life.name == "limiter-2")
    assert late.start.mono > histories.harness.start.mono + 3  # the run starts some seconds after the harness
    clocks = [event.wall - event.mono for event in histories.lives[0].events]
    assert clocks[0] == pytest.approx(0.0) and clocks[-1] == pytest.approx(-5.0)


def test_lookups_are_kept_until_the_close_in_virtual_time_and_a_purge_has_its_yes(tmp_path: Path) -> None:
    scenario = caching(fault=[{"kind": "purge", "at": 2.0, "targets": ["limiter-0"]}])
    records, histories = _histories_of(scenario, tmp_path)
    verdict = judge(records)
    assert verdict.kept and not verdict.void, verdict
    assert {one.name for one in verdict.histories} == {"fleet", "closing"}
    assert verdict.service.counts["from_kept"] > 5
    assert histories.harness is not None
    kinds = [event for event in histories.harness.events if type(event).__name__ == "PurgeAnswer"]
    assert len(kinds) == 1 and kinds[0].status == 200  # type: ignore[attr-defined]


def test_a_checker_convicts_a_day_whose_clocks_the_limiters_do_not_heed(tmp_path: Path) -> None:
    """Every limiter serves cached answers after the close, which the checker must report."""
    from cypresspulley.closing.calendar import Calendar

    right = Calendar.generation
    Calendar.generation = lambda self, place, t: 0  # type: ignore[method-assign]
    try:
        verdict = judge(play_virtual(caching(), 3))
    finally:
        Calendar.generation = right  # type: ignore[method-assign]
    closing = next(one for one in verdict.histories if one.name == "closing")
    assert any(text.startswith("gone at close") for text in closing.findings), closing
    assert not verdict.passed


@pytest.mark.parametrize("kind", sorted(FLEET_KINDS))
def test_each_fault_between_limiters_is_played_in_virtual_time(kind: str) -> None:
    fault: dict[str, Any] = {"kind": kind, "at": 1.0}
    if kind.startswith("datagram"):
        fault["lasts"] = 0.4
    if kind in ("datagram-cut", "datagram-flap"):
        fault["groups"] = [["limiter-0"], ["limiter-1", "limiter-2"]]
    if kind == "closing-told":
        fault["ahead"] = 2.5
    verdict = judge(play_virtual(caching(fault=[fault]), 5))
    assert verdict.kept and not verdict.void and not verdict.crash, verdict


def test_a_day_on_sockets_has_the_same_histories(tmp_path: Path) -> None:
    from cypresspulley.rehearsal.play import play

    faults = [
        {"kind": "limiter-kill", "at": 0.5, "targets": ["limiter-1"], "back_after": 0.5},
        {"kind": "limiter-clock", "at": 1.0, "targets": ["limiter-0"], "offset": -5},
        {"kind": "purge", "at": 2.5, "targets": ["limiter-2"]},
    ]
    scenario = caching(fault=faults)
    records = uvloop.run(play(scenario, scenario.seed, logs=tmp_path))
    checked = {r.name: r for r in records if isinstance(r, log.Checked)}
    assert {name: one.findings for name, one in checked.items()} == {"fleet": (), "closing": ()}
    histories = read_folder(tmp_path / "histories")
    assert [life.name for life in histories.lives].count("limiter-1") == 2
    clocks = [event.wall - event.mono for event in histories.lives[0].events]
    assert clocks[-1] == pytest.approx(-5.0, abs=0.5) and clocks[0] == pytest.approx(0.0, abs=0.5)
    operators = (tmp_path / "limiter-0-operators.toml").read_text()
    assert "advertise" in operators and json.dumps(str(tmp_path / "limiter-0.clock")) in operators
    assert {name for name in limiter_names(scenario)} == {life.name for life in histories.lives}


def test_parse_scenario_says_where_a_lane_is_wrong() -> None:
    with pytest.raises(ScenarioError, match=r"lanes\.lane\.0\.floor"):
        parse_scenario({"name": "x", "about": "y", "seconds": 3, "together": {},
                        "lanes": {"lane": [{"name": "a", "plans": ["p"], "floor": 2}, {"name": "b", "plans": ["q"]}]}},
                       "x.toml")  # fmt: skip
