"""Checks the guarantees of fleet membership over the histories of a play.

    suspected first     a process's own failure detector declares no member dead without suspecting it first in that
                        incarnation
    no false death      no member is declared dead that has been able to answer for longer than the bound, whatever
                        fault it had before
    no old row          no process accepts a row of an earlier life of its owner than one it has already seen
    no way back         the rank of a member never falls at one process, and no ended life is present again
    detected            every survivor knows of every kill within the bound
    settled             without disturbances, no view stays unsettled or different from others for longer than the bound
    leaver in peace     a member that announced that it leaves is neither suspected nor declared dead by those who
                        received the announcement

A death is judged at the process that detected it (cause ``probe``), and not again at those that learned of it from
others.
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
# Within one life and incarnation, the state of the higher rank wins.
RANKS = {"joining": 0, "alive": 1, "leaving": 2, "suspected": 3, "left": 4, "dead": 5}
GONE_STATES = frozenset(("left", "dead"))


def check(histories: Histories) -> Verdict:
    """Return the verdict on fleet membership. A play in which nothing can be checked yields a finding."""
    tally, times = Tally(NAME, PROMISES), Timeline(histories)
    observers = [_ObservedMembers(life) for life in times.lives]
    first_detections = _first_detections(observers)
    for observer in observers:
        _check_suspected_first(tally, observer)
        _check_false_deaths(tally, times, observer, first_detections)
        _check_regressions(tally, times, observer)
        _check_leavers(tally, times, observer)
        _check_old_rows(tally, observer)
    for life in times.lives:
        if life.killed is not None:
            _check_detected(tally, times, life, observers)
    _check_settled(tally, times)
    return tally.verdict()


IncarnationKey = tuple[str, int, int]  # member, life, incarnation


class _ObservedMembers:
    """The membership events of one process, in order, in total and by member."""

    def __init__(self, life: Life) -> None:
        self.life, self.name, self.history = life, life.name, life.history
        self.seen = [event for event in events_of(life.history, MemberSeen) if event.state in RANKS]
        self.by_member: dict[str, list[MemberSeen]] = {}
        for event in self.seen:
            self.by_member.setdefault(event.member, []).append(event)

    def excerpt(self, event: Event) -> ExcerptLine:
        return excerpt_line(self.history, event)


def _first_detections(observers: Sequence[_ObservedMembers]) -> dict[IncarnationKey, float]:
    """Return when each death was first detected by any process's own failure detector."""
    found: dict[IncarnationKey, float] = {}
    for observer in observers:
        for seen in observer.seen:
            if seen.state == "dead" and seen.cause == "probe":
                key = seen.member, seen.life, seen.incarnation
                found[key] = min(seen.mono, found.get(key, seen.mono))
    return found


def _check_suspected_first(tally: Tally, observer: _ObservedMembers) -> None:
    suspected = set()
    for seen in observer.seen:
        key = seen.member, seen.life, seen.incarnation
        if seen.state == "suspected":
            suspected.add(key)
        elif seen.state == "dead" and seen.cause == "probe":
            tally.count_check("suspected first")
            if key not in suspected:
                text = f"{observer.name} called {seen.member} dead by its own detector without having suspected it"
                tally.add_finding("suspected first", text, [observer.excerpt(seen)])


def _check_false_deaths(
    tally: Tally,
    times: Timeline,
    observer: _ObservedMembers,
    first_detections: dict[IncarnationKey, float],
) -> None:
    within = stated_bound(observer.history, "detect")
    if within is None:
        return
    held = {(seen.member, seen.life) for seen in observer.seen if seen.member != observer.name}
    tally.count_check("no false death", len(held))
    for seen in observer.seen:
        life = times.life(seen.member, seen.life)
        found = first_detections.get((seen.member, seen.life, seen.incarnation), math.inf)
        detected_elsewhere = seen.cause != "probe" and found <= seen.mono + CLOCK_SKEW_SECONDS
        is_judged = (
            seen.state == "dead"
            and seen.member != observer.name
            and seen.mono <= times.stop
            and not detected_elsewhere
        )
        if not is_judged or life is None:
            continue
        since = max(seen.mono - within, life.begin)
        if times.could_answer(observer.name, seen.member, seen.life, since, seen.mono):
            text = f"{observer.name} called {seen.member} dead, which answered for the {seen.mono - since:.1f} s before"
            tally.add_finding(
                "no false death",
                text,
                [excerpt_line(life.history, life.history.start), observer.excerpt(seen)],
            )


def _check_regressions(tally: Tally, times: Timeline, observer: _ObservedMembers) -> None:
    for member, events in observer.by_member.items():
        ended_lives: dict[int, MemberSeen] = {}  # by life: the last event here that showed it as left or dead
        for before, seen in pairwise(events):
            tally.count_check("no way back")
            if before.state in GONE_STATES:
                ended_lives[before.life] = before
            if _rank(seen) < _rank(before):
                text = f"{observer.name} held {member} in a rank, and then in a lower one"
                tally.add_finding("no way back", text, [observer.excerpt(before), observer.excerpt(seen)])
            elif (
                seen.life in ended_lives
                and seen.state not in GONE_STATES
                and _life_was_over(times, seen, ended_lives[seen.life])
            ):
                text = f"{observer.name} held {member} present again in a life that was over"
                tally.add_finding(
                    "no way back", text, [observer.excerpt(ended_lives[seen.life]), observer.excerpt(seen)]
                )


def _rank(seen: MemberSeen) -> tuple[int, int, int]:
    return seen.life, seen.incarnation, RANKS[seen.state]


def _life_was_over(times: Timeline, seen: MemberSeen, gone: MemberSeen) -> bool:
    """Return whether the life was really over: its process had ended by then, or had itself announced that it left.

    A false death may be refuted, and so may a departure that was recorded too early.
    """
    life = times.life(seen.member, seen.life)
    if life is None:
        return False
    own = (event for event in events_of(life.history, MemberSeen) if event.member == seen.member)
    left = min((event.mono for event in own if event.state == "left"), default=math.inf)
    return min(life.end, left) <= min(gone.mono + CLOCK_SKEW_SECONDS, times.stop)


def _check_leavers(tally: Tally, times: Timeline, observer: _ObservedMembers) -> None:
    for member, events in observer.by_member.items():
        leaving: dict[int, MemberSeen] = {}
        for seen in events:
            if seen.state in ("leaving", "left") and member != observer.name:
                life = times.life(member, seen.life)
                if (
                    life is not None
                    and life.killed is None
                    and not times.was_paused(member, life.begin, life.end)
                ):
                    tally.count_check("leaver in peace")
                    leaving.setdefault(seen.life, seen)
            elif seen.state in ("suspected", "dead") and seen.life in leaving and seen.mono <= times.stop:
                text = f"{observer.name} held {member} {seen.state} after it had heard that it leaves"
                tally.add_finding(
                    "leaver in peace", text, [observer.excerpt(leaving[seen.life]), observer.excerpt(seen)]
                )


def _check_old_rows(tally: Tally, observer: _ObservedMembers) -> None:
    latest: dict[str, MemberSeen] = {}
    for event in observer.history.events:
        if isinstance(event, MemberSeen):
            if event.member not in latest or event.life > latest[event.member].life:
                latest[event.member] = event
        elif isinstance(event, RowTaken):
            tally.count_check("no old row")
            held = latest.get(event.owner)
            if held is not None and event.life < held.life:
                text = f"{observer.name} took a row of {event.owner} in a life below the one that it held"
                tally.add_finding("no old row", text, [observer.excerpt(held), observer.excerpt(event)])


def _check_detected(
    tally: Tally, times: Timeline, killed: Life, observers: Sequence[_ObservedMembers]
) -> None:
    """Check that each survivor that held the killed process present learns of its end within the bound."""
    assert killed.killed is not None and times.harness is not None
    begin = killed.end
    for observer in observers:
        within = stated_bound(observer.history, "detect")
        if within is None or observer.name == killed.name:
            continue
        end = begin + within + CLOCK_SKEW_SECONDS
        held = [seen for seen in observer.by_member.get(killed.name, ()) if seen.mono <= begin]
        was_present = held and held[-1].life == killed.history.life and held[-1].state not in GONE_STATES
        impaired = times.was_paused(observer.name, begin, end) or times.had_partition(begin, end)
        if not was_present or impaired or end > times.stop or not observer.life.covers(begin, end):
            continue
        tally.count_check("detected")
        if not any(
            _shows_end_of(seen, killed)
            for seen in observer.by_member[killed.name]
            if begin < seen.mono <= end
        ):
            late = next(
                (
                    seen
                    for seen in observer.by_member[killed.name]
                    if seen.mono > end and _shows_end_of(seen, killed)
                ),
                None,
            )
            excerpt = [excerpt_line(times.harness, killed.killed), observer.excerpt(late or held[-1])]
            how = "never" if late is None else f"only after {late.mono - begin:.2f} s"
            tally.add_finding(
                "detected",
                f"{observer.name} knew {how} that {killed.name} was killed; bound {within:g} s",
                excerpt,
            )


def _shows_end_of(seen: MemberSeen, killed: Life) -> bool:
    return seen.life > killed.history.life or (seen.life == killed.history.life and seen.state in GONE_STATES)


def _check_settled(tally: Tally, times: Timeline) -> None:
    """Check that between two disturbances no view is unsettled or different for longer than the bound."""
    moments = sorted(_disturbances(times), key=lambda moment: moment[0])
    ends = [*(begin for begin, _, _ in moments[1:]), times.stop]
    # Not strict: without any moments there is one end too many.
    for (begin, is_process_end, excerpt), end in zip(moments, ends, strict=False):
        running = [life for life in times.lives if life.begin <= begin and life.end >= end]
        bounds = [stated_bound(life.history, "settle") for life in running]
        is_disturbed = any(span.may_unsettle and span.begin <= begin < span.end for span in times.faults)
        if len(running) < 2 or is_disturbed or None in bounds:
            continue
        within = max(limit for limit in bounds if limit is not None)
        if is_process_end:  # the failure detector has to find it dead first
            within += max(stated_bound(life.history, "detect") or 0.0 for life in running)
        if end - begin > within + CLOCK_SKEW_SECONDS:
            tally.count_check("settled")
            _check_agreement(tally, running, begin, end, within, excerpt)


def _disturbances(times: Timeline) -> Iterator[tuple[float, bool, ExcerptLine | None]]:
    """Yield times that may unsettle the view, whether a process ended at that time, and the event."""
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


def _check_agreement(
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
    since, disagreeing = begin, _disagreeing_lines(held)
    for moment, name, excerpt in [*changes, (end, "", None)]:
        if disagreeing and moment - since > within + CLOCK_SKEW_SECONDS:
            text = f"unsettled for {moment - since:.2f} s with nothing to disturb it; bound {within:g} s"
            tally.add_finding("settled", text, [*([disturbance] if disturbance else []), *disagreeing])
            return
        if excerpt is None:
            return
        held[name] = excerpt
        now_disagreeing = _disagreeing_lines(held)
        if now_disagreeing and not disagreeing:
            since = moment
        disagreeing = now_disagreeing


def _disagreeing_lines(held: dict[str, ExcerptLine]) -> list[ExcerptLine]:
    """Return the events of one unsettled process or of two that differ; empty if all are settled and equal.

    A process that has written no settled event yet is represented by its start event.
    """
    digests: dict[str, ExcerptLine] = {}
    for excerpt in held.values():
        if not isinstance(excerpt.event, Settled) or not excerpt.event.settled:
            return [excerpt]
        digests.setdefault(excerpt.event.digest, excerpt)
    return list(digests.values())[:2] if len(digests) > 1 else []
