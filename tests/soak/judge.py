"""The verdict on a day of the soak: the kit's five rules and, beside them, the operators' strict terms.

Each find says how long its limiter had waited for a processor just before. The terms bear a limiter that is held up for
``BEARABLE``; a day whose finds are all of the two terms that go by tenths of a second, each behind a longer wait, is
void. Whatever else is found stands, whatever the load.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.judge import judge_timeline
from cypresspulley.rehearsal.timeline import Timeline
from tests.soak.processor import Waits

TOLD_SLACK = 0.15  # seconds by which a server may be told more than its client has left
GONE_SLACK = 0.1  # seconds after a client's end in which an attempt may still begin
SOCKETS = 0.05  # seconds by which each limit is longer on sockets
BEARABLE = 0.15  # seconds for which a limiter may be held up between reading its clock and writing
BEFORE = 1.0  # seconds before a find in which its limiter's waits are counted


@dataclass(frozen=True, slots=True)
class Result:
    """What a day showed. ``void``: the kit's own fault, and nothing is said of the limiter."""

    seed: int
    tries: int
    attempts: int
    finds: tuple[str, ...]
    void: str = ""


@dataclass(frozen=True, slots=True)
class Find:
    """What a limiter did against a rule or a term, and when in the day. ``timely``: of a term of tenths of a second."""

    text: str
    limiter: str
    t: float
    timely: bool = False


def judged(seed: int, records: list[log.Record], folder: Path) -> Result:
    """The day's verdict. Its limiters wrote their waits for a processor into ``folder``."""
    line = Timeline(records)
    verdict = judge_timeline(line)
    finds = [
        Find(f"{rule.rule}: {each.text} ({each.limiter}, {each.t:.2f} s)", each.limiter, each.t)
        for rule in verdict.rules
        for each in rule.violations
    ]
    finds += [Find(f"crash: {verdict.crash}", "", 0.0)] if verdict.crash else []
    finds += _told_too_long(line)
    finds += _begun_for_the_gone(line)
    finds += _closed_without_answer(line)
    waits = Waits(folder, _began(records))
    held = [waits.within(find.limiter, find.t - BEFORE, find.t) for find in finds]
    said = tuple(f"{find.text}; waited {wait:.2f} s" for find, wait in zip(finds, held, strict=True))
    if finds and all(f.timely and wait > BEARABLE for f, wait in zip(finds, held, strict=True)):
        void = f"limiters were kept off the processor: {said[0]}"
        return Result(seed, len(line.tries), len(line.attempts), (), void)
    return Result(seed, len(line.tries), len(line.attempts), said, verdict.void)


def _began(records: list[log.Record]) -> float:
    """Unix time of the day's second 0."""
    return next((record.unix_start for record in records if isinstance(record, log.End)), 0.0)


def _sent(line: Timeline) -> dict[str, list[log.Sent]]:
    found = defaultdict[str, list[log.Sent]](list)
    for record in line.records:
        if isinstance(record, log.Sent):
            found[record.id].append(record)
    return found


def _told_too_long(line: Timeline) -> Iterator[Find]:
    """The time that an attempt tells its server is at most what is left to its client."""
    sent = _sent(line)
    for record in line.records:
        if not isinstance(record, log.Arrived) or record.told < 0:
            continue
        last = [each for each in sent[record.id] if each.t <= record.began]
        if last and (over := record.told - (last[-1].t + last[-1].ttl - record.began)) > TOLD_SLACK + SOCKETS:
            text = f"deadline: {record.limiter} told {record.server} {over:.3f} s too much ({record.began:.2f} s)"
            yield Find(text, record.limiter, record.began, timely=True)


def _begun_for_the_gone(line: Timeline) -> Iterator[Find]:
    """No attempt begins over 0.1 s after its client closed or gave up."""
    left = {record.id: record.t for record in line.records if isinstance(record, log.Left)}
    for record in line.records:
        if not isinstance(record, log.Arrived) or record.id not in left:
            continue
        if (late := record.began - left[record.id]) > GONE_SLACK + SOCKETS:
            text = f"lost: {record.limiter} began an attempt {late:.3f} s after its client left ({record.began:.2f} s)"
            yield Find(text, record.limiter, record.began, timely=True)


def _closed_without_answer(line: Timeline) -> Iterator[Find]:
    """A connection that was closed with a whole request and no answer, also a new one, and also for a descriptor."""
    sent = _sent(line)
    for record in line.records:
        if not isinstance(record, log.Broke):
            continue
        last = [each for each in sent[record.id] if each.t <= record.t][-1]
        if last.fresh and not line.killed_within(last.limiter, last.t, record.t):
            text = f"lost: {last.limiter} ended a new connection with no answer ({record.t:.2f} s)"
            yield Find(text, last.limiter, record.t)
