"""Generates captures with known ground truth: traffic of a few accounts through three limiters with skewed clocks."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, replace
from random import Random

from cypresspulley.capture.load import Source
from cypresspulley.capture.model import CounterCall, Entry

START = 1_800_000_000.0


@dataclass(frozen=True, slots=True)
class Skew:
    """A clock that reads true time + offset + drift * (time since the start), less ``jump`` from ``jump_at`` on."""

    offset: float = 0.0
    drift: float = 0.0
    jump_at: float = float("inf")
    jump: float = 0.0

    def reading_at(self, t: float) -> float:
        back = self.jump if t - START >= self.jump_at else 0.0
        return t + self.offset + self.drift * (t - START) - back


@dataclass(slots=True)
class Truth:
    """Every attempt in order of true time, and for each the index of the first attempt that it retries, or -1."""

    attempts: list[Entry]
    repeats: list[int]
    counts: list[tuple[int, CounterCall]]  # with the limiter that made the call


def generate_traffic(rng: Random, seconds: float = 120.0, rate: float = 20.0, accounts: int = 12) -> Truth:
    """Generate Poisson arrivals; a fifth of the attempts fail and are mostly retried; the counter counts each."""
    planned, t, number = list[tuple[float, int, Entry]](), START, 0
    while (t := t + rng.expovariate(rate)) < START + seconds:
        account = f"{rng.randrange(accounts):016x}"
        cls, method = rng.choice((("bag-lookup", "GET"), ("handover-post", "POST")))
        path, at, first = f"/{cls}/item-{number}", t, number
        for attempt in range(4):
            refused = rng.random() < 0.2
            latency = rng.uniform(0.001, 0.004) if refused else rng.uniform(0.05, 0.4)
            status = rng.choice((429, 503, 502)) if refused else 200
            entry = Entry(
                at, account, cls, "standard", method, path, f"{number:016x}-{attempt}", status, 100, latency,
                f"limiter-{rng.randrange(3)}", "", marked=None,
            )  # fmt: skip
            planned.append((at, first, entry))
            if not refused or rng.random() < 0.2:
                break
            at += latency + rng.uniform(0.002, 1.5)
        number += 1
    planned.sort(key=lambda row: row[0])
    places, repeats = dict[int, int](), list[int]()
    for place, (_, first, _) in enumerate(planned):
        repeats.append(places.get(first, -1))
        places.setdefault(first, place)
    attempts = [entry for _, _, entry in planned]
    return Truth(attempts, repeats, _counts(rng, attempts))


def _counts(rng: Random, attempts: list[Entry]) -> list[tuple[int, CounterCall]]:
    """Return the shared counter's calls; each total is updated at a random moment between call and response."""
    calls, totals = list[tuple[float, float, float, int, str]](), dict[str, float]()
    for entry in attempts:
        added = entry.t + rng.uniform(0.0005, 0.002)
        calls.append(
            (added, entry.t, added + rng.uniform(0.0005, 0.002), int(entry.source[-1]), entry.account)
        )
    found = list[tuple[int, CounterCall]]()
    for _, made, answered, limiter, account in sorted(calls):
        totals[account] = totals.get(account, 0.0) + 1
        found.append((limiter, CounterCall(made, answered, account, 1.0, totals[account])))
    return found


def build_sources(truth: Truth, clocks: list[Skew]) -> list[Source]:
    """Return each limiter's log by its own clock, with entries in the order of their lines."""
    sources = [Source(f"limiter-{n}", "json") for n in range(len(clocks))]
    for entry in sorted(truth.attempts, key=lambda e: e.end):
        n = int(entry.source[-1])
        sources[n].entries.append(replace(entry, t=clocks[n].reading_at(entry.end) - entry.latency))
    written = [sorted(e.end for e in truth.attempts if int(e.source[-1]) == n) for n in range(len(clocks))]
    for n, c in truth.counts:
        made, answered = clocks[n].reading_at(c.t), clocks[n].reading_at(c.answered)
        after = bisect_right(written[n], c.answered)
        sources[n].counts.append(CounterCall(made, answered, c.name, c.amount, c.total, after))
    return sources
