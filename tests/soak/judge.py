"""Judges a play of the soak test by the kit's five rules and by the operators' strict terms.

Each failure states how long its limiter had waited for a CPU just before. The terms allow for a limiter that is delayed
by up to ``MAX_CPU_WAIT_SECONDS``. A play is void if all its failures are of the two terms that are measured in tenths
of a second and each follows a longer wait. Any other failure counts, whatever the load of the machine.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from cypresspulley.memory import BYTES_PER_MEGABYTE
from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.judge import judge_timeline
from cypresspulley.rehearsal.timeline import Timeline
from tests.soak.processor import CpuWaits

DEADLINE_SLACK_SECONDS = 0.15  # by which the time sent to a server may exceed what its client has left
DISCONNECT_SLACK_SECONDS = 0.1  # after a client has disconnected, within which an attempt may still begin
MEGABYTE = 1_000_000  # bytes, the unit of recorded usage
SOCKET_SLACK_SECONDS = 0.05  # added to each limit on sockets
MAX_CPU_WAIT_SECONDS = 0.15  # for which a limiter may be delayed between reading its clock and writing
CPU_WAIT_WINDOW_SECONDS = 1.0  # before a failure, in which its limiter's CPU waits are summed


@dataclass(frozen=True, slots=True)
class Result:
    """The result of one play. ``void`` says why the kit itself failed, in which case the play shows nothing."""

    seed: int
    tries: int
    attempts: int
    failures: tuple[str, ...]
    void: str = ""


@dataclass(frozen=True, slots=True)
class Failure:
    """A broken rule or term, the limiter and the second of the play.

    ``is_timing`` marks the terms that are measured in tenths of a second.
    """

    text: str
    limiter: str
    t: float
    is_timing: bool = False


def judge_day(seed: int, records: list[log.Record], folder: Path, memory_limit_mb: int) -> Result:
    """Judges a play whose limiters wrote their CPU waits into ``folder`` and may occupy ``memory_limit_mb``."""
    line = Timeline(records)
    verdict = judge_timeline(line)
    failures = [
        Failure(f"{rule.rule}: {each.text} ({each.limiter}, {each.t:.2f} s)", each.limiter, each.t)
        for rule in verdict.rules
        for each in rule.violations
    ]
    failures += [Failure(f"crash: {verdict.crash}", "", 0.0)] if verdict.crash else []
    failures += _deadline_violations(line)
    failures += _attempts_after_disconnect(line)
    failures += _connections_closed_unanswered(line)
    failures += _memory_violations(records, memory_limit_mb)
    waits = CpuWaits(folder, _day_start(records))
    cpu_waits = [
        waits.total_between(failure.limiter, failure.t - CPU_WAIT_WINDOW_SECONDS, failure.t)
        for failure in failures
    ]
    descriptions = tuple(
        f"{failure.text}; waited {wait:.2f} s" for failure, wait in zip(failures, cpu_waits, strict=True)
    )
    if failures and all(
        f.is_timing and wait > MAX_CPU_WAIT_SECONDS for f, wait in zip(failures, cpu_waits, strict=True)
    ):
        void = f"limiters were kept off the processor: {descriptions[0]}"
        return Result(seed, len(line.tries), len(line.attempts), (), void)
    return Result(seed, len(line.tries), len(line.attempts), descriptions, verdict.void)


def _memory_violations(records: list[log.Record], limit_mb: int) -> Iterator[Failure]:
    """Yields limiters whose process occupied more than its limit at any time."""
    for record in records:
        if isinstance(record, log.Usage) and record.memory_mb * MEGABYTE > limit_mb * BYTES_PER_MEGABYTE:
            text = f"memory: {record.limiter} occupied {record.memory_mb:.1f} MB of {limit_mb}"
            yield Failure(text, record.limiter, record.t)


def _day_start(records: list[log.Record]) -> float:
    """Returns the Unix time of second 0 of the play."""
    return next((record.unix_start for record in records if isinstance(record, log.End)), 0.0)


def _sent_by_id(line: Timeline) -> dict[str, list[log.Sent]]:
    found = defaultdict[str, list[log.Sent]](list)
    for record in line.records:
        if isinstance(record, log.Sent):
            found[record.id].append(record)
    return found


def _deadline_violations(line: Timeline) -> Iterator[Failure]:
    """Yields attempts that told their server a longer timeout than their client had left."""
    sent = _sent_by_id(line)
    for record in line.records:
        if not isinstance(record, log.Arrived) or record.told < 0:
            continue
        last = [each for each in sent[record.id] if each.t <= record.began]
        if (
            last
            and (over := record.told - (last[-1].t + last[-1].ttl - record.began))
            > DEADLINE_SLACK_SECONDS + SOCKET_SLACK_SECONDS
        ):
            text = f"deadline: {record.limiter} told {record.server} {over:.3f} s too much ({record.began:.2f} s)"
            yield Failure(text, record.limiter, record.began, is_timing=True)


def _attempts_after_disconnect(line: Timeline) -> Iterator[Failure]:
    """Yields attempts that began over 0.1 s after their client had disconnected or given up."""
    left = {record.id: record.t for record in line.records if isinstance(record, log.Left)}
    for record in line.records:
        if not isinstance(record, log.Arrived) or record.id not in left:
            continue
        if (late := record.began - left[record.id]) > DISCONNECT_SLACK_SECONDS + SOCKET_SLACK_SECONDS:
            text = f"lost: {record.limiter} began an attempt {late:.3f} s after its client left ({record.began:.2f} s)"
            yield Failure(text, record.limiter, record.began, is_timing=True)


def _connections_closed_unanswered(line: Timeline) -> Iterator[Failure]:
    """Yields new connections that were closed after a complete request without an answer.

    Running out of file descriptors is no excuse.
    """
    sent = _sent_by_id(line)
    for record in line.records:
        if not isinstance(record, log.Broke):
            continue
        last = [each for each in sent[record.id] if each.t <= record.t][-1]
        if last.fresh and not line.killed_within(last.limiter, last.t, record.t):
            text = f"lost: {last.limiter} ended a new connection with no answer ({record.t:.2f} s)"
            yield Failure(text, last.limiter, record.t)
