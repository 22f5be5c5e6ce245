"""Builds correct histories from small tables, which the checkers must accept and the tests tamper with."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import Any

from cypresspulley.histories.events import FACTS, Kind
from cypresspulley.histories.read import HARNESS, Histories, from_memory

BEGIN = 1_000_000.0  # Unix time of second 0 of the plays
BOUNDS = {"detect": 4.0, "settle": 3.0, "inversion": 3.0, "clock": 0.25, "purge": 2.0}
Row = tuple[float, str, Kind, dict[str, Any]]  # (second, process as "name" or "name:life", kind, facts)


def row(at: float, process: str, kind: Kind, *facts: Any) -> Row:
    """Builds one event; the facts are in the order of ``FACTS``."""
    assert len(facts) == len(FACTS[kind]), (kind, facts)
    return at, process, kind, dict(zip(FACTS[kind], facts, strict=True))


def start(at: float, process: str) -> Row:
    name, _, life = process.partition(":")
    return row(at, process, Kind.START, name, int(life or 1), "", 0.5, BOUNDS)


def seen(
    at: float, process: str, member: str, state: str, cause: str = "told", inc: int = 0, life: int = 1
) -> Row:
    return row(at, process, Kind.MEMBER, member, life, inc, state, cause)


def fault(at: float, kind: str, targets: str, on: bool = True) -> Row:
    return row(at, HARNESS, Kind.FAULT, kind, targets.split(), on)


def lists(rows: Iterable[Row]) -> list[list[dict[str, Any]]]:
    """Builds one list of events per process and life, in order of time, as in a ``MemoryHistory``."""
    by_process: dict[str, list[Row]] = defaultdict(list)
    for event in rows:
        by_process[event[1]].append(event)
    return [
        [
            {"seq": seq, "wall": BEGIN + at, "mono": BEGIN + at, "kind": str(kind), **facts}
            for seq, (at, _, kind, facts) in enumerate(sorted(events, key=lambda one: one[0]))
        ]
        for events in by_process.values()
    ]


def histories(rows: Iterable[Row]) -> Histories:
    return from_memory(lists(rows))


def day(seconds: float, *closings: tuple[str, float]) -> list[Row]:
    """Builds the harness's events of a play: start, truth, end."""
    pairs = [[account, BEGIN + at] for account, at in closings]
    return [
        start(-1.0, HARNESS),
        row(-1.0, HARNESS, Kind.TRUTH, pairs, [["gold"], ["tin"], ["straw"]], BOUNDS["clock"], seconds),
        row(seconds, HARNESS, Kind.END, "over"),
    ]


def fleet_play() -> list[Row]:
    """Four limiters: a kill and restart, a death by pause that is refuted, an orderly leave, and a healed partition."""
    rows = day(100.0)
    for name in "abcd":
        rows.append(start(0.0, name))
        rows += [seen(0.1, name, other, "alive", "probe") for other in "abcd"]
        rows.append(row(1.0, name, Kind.SETTLED, True, "four", 4))
    # d is killed and restarts with its second life.
    rows.append(fault(10.0, "limiter-kill", "d"))
    for name in "abc":
        rows += [seen(11.0, name, "d", "suspected", "probe"), row(11.0, name, Kind.SETTLED, False, "x", 4)]
        rows += [seen(13.0, name, "d", "dead", "probe"), row(14.0, name, Kind.SETTLED, True, "three", 3)]
        rows += [row(20.1, name, Kind.SETTLED, False, "x", 4), seen(20.1, name, "d", "alive", "told", 0, 2)]
        rows.append(row(21.0, name, Kind.SETTLED, True, "five", 4))
    rows += [start(20.0, "d:2"), *(seen(20.2, "d:2", name, "alive") for name in "abc")]
    rows += [row(at, "a", Kind.ROW, "d", life, "lanes") for at, life in ((2.0, 1), (20.5, 2))]
    rows.append(row(21.0, "d:2", Kind.SETTLED, True, "five", 4))
    # c is paused for five seconds, a declares it dead, and c refutes that.
    rows += [fault(30.0, "limiter-pause", "c"), fault(35.0, "limiter-pause", "c", False)]
    for name, cause in (("a", "probe"), ("b", "told"), ("d:2", "told")):
        rows += [seen(31.0, name, "c", "suspected", cause), row(31.0, name, Kind.SETTLED, False, "x", 4)]
        rows += [seen(34.0, name, "c", "dead", cause), seen(35.5, name, "c", "alive", "refuted", 1)]
        rows.append(row(36.0, name, Kind.SETTLED, True, "six", 4))
    rows += [seen(35.4, "c", "c", "alive", "self", 1), row(36.0, "c", Kind.SETTLED, True, "six", 4)]
    # b leaves in an orderly way.
    rows += [
        seen(50.0, "b", "b", "leaving", "self"),
        seen(50.9, "b", "b", "left", "self"),
        row(51.0, "b", Kind.END, "asked to"),
    ]
    for name in ("a", "c", "d:2"):
        rows += [seen(50.1, name, "b", "leaving"), row(50.1, name, Kind.SETTLED, False, "x", 4)]
        rows += [seen(51.1, name, "b", "left"), row(52.0, name, Kind.SETTLED, True, "seven", 3)]
    # a is partitioned from c and d, and all recover.
    rows += [fault(60.0, "fleet-cut", "a"), fault(80.0, "fleet-cut", "a", False)]
    for name, others in (("a", (("c", 1, 1), ("d", 0, 2))), ("c", (("a", 0, 1),)), ("d:2", (("a", 0, 1),))):
        rows.append(row(61.0, name, Kind.SETTLED, False, "x", 3))
        for other, inc, life in others:
            rows += [seen(61.0, name, other, "suspected", "probe", inc, life)]
            rows += [seen(63.0, name, other, "dead", "probe", inc, life)]
            rows += [seen(81.0, name, other, "alive", "refuted", inc + 1, life)]
        rows.append(row(82.0, name, Kind.SETTLED, True, "eight", 3))
    return rows


def period(
    at: float,
    process: str,
    state: str,
    asked: Iterable[float],
    passed: Iterable[float],
    over: tuple[float, float],
) -> Row:
    """Builds the sums of one second of three lanes: requested and passed within quota by lane, then requested and
    passed beyond quota in the lowest lane (``over``).
    """
    lanes = ("gold", "tin", "straw")
    beyond = [dict(zip(lanes, (0.0, 0.0, one), strict=True)) for one in over]
    inside = [dict(zip(lanes, sums, strict=True)) for sums in (asked, passed)]
    floors = {"gold": 20.0, "tin": 10.0, "straw": 5.0}
    shares = {"gold": 60.0, "tin": 25.0, "straw": 5.0}
    return row(at, process, Kind.LANES_PERIOD, state, 1.0, *inside, *beyond, shares, floors, 180.0)


def lanes_play() -> list[Row]:
    """Two limiters: calm, then shedding that cuts tin in part and straw to its floor, then calm again."""
    rows = day(60.0)
    for name in "ab":
        rows += [start(0.0, name), row(0.0, name, Kind.LANES_STATE, "calm", 0.2)]
        rows += [period(float(at), name, "calm", (40, 20, 20), (40, 20, 20), (10, 10)) for at in range(1, 11)]
        rows.append(row(10.2, name, Kind.LANES_STATE, "shedding", 1.6))
        rows += [
            period(float(at), name, "shedding", (40, 40, 40), (40, 25, 5), (30, 0)) for at in range(12, 41)
        ]
        for at in range(12, 40):
            spell, ends = at // 10, BEGIN + at // 10 * 10 + 10
            rows += [
                row(at + 0.1, name, Kind.LANES_TURNED, at, f"tin-{spell}", "tin", True, spell, ends),
                row(at + 0.2, name, Kind.LANES_TURNED, at + 100, "straw-1", "straw", False, spell, ends),
            ]
        rows += [
            row(10.0 * spell + 3, name, Kind.LANES_LET, f"tin-{4 - spell}", "tin", spell) for spell in (1, 3)
        ]
        rows.append(row(40.2, name, Kind.LANES_STATE, "calm", 0.3))
        # This period began before the limiter was calm.
        rows.append(period(41.0, name, "calm", (40, 40, 40), (40, 38, 30), (10, 10)))
        rows += [period(at, name, "calm", (40, 20, 20), (40, 20, 20), (10, 10)) for at in (42.0, 43.0, 44.0)]
    return rows


def call(
    at: float, number: int, account: str, took: float, made: float | None, kept: bool = False
) -> list[Row]:
    answer = None if made is None else BEGIN + made
    return [
        row(at, HARNESS, Kind.CALL, number, account, "gold", "look", "a"),
        row(at + took, HARNESS, Kind.ANSWER, number, 200, answer, kept),
    ]


def closing_play() -> list[Row]:
    """Two limiters and two accounts: shop closes at 20 s, mill is purged manually from 30 to 31 s, doubt at 40 s."""
    rows = day(60.0, ("shop", 20.0), ("shop", 50.0))
    for name in "ab":
        rows += [start(0.0, name), row(0.5, name, Kind.DOUBT, False, "ready")]
        rows.append(row(0.1, name, Kind.CALENDAR, 7, "force", BEGIN - 9, ""))
        rows.append(row(20.3, name, Kind.CLOSED, "pune", 7, 1, BEGIN + 20.0, 1))
        rows.append(row(50.3, name, Kind.CLOSED, "pune", 7, 2, BEGIN + 50.0, 1))
        rows += [
            row(5.0, name, Kind.KEPT, "shop", "k", 0, BEGIN + 4.9),
            row(8.0, name, Kind.SERVED, 2, "shop", "k", 0, BEGIN + 4.9),
            row(22.1, name, Kind.KEPT, "shop", "k", 1, BEGIN + 22.0),
            row(25.0, name, Kind.SERVED, 4, "shop", "k", 1, BEGIN + 22.0),
            row(6.0, name, Kind.KEPT, "mill", "m", 0, BEGIN + 5.9),
            row(29.0, name, Kind.SERVED, 5, "mill", "m", 0, BEGIN + 5.9),
            row(35.0, name, Kind.KEPT, "mill", "m", 1, BEGIN + 34.9),
            row(36.0, name, Kind.SERVED, 8, "mill", "m", 1, BEGIN + 34.9),
            row(40.0, name, Kind.DOUBT, True, "cut"),
            row(45.0, name, Kind.DOUBT, False, "heard"),
        ]
    rows += call(4.9, 1, "shop", 0.1, 4.95) + call(8.0, 2, "shop", 0.01, 4.95, True)
    rows += call(19.9, 10, "shop", 2.0, 19.95)  # begun before the closing and answered after it
    rows += call(22.0, 3, "shop", 0.1, 22.05) + call(25.0, 4, "shop", 0.01, 22.05, True)
    rows += call(29.0, 5, "mill", 0.01, 5.95, True)
    rows += [
        row(30.0, HARNESS, Kind.PURGE_CALL, "p1", "mill", "a"),
        row(31.0, HARNESS, Kind.PURGE_ANSWER, "p1", 200, []),
    ]
    rows += [
        row(30.1, "a", Kind.PURGE, "mill", "a", 1, 1, "asked", []),
        row(30.1, "a", Kind.PURGE, "mill", "a", 1, 1, "applied", []),
        row(30.3, "b", Kind.SERVED, 6, "mill", "m", 0, BEGIN + 5.9),  # b has not received the purge yet
        row(30.5, "b", Kind.PURGE, "mill", "a", 1, 1, "applied", []),
        row(30.9, "a", Kind.PURGE, "mill", "a", 1, 1, "yes", []),
    ]
    rows += call(34.9, 7, "mill", 0.1, 34.95) + call(36.0, 8, "mill", 0.01, 34.95, True)
    rows += call(52.0, 9, "shop", 0.1, None)
    return rows


PLAYS = {"fleet": fleet_play, "lanes": lanes_play, "closing": closing_play}
