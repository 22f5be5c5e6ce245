"""What the fleet's view promises, checked over the histories of a play.

    suspected first     a process's own detector calls nobody dead whom it did not suspect in that incarnation
    no false death      nobody is called dead that has answered for longer than the bound, whatever struck it before
    no old row          no row of a life is taken by who has held a later life of its owner
    no way back         what one process holds of a member never falls in rank, and no ended life is ever present again
    detected            every kill is known at every survivor within the bound
    settled             while nothing disturbs it, the view is nowhere unsettled or unequal for longer than the bound
    leaver in peace     who has said that it leaves is not suspected, nor called dead, by those who heard it

A death is judged where it began (cause ``probe``); who was told of it is not judged again.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence
from itertools import pairwise

from cypresspulley.histories.forms import Event, MemberSeen, RowTaken, Settled
from cypresspulley.histories.read import Histories
from cypresspulley.histories.timeline import (
    CLOCK_SKEW_SECONDS,
    PROCESS_END_KINDS,
    Life,
    Timeline,
    events_of,
    stated_bound,
)
from cypresspulley.histories.verdict import ExcerptLine, Tally, Verdict, excerpt_line

NAME = "fleet"
PROMISES = (
    "suspected first",
    "no false death",
    "no old row",
    "no way back",
    "detected",
    "settled",
    "leaver in peace",
)
# Of one life and incarnation the later holds.
RANKS = {"joining": 0, "alive": 1, "leaving": 2, "suspected": 3, "left": 4, "dead": 5}
GONE = frozenset(("left", "dead"))


def check(histories: Histories) -> Verdict:
    """The verdict on the fleet's view; a play in which nothing of it can be judged is a finding."""
    tally, times = Tally(NAME, PROMISES), Timeline(histories)
    told = [_Told(life) for life in times.lives]
    origins = _origins(told)
    for one in told:
        _suspected_first(tally, one)
        _false_deaths(tally, times, one, origins)
        _way_back(tally, times, one)
        _leavers(tally, times, one)
        _old_rows(tally, one)
    for life in times.lives:
        if life.killed is not None:
            _detected(tally, times, life, told)
    _settled(tally, times)
    return tally.verdict()


Key = tuple[str, int, int]  # member, life, incarnation


class _Told:
    """What one process held of the others, in order, as far as it is to be judged."""

    def __init__(self, life: Life) -> None:
        self.life, self.name, self.history = life, life.name, life.history
        self.seen = [event for event in events_of(life.history, MemberSeen) if event.state in RANKS]
        self.by_member: dict[str, list[MemberSeen]] = {}
        for event in self.seen:
            self.by_member.setdefault(event.member, []).append(event)

    def excerpt(self, event: Event) -> ExcerptLine:
        return excerpt_line(self.history, event)


def _origins(told: Sequence[_Told]) -> dict[Key, float]:
    """When the first process found each death by its own detector."""
    found: dict[Key, float] = {}
    for one in told:
        for seen in one.seen:
            if seen.state == "dead" and seen.cause == "probe":
                key = seen.member, seen.life, seen.incarnation
                found[key] = min(seen.mono, found.get(key, seen.mono))
    return found


def _suspected_first(tally: Tally, one: _Told) -> None:
    suspected = set()
    for seen in one.seen:
        key = seen.member, seen.life, seen.incarnation
        if seen.state == "suspected":
            suspected.add(key)
        elif seen.state == "dead" and seen.cause == "probe":
            tally.count_check("suspected first")
            if key not in suspected:
                text = f"{one.name} called {seen.member} dead by its own detector without having suspected it"
                tally.add_finding("suspected first", text, [one.excerpt(seen)])


def _false_deaths(tally: Tally, times: Timeline, one: _Told, origins: dict[Key, float]) -> None:
    within = stated_bound(one.history, "detect")
    if within is None:
        return
    held = {(seen.member, seen.life) for seen in one.seen if seen.member != one.name}
    tally.count_check("no false death", len(held))
    for seen in one.seen:
        life = times.life(seen.member, seen.life)
        found = origins.get((seen.member, seen.life, seen.incarnation), math.inf)
        elsewhere = seen.cause != "probe" and found <= seen.mono + CLOCK_SKEW_SECONDS
        judged = (
            seen.state == "dead" and seen.member != one.name and seen.mono <= times.stop and not elsewhere
        )
        if not judged or life is None:
            continue
        since = max(seen.mono - within, life.begin)
        if times.could_answer(one.name, seen.member, seen.life, since, seen.mono):
            text = f"{one.name} called {seen.member} dead, which answered for the {seen.mono - since:.1f} s before"
            tally.add_finding(
                "no false death", text, [excerpt_line(life.history, life.history.start), one.excerpt(seen)]
            )


def _way_back(tally: Tally, times: Timeline, one: _Told) -> None:
    for member, events in one.by_member.items():
        gone: dict[int, MemberSeen] = {}  # by life: when it was last held left or dead here
        for before, seen in pairwise(events):
            tally.count_check("no way back")
            if before.state in GONE:
                gone[before.life] = before
            if _rank(seen) < _rank(before):
                text = f"{one.name} held {member} in a rank, and then in a lower one"
                tally.add_finding("no way back", text, [one.excerpt(before), one.excerpt(seen)])
            elif seen.life in gone and seen.state not in GONE and _over(times, seen, gone[seen.life]):
                text = f"{one.name} held {member} present again in a life that was over"
                tally.add_finding("no way back", text, [one.excerpt(gone[seen.life]), one.excerpt(seen)])


def _rank(seen: MemberSeen) -> tuple[int, int, int]:
    return seen.life, seen.incarnation, RANKS[seen.state]


def _over(times: Timeline, seen: MemberSeen, gone: MemberSeen) -> bool:
    """Whether that life was really over: its process had ended by then, or had said itself that it left.

    A false death may be refuted, and so may a leaver be held left too early.
    """
    life = times.life(seen.member, seen.life)
    if life is None:
        return False
    own = (event for event in events_of(life.history, MemberSeen) if event.member == seen.member)
    left = min((event.mono for event in own if event.state == "left"), default=math.inf)
    return min(life.end, left) <= min(gone.mono + CLOCK_SKEW_SECONDS, times.stop)


def _leavers(tally: Tally, times: Timeline, one: _Told) -> None:
    for member, events in one.by_member.items():
        leaving: dict[int, MemberSeen] = {}
        for seen in events:
            if seen.state in ("leaving", "left") and member != one.name:
                life = times.life(member, seen.life)
                if (
                    life is not None
                    and life.killed is None
                    and not times.was_paused(member, life.begin, life.end)
                ):
                    tally.count_check("leaver in peace")
                    leaving.setdefault(seen.life, seen)
            elif seen.state in ("suspected", "dead") and seen.life in leaving and seen.mono <= times.stop:
                text = f"{one.name} held {member} {seen.state} after it had heard that it leaves"
                tally.add_finding(
                    "leaver in peace", text, [one.excerpt(leaving[seen.life]), one.excerpt(seen)]
                )


def _old_rows(tally: Tally, one: _Told) -> None:
    latest: dict[str, MemberSeen] = {}
    for event in one.history.events:
        if isinstance(event, MemberSeen):
            if event.member not in latest or event.life > latest[event.member].life:
                latest[event.member] = event
        elif isinstance(event, RowTaken):
            tally.count_check("no old row")
            held = latest.get(event.owner)
            if held is not None and event.life < held.life:
                text = f"{one.name} took a row of {event.owner} in a life below the one that it held"
                tally.add_finding("no old row", text, [one.excerpt(held), one.excerpt(event)])


def _detected(tally: Tally, times: Timeline, killed: Life, told: Sequence[_Told]) -> None:
    """Every survivor that held the killed one present knows within the bound: of the death, or of the next life."""
    assert killed.killed is not None and times.harness is not None
    begin = killed.end
    for one in told:
        within = stated_bound(one.history, "detect")
        if within is None or one.name == killed.name:
            continue
        end = begin + within + CLOCK_SKEW_SECONDS
        held = [seen for seen in one.by_member.get(killed.name, ()) if seen.mono <= begin]
        present = held and held[-1].life == killed.history.life and held[-1].state not in GONE
        hindered = times.was_paused(one.name, begin, end) or times.had_partition(begin, end)
        if not present or hindered or end > times.stop or not one.life.covers(begin, end):
            continue
        tally.count_check("detected")
        if not any(_knows(seen, killed) for seen in one.by_member[killed.name] if begin < seen.mono <= end):
            late = next(
                (seen for seen in one.by_member[killed.name] if seen.mono > end and _knows(seen, killed)),
                None,
            )
            shown = [excerpt_line(times.harness, killed.killed), one.excerpt(late or held[-1])]
            how = "never" if late is None else f"only after {late.mono - begin:.2f} s"
            tally.add_finding(
                "detected", f"{one.name} knew {how} that {killed.name} was killed; bound {within:g} s", shown
            )


def _knows(seen: MemberSeen, killed: Life) -> bool:
    return seen.life > killed.history.life or (seen.life == killed.history.life and seen.state in GONE)


def _settled(tally: Tally, times: Timeline) -> None:
    """Between two disturbances, no longer than the bound with one unsettled or two that differ."""
    moments = sorted(_disturbances(times), key=lambda moment: moment[0])
    ends = [*(begin for begin, _, _ in moments[1:]), times.stop]
    for (begin, killing, shown), end in zip(
        moments, ends, strict=False
    ):  # of no moments there is one end too many
        running = [life for life in times.lives if life.begin <= begin and life.end >= end]
        bounds = [stated_bound(life.history, "settle") for life in running]
        disturbed = any(span.may_unsettle and span.begin <= begin < span.end for span in times.faults)
        if len(running) < 2 or disturbed or None in bounds:
            continue
        within = max(limit for limit in bounds if limit is not None)
        if killing:  # it has to be found dead first
            within += max(stated_bound(life.history, "detect") or 0.0 for life in running)
        if end - begin > within + CLOCK_SKEW_SECONDS:
            tally.count_check("settled")
            _agreed(tally, running, begin, end, within, shown)


def _disturbances(times: Timeline) -> Iterator[tuple[float, bool, ExcerptLine | None]]:
    """Moments that may unsettle the view, whether a process ended or woke there, and the event."""
    for span in times.faults:
        assert times.harness is not None
        if span.may_unsettle or span.kind in PROCESS_END_KINDS:
            yield span.begin, span.kind in PROCESS_END_KINDS, excerpt_line(times.harness, span.event)
            if span.end < times.stop:
                yield span.end, False, excerpt_line(times.harness, span.event)
    for life in times.lives:
        yield life.begin, False, excerpt_line(life.history, life.history.start)
        if life.end < times.stop and life.killed is None:
            yield life.end, True, excerpt_line(life.history, life.history.events[-1])
        for seen in events_of(life.history, MemberSeen):
            if seen.member == life.name and seen.state == "leaving" and seen.mono < times.stop:
                yield seen.mono, False, excerpt_line(life.history, seen)


def _agreed(
    tally: Tally,
    running: list[Life],
    begin: float,
    end: float,
    within: float,
    disturbance: ExcerptLine | None,
) -> None:
    held = {life.name: excerpt_line(life.history, life.history.start) for life in running}
    changes: list[tuple[float, str, ExcerptLine]] = []
    for life in running:
        for event in events_of(life.history, Settled):
            if event.mono <= begin:
                held[life.name] = excerpt_line(life.history, event)
            elif event.mono < end:
                changes.append((event.mono, life.name, excerpt_line(life.history, event)))
    changes.sort(key=lambda change: change[0])
    since, apart = begin, _apart(held)
    for moment, name, shown in [*changes, (end, "", None)]:
        if apart and moment - since > within + CLOCK_SKEW_SECONDS:
            text = f"unsettled for {moment - since:.2f} s with nothing to disturb it; bound {within:g} s"
            tally.add_finding("settled", text, [*([disturbance] if disturbance else []), *apart])
            return
        if shown is None:
            return
        held[name] = shown
        now_apart = _apart(held)
        if now_apart and not apart:
            since = moment
        apart = now_apart


def _apart(held: dict[str, ExcerptLine]) -> list[ExcerptLine]:
    """The events that show that not all are settled and equal: one unsettled, or two that differ; none where all are.

    Who has said nothing yet is shown by its start.
    """
    digests: dict[str, ExcerptLine] = {}
    for shown in held.values():
        if not isinstance(shown.event, Settled) or not shown.event.settled:
            return [shown]
        digests.setdefault(shown.event.digest, shown)
    return list(digests.values())[:2] if len(digests) > 1 else []
