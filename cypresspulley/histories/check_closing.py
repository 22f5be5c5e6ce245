"""Checks the guarantees of the closing cache over the histories of a play.

    gone at close   a call that begins more than the clock bound after a closing gets no answer made before the closing
    never back      generations only grow, as a register: once a client has an answer of one generation, no call of that
                    account that begins later gets an older one
    fired once      each closing (place, version, ordinal) is noticed at most once per process life
    lost by none    a closing that one limiter notices is noticed by every other limiter that has that calendar version
                    in force and has been free of doubt for a second after the closing
    yes means gone  after a purge was confirmed, no call gets an answer made before the purge was requested
    purged in time  once the purge bound has passed, no limiter serves an answer cached before the purge
    doubt           a limiter that is in doubt neither caches answers nor serves cached ones
    one generation  a limiter serves an answer with the generation under which it was cached, and with no closing in
                    between, by its own clock within the clock bound; two answers with a closing surely between them
                    differ in generation

From the clients' point of view, the generation of an answer is the number of its account's closings at or before the
true time at which a server made it. Calls and answers of clients are ordered by the harness's single clock (an atomic
register: Lamport 1986).
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict

from cypresspulley.histories.forms import (
    Answer,
    Calendar,
    Call,
    Closed,
    Doubt,
    Event,
    Kept,
    Purge,
    PurgeAnswer,
    PurgeCall,
    Served,
)
from cypresspulley.histories.read import Histories, History
from cypresspulley.histories.timeline import CLOCK_SKEW_SECONDS, Life, Timeline, events_of, stated_bound
from cypresspulley.histories.verdict import ExcerptLine, Tally, Verdict, excerpt_line

NAME = "closing"
PROMISES = (
    "gone at close",
    "never back",
    "fired once",
    "lost by none",
    "yes means gone",
    "purged in time",
    "doubt",
    "one generation",
)
NOTICE_SECONDS = 1.0  # a limiter without doubt notices a closing within this time


def check(histories: Histories) -> Verdict:
    """Return the verdict on closing. A play in which nothing was cached, closed or purged yields a finding."""
    tally, times = Tally(NAME, PROMISES), Timeline(histories)
    truth = _ClosingTruth(times)
    if histories.harness is not None:
        traffic = _ClientTraffic(histories.harness)
        _check_gone_at_close(tally, truth, traffic)
        _check_never_back(tally, truth, traffic)
        _check_yes_means_gone(tally, traffic)
    for history in histories.lives:
        _check_fired_once(tally, history)
        _check_doubt(tally, history)
        _check_one_generation(tally, truth, history)
    _check_lost_by_none(tally, truth, times)
    _check_purged_in_time(tally, truth, histories)
    return tally.verdict()


class _ClosingTruth:
    """The true closing times of each account, sorted, and the clock bound in seconds."""

    def __init__(self, times: Timeline) -> None:
        self._closings: dict[str, list[float]] = defaultdict(list)
        self.max_clock_difference = 0.0
        if times.truth is not None:
            self.max_clock_difference = times.truth.clock_bound
            for account, moment in sorted(times.truth.closings, key=lambda pair: pair[1]):
                self._closings[account].append(moment)

    def generation_at(self, account: str, moment: float) -> int:
        """Return the number of closings at or before ``moment``."""
        return bisect_right(self._closings.get(account, ()), moment)

    def first_closing_between(self, account: str, begin: float, end: float) -> float | None:
        """Return the first closing after ``begin`` and before ``end``, or None."""
        closings = self._closings.get(account, ())
        at = bisect_right(closings, begin)
        return closings[at] if at < len(closings) and closings[at] < end else None

    def has_closings(self, account: str) -> bool:
        return account in self._closings


class _ClientTraffic:
    """The clients' calls with their answers, by account, and the operators' confirmed purges."""

    def __init__(self, harness: History) -> None:
        self.harness = harness
        calls = {event.id: event for event in events_of(harness, Call)}
        purge_calls = {event.id: event for event in events_of(harness, PurgeCall)}
        self.answered: dict[str, list[tuple[Call, Answer, float]]] = defaultdict(list)
        for answer in events_of(harness, Answer):
            call = calls.get(answer.id)
            if call is not None and answer.made is not None:
                self.answered[call.account].append((call, answer, answer.made))
        self.purged = [
            (purge_calls[event.id], event)
            for event in events_of(harness, PurgeAnswer)
            if event.status == 200 and event.id in purge_calls
        ]

    def lines(self, *events: Event) -> list[ExcerptLine]:
        return [excerpt_line(self.harness, event) for event in events]


def _check_gone_at_close(tally: Tally, truth: _ClosingTruth, traffic: _ClientTraffic) -> None:
    for account, answered in traffic.answered.items():
        for call, answer, made in answered:
            if not truth.has_closings(account):
                continue
            tally.count_check("gone at close")
            closing = truth.first_closing_between(account, made, call.mono - truth.max_clock_difference)
            if closing is not None:
                text = (
                    f"a call of {account} began {call.mono - closing:.3f} s after the closing at {closing:.3f} and got "
                    f"an answer made {closing - made:.3f} s before it"
                )
                tally.add_finding("gone at close", text, traffic.lines(call, answer))


def _check_never_back(tally: Tally, truth: _ClosingTruth, traffic: _ClientTraffic) -> None:
    """Compare each call's generation with the highest one that any client had received when the call began."""
    for account, answered in traffic.answered.items():
        if not truth.has_closings(account):
            continue
        answered_by_end = sorted(answered, key=lambda one: one[1].mono)
        ends = [answer.mono for _, answer, _ in answered_by_end]
        highest: list[
            tuple[int, Call, Answer]
        ] = []  # for each answer, the highest among it and all earlier ones
        for call, answer, made in answered_by_end:
            generation = truth.generation_at(account, made)
            best = highest[-1] if highest and highest[-1][0] >= generation else (generation, call, answer)
            highest.append(best)
        for call, answer, made in answered:
            ended = bisect_left(ends, call.mono)
            if not ended:
                continue
            tally.count_check("never back")
            seen, seen_call, seen_answer = highest[ended - 1]
            generation = truth.generation_at(account, made)
            if generation < seen:
                text = (
                    f"{account} had an answer of generation {seen}, and a later call got one of {generation}"
                )
                tally.add_finding("never back", text, traffic.lines(seen_call, seen_answer, call, answer))


def _check_yes_means_gone(tally: Tally, traffic: _ClientTraffic) -> None:
    for purge_call, purge_answer in traffic.purged:
        for call, answer, made in traffic.answered.get(purge_call.account, ()):
            if call.mono <= purge_answer.mono:
                continue
            tally.count_check("yes means gone")
            if made < purge_call.mono:
                text = f"after the yes to a purge of {purge_call.account} a call got what was made before it"
                tally.add_finding(
                    "yes means gone", text, traffic.lines(purge_call, purge_answer, call, answer)
                )


def _check_fired_once(tally: Tally, history: History) -> None:
    noticed: dict[tuple[str, int | str, int], Closed] = {}
    for event in events_of(history, Closed):
        tally.count_check("fired once")
        key = event.place, event.version, event.ordinal
        if key in noticed:
            text = f"{history.name} noticed closing {event.ordinal} of {event.place} twice in one life"
            tally.add_finding(
                "fired once", text, [excerpt_line(history, noticed[key]), excerpt_line(history, event)]
            )
        noticed.setdefault(key, event)


def _check_lost_by_none(tally: Tally, truth: _ClosingTruth, times: Timeline) -> None:
    closings: dict[tuple[str, int | str, int], tuple[History, Closed]] = {}
    noticed: dict[tuple[str, int], set[tuple[str, int | str, int]]] = defaultdict(set)
    for life in times.lives:
        for event in events_of(life.history, Closed):
            key = event.place, event.version, event.ordinal
            closings.setdefault(key, (life.history, event))
            noticed[life.name, life.history.life].add(key)
    for life in times.lives:
        forced = {
            event.version: event.mono for event in events_of(life.history, Calendar) if event.state == "force"
        }
        for key, (history, closed) in closings.items():
            since = forced.get(closed.version)
            later = [mono for mono in forced.values() if since is not None and mono > since]
            known = since is not None and since < closed.at - truth.max_clock_difference
            begin = closed.at + truth.max_clock_difference + CLOCK_SKEW_SECONDS
            if (
                not known
                or any(mono < begin + NOTICE_SECONDS for mono in later)
                or not _was_sure(times, life, begin)
            ):
                continue
            tally.count_check("lost by none")
            if key not in noticed[life.name, life.history.life]:
                text = f"{life.name} never noticed closing {closed.ordinal} of {closed.place}, as {history.name} did"
                tally.add_finding(
                    "lost by none",
                    text,
                    [excerpt_line(life.history, life.history.start), excerpt_line(history, closed)],
                )


def _was_sure(times: Timeline, life: Life, begin: float) -> bool:
    """Return whether it ran unpaused from ``begin`` until it had been without doubt for ``NOTICE_SECONDS``."""
    moments = [(event.mono, event.doubt) for event in events_of(life.history, Doubt)]
    ends = [*(mono for mono, _ in moments[1:]), life.end]
    for (since, doubt), until in zip(moments, ends, strict=False):
        since, until = max(since, begin), min(until, life.end, times.stop)
        if not doubt and until - since > NOTICE_SECONDS:
            return not times.was_paused(life.name, begin, since + NOTICE_SECONDS)
    return False


def _check_doubt(tally: Tally, history: History) -> None:
    """Check that nothing is cached or served in doubt.

    Before its first doubt event a limiter counts as sure, unless that event says that doubt has ended.
    """
    doubts = list(events_of(history, Doubt))
    doubt: Event | None = history.start if doubts and not doubts[0].doubt else None
    for event in history.events:
        if isinstance(event, Doubt):
            doubt = event if event.doubt else None
        elif isinstance(event, Kept | Served):
            tally.count_check("doubt")
            if doubt is not None:
                did = "kept" if isinstance(event, Kept) else "served"
                text = f"{history.name} {did} an answer for {event.account} while it was in doubt"
                tally.add_finding("doubt", text, [excerpt_line(history, doubt), excerpt_line(history, event)])


def _check_one_generation(tally: Tally, truth: _ClosingTruth, history: History) -> None:
    kept: dict[tuple[str, str], Kept] = {}
    newest: dict[str, Kept] = {}
    for event in history.events:
        if isinstance(event, Calendar) and event.state == "force":
            newest.clear()  # generations of different calendar versions are not comparable
        elif isinstance(event, Kept):
            before = newest.get(event.account)
            if before is not None:
                _check_generations_differ(tally, truth, history, before, event)
            kept[event.account, event.key] = newest[event.account] = event
        elif isinstance(event, Served):
            tally.count_check("one generation")
            closing = truth.first_closing_between(
                event.account,
                event.made + truth.max_clock_difference,
                event.mono - truth.max_clock_difference,
            )
            if closing is not None:
                text = (
                    f"{history.name} served {event.account} {event.mono - closing:.3f} s after the closing at "
                    f"{closing:.3f} what was asked for before it"
                )
                tally.add_finding("one generation", text, [excerpt_line(history, event)])
            origin = kept.get((event.account, event.key))
            if origin is not None and origin.sent == event.made and origin.generation != event.generation:
                text = (
                    f"{history.name} served {event.account} under another generation than it was kept under"
                )
                tally.add_finding(
                    "one generation", text, [excerpt_line(history, origin), excerpt_line(history, event)]
                )


def _check_generations_differ(
    tally: Tally, truth: _ClosingTruth, history: History, before: Kept, after: Kept
) -> None:
    """Check that two answers requested on either side of a closing were cached under different generations."""
    early, late = sorted((before, after), key=lambda kept: kept.sent)
    closing = truth.first_closing_between(
        early.account, early.sent + truth.max_clock_difference, late.sent - truth.max_clock_difference
    )
    if closing is None:
        return
    tally.count_check("one generation")
    if early.generation == late.generation:
        text = f"{history.name} kept answers for {early.account} from both sides of {closing:.3f} in one generation"
        tally.add_finding(
            "one generation", text, [excerpt_line(history, before), excerpt_line(history, after)]
        )


def _check_purged_in_time(tally: Tally, truth: _ClosingTruth, histories: Histories) -> None:
    """A purge applies at its issuer at once, and elsewhere after the purge bound or once it is confirmed."""
    # By account: the purge request and the time by which it applies at every limiter.
    purges: dict[str, list[tuple[ExcerptLine, Purge, float]]] = defaultdict(list)
    for history in histories.lives:
        purge_bound = stated_bound(history, "purge")
        confirmed_at = {
            event.number: event.mono for event in events_of(history, Purge) if event.what == "yes"
        }
        for event in events_of(history, Purge):
            if event.what == "asked" and purge_bound is not None:
                gone_by = min(
                    event.mono + purge_bound, confirmed_at.get(event.number, event.mono + purge_bound)
                )
                purges[event.account].append((excerpt_line(history, event), event, gone_by))
    for history in histories.lives:
        for served in events_of(history, Served):
            for excerpt, purge, gone_by in purges.get(served.account, ()):
                is_issuer = history.name == purge.issuer and history.life == purge.life
                if served.mono <= (purge.mono if is_issuer else gone_by + CLOCK_SKEW_SECONDS):
                    continue
                tally.count_check("purged in time")
                if served.made < purge.mono - truth.max_clock_difference:
                    text = f"{history.name} served {served.account} what was kept before a purge by {purge.issuer}"
                    tally.add_finding("purged in time", text, [excerpt, excerpt_line(history, served)])
