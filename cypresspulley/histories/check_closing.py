"""What closing promises, checked over the histories of a play.

    gone at close   no call that begins after a closing, by more than the clock bound, gets an answer made before it
    never back      generations are a register that only grows: after a client has an answer of one generation, no call
                    of that account that begins later gets an older one
    fired once      each closing (place, version, ordinal) is noticed once in a life
    lost by none    a closing that one limiter notices is noticed by every other with that version in force, once it has
                    been sure for a second after it
    yes means gone  after the yes to a purge no call gets an answer made before it was asked for
    purged in time  from the bound after a purge no limiter serves what was kept before it
    doubt           while a limiter is in doubt it neither keeps nor serves what is kept
    one generation  what a limiter serves has the generation under which it was kept; no closing lies between, by its
                    own clock give or take the bound, and two answers with a closing surely between differ

An answer's generation, for the clients' side, is how many of its account's closings lie at or before the true moment at
which a server made it. Clients' calls and answers are ordered by the harness's one clock (a register: Lamport 1986).
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
SURE = 1.0  # seconds without doubt in which a limiter notices what its clock has brought


def check(histories: Histories) -> Verdict:
    """The verdict on closing; a play in which nothing was kept, closed or purged is a finding."""
    tally, times = Tally(NAME, PROMISES), Timeline(histories)
    truth = _Truth(times)
    if histories.harness is not None:
        talk = _Talk(histories.harness)
        _gone_at_close(tally, truth, talk)
        _never_back(tally, truth, talk)
        _yes_means_gone(tally, talk)
    for history in histories.lives:
        _fired_once(tally, history)
        _doubt(tally, history)
        _one_generation(tally, truth, history)
    _lost_by_none(tally, truth, times)
    _purged_in_time(tally, truth, histories)
    return tally.verdict()


class _Truth:
    """The closings of each account, sorted, and by how much two clocks may differ (seconds)."""

    def __init__(self, times: Timeline) -> None:
        self._closings: dict[str, list[float]] = defaultdict(list)
        self.apart = 0.0
        if times.truth is not None:
            self.apart = times.truth.clock_bound
            for account, moment in sorted(times.truth.closings, key=lambda pair: pair[1]):
                self._closings[account].append(moment)

    def generation(self, account: str, moment: float) -> int:
        """How many closings lie at or before it."""
        return bisect_right(self._closings.get(account, ()), moment)

    def between(self, account: str, begin: float, end: float) -> float | None:
        """The first closing after ``begin`` and before ``end``."""
        closings = self._closings.get(account, ())
        at = bisect_right(closings, begin)
        return closings[at] if at < len(closings) and closings[at] < end else None

    def has(self, account: str) -> bool:
        return account in self._closings


class _Talk:
    """The clients' calls with their answers, in the order of the calls, and the operators' purges."""

    def __init__(self, harness: History) -> None:
        self.harness = harness
        calls = {event.id: event for event in events_of(harness, Call)}
        asked = {event.id: event for event in events_of(harness, PurgeCall)}
        self.answered: dict[str, list[tuple[Call, Answer, float]]] = defaultdict(list)
        for answer in events_of(harness, Answer):
            call = calls.get(answer.id)
            if call is not None and answer.made is not None:
                self.answered[call.account].append((call, answer, answer.made))
        self.purged = [
            (asked[event.id], event)
            for event in events_of(harness, PurgeAnswer)
            if event.status == 200 and event.id in asked
        ]

    def lines(self, *events: Event) -> list[ExcerptLine]:
        return [excerpt_line(self.harness, event) for event in events]


def _gone_at_close(tally: Tally, truth: _Truth, talk: _Talk) -> None:
    for account, answered in talk.answered.items():
        for call, answer, made in answered:
            if not truth.has(account):
                continue
            tally.count_check("gone at close")
            closing = truth.between(account, made, call.mono - truth.apart)
            if closing is not None:
                text = (
                    f"a call of {account} began {call.mono - closing:.3f} s after the closing at {closing:.3f} and got "
                    f"an answer made {closing - made:.3f} s before it"
                )
                tally.add_finding("gone at close", text, talk.lines(call, answer))


def _never_back(tally: Tally, truth: _Truth, talk: _Talk) -> None:
    """Sweep each account's calls by their begin, with the highest generation that anybody had by then."""
    for account, answered in talk.answered.items():
        if not truth.has(account):
            continue
        by_end = sorted(answered, key=lambda one: one[1].mono)
        ends = [answer.mono for _, answer, _ in by_end]
        highest: list[tuple[int, Call, Answer]] = []  # of all that ended up to each
        for call, answer, made in by_end:
            generation = truth.generation(account, made)
            best = highest[-1] if highest and highest[-1][0] >= generation else (generation, call, answer)
            highest.append(best)
        for call, answer, made in answered:
            ended = bisect_left(ends, call.mono)
            if not ended:
                continue
            tally.count_check("never back")
            seen, seen_call, seen_answer = highest[ended - 1]
            generation = truth.generation(account, made)
            if generation < seen:
                text = (
                    f"{account} had an answer of generation {seen}, and a later call got one of {generation}"
                )
                tally.add_finding("never back", text, talk.lines(seen_call, seen_answer, call, answer))


def _yes_means_gone(tally: Tally, talk: _Talk) -> None:
    for asked, yes in talk.purged:
        for call, answer, made in talk.answered.get(asked.account, ()):
            if call.mono <= yes.mono:
                continue
            tally.count_check("yes means gone")
            if made < asked.mono:
                text = f"after the yes to a purge of {asked.account} a call got what was made before it"
                tally.add_finding("yes means gone", text, talk.lines(asked, yes, call, answer))


def _fired_once(tally: Tally, history: History) -> None:
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


def _lost_by_none(tally: Tally, truth: _Truth, times: Timeline) -> None:
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
            known = since is not None and since < closed.at - truth.apart
            begin = closed.at + truth.apart + CLOCK_SKEW_SECONDS
            if not known or any(mono < begin + SURE for mono in later) or not _sure(times, life, begin):
                continue
            tally.count_check("lost by none")
            if key not in noticed[life.name, life.history.life]:
                text = f"{life.name} never noticed closing {closed.ordinal} of {closed.place}, as {history.name} did"
                tally.add_finding(
                    "lost by none",
                    text,
                    [excerpt_line(life.history, life.history.start), excerpt_line(history, closed)],
                )


def _sure(times: Timeline, life: Life, begin: float) -> bool:
    """Whether it ran from ``begin`` on and was sure for ``SURE`` seconds after it."""
    moments = [(event.mono, event.doubt) for event in events_of(life.history, Doubt)]
    ends = [*(mono for mono, _ in moments[1:]), life.end]
    for (since, doubt), until in zip(moments, ends, strict=False):
        since, until = max(since, begin), min(until, life.end, times.stop)
        if not doubt and until - since > SURE:
            return not times.was_paused(life.name, begin, since + SURE)
    return False


def _doubt(tally: Tally, history: History) -> None:
    """Before its first word on doubt a limiter is taken to be sure, unless that word is that doubt has ended."""
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


def _one_generation(tally: Tally, truth: _Truth, history: History) -> None:
    kept: dict[tuple[str, str], Kept] = {}
    newest: dict[str, Kept] = {}
    for event in history.events:
        if isinstance(event, Calendar) and event.state == "force":
            newest.clear()  # another version numbers its generations anew
        elif isinstance(event, Kept):
            before = newest.get(event.account)
            if before is not None:
                _differ(tally, truth, history, before, event)
            kept[event.account, event.key] = newest[event.account] = event
        elif isinstance(event, Served):
            tally.count_check("one generation")
            closing = truth.between(event.account, event.made + truth.apart, event.mono - truth.apart)
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


def _differ(tally: Tally, truth: _Truth, history: History, before: Kept, after: Kept) -> None:
    """Two answers with a closing surely between the moments at which they were asked for: their generations differ."""
    early, late = sorted((before, after), key=lambda kept: kept.sent)
    closing = truth.between(early.account, early.sent + truth.apart, late.sent - truth.apart)
    if closing is None:
        return
    tally.count_check("one generation")
    if early.generation == late.generation:
        text = f"{history.name} kept answers for {early.account} from both sides of {closing:.3f} in one generation"
        tally.add_finding(
            "one generation", text, [excerpt_line(history, before), excerpt_line(history, after)]
        )


def _purged_in_time(tally: Tally, truth: _Truth, histories: Histories) -> None:
    """Own purges hold at once, the others' from the bound on; a yes ends the wait."""
    purges: dict[str, list[tuple[ExcerptLine, Purge, float]]] = defaultdict(
        list
    )  # by account: asked, and gone everywhere by
    for history in histories.lives:
        within = stated_bound(history, "purge")
        yes = {event.number: event.mono for event in events_of(history, Purge) if event.what == "yes"}
        for event in events_of(history, Purge):
            if event.what == "asked" and within is not None:
                by = min(event.mono + within, yes.get(event.number, event.mono + within))
                purges[event.account].append((excerpt_line(history, event), event, by))
    for history in histories.lives:
        for served in events_of(history, Served):
            for shown, purge, by in purges.get(served.account, ()):
                own = history.name == purge.issuer and history.life == purge.life
                if served.mono <= (purge.mono if own else by + CLOCK_SKEW_SECONDS):
                    continue
                tally.count_check("purged in time")
                if served.made < purge.mono - truth.apart:
                    text = f"{history.name} served {served.account} what was kept before a purge by {purge.issuer}"
                    tally.add_finding("purged in time", text, [shown, excerpt_line(history, served)])
