"""Captured entries as arrivals of a day: timing kept or scaled, retries as captured or left out; free of I/O."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

from cypresspulley.capture.model import CaptureError, Entry
from cypresspulley.rehearsal.plan import MAX_ARRIVALS, Arrival, random_for
from cypresspulley.rehearsal.scenario import Scenario

ACCOUNT = re.compile(r"[0-9a-f]{16}")
MOST_ACCOUNT = 2**33
SHIFT = 1.0  # seconds by which a copy of an account asks later than the original, at most


@dataclass(frozen=True, slots=True)
class ReplayOptions:
    """How captured load is changed. ``start`` and ``end`` are seconds from the capture's first entry."""

    speed: float = 1.0
    account_copies: int = 1  # each account becomes so many that ask alike
    start: float = 0.0
    end: float = float("inf")
    clients_retry: bool = False  # scripted clients retry by themselves: the captured retries stay out


def account_number(account: str, copy: int = 0) -> str:
    """An account in the protocol's form: itself if it has it, else a number made of its name."""
    if copy == 0 and ACCOUNT.fullmatch(account) and int(account, 16) < MOST_ACCOUNT:
        return account
    digest = blake2b(f"{account}/{copy}".encode(), digest_size=8).digest()
    return f"{int.from_bytes(digest, 'big') % MOST_ACCOUNT:016x}"


def select_window(entries: list[Entry], replay_options: ReplayOptions) -> list[tuple[int, Entry]]:
    """Entries of the wanted stretch with their places. A retry whose first try lies outside is a first try."""
    if not entries:
        return []
    origin = entries[0].t
    return [
        (n, e) for n, e in enumerate(entries) if replay_options.start <= e.t - origin < replay_options.end
    ]


def build_arrivals(
    entries: list[Entry], scenario: Scenario, replay_options: ReplayOptions, seed: int
) -> list[Arrival]:
    """Arrivals in order of time; entries are in order, with their retries marked."""
    _check_names(entries, scenario)
    chosen = select_window(entries, replay_options)
    if not chosen:
        raise CaptureError("no captured request lies between --from and --to")
    inside, origin = {place for place, _ in chosen}, chosen[0][1].t
    rows = list[tuple[float, int, int, Entry, int]]()  # time, copy, place, entry, place of the first try
    for place, entry in chosen:
        first = entry.repeats if entry.repeats in inside else -1
        if first >= 0 and replay_options.clients_retry:
            continue
        for copy in range(replay_options.account_copies):
            later = random_for(seed, "copy", entry.account, copy).uniform(0, SHIFT) if copy else 0.0
            rows.append(((entry.t - origin + later) / replay_options.speed, copy, place, entry, first))
    if len(rows) > MAX_ARRIVALS:
        raise CaptureError(f"{len(rows)} requests; expected at most {MAX_ARRIVALS}: choose --from and --to")
    rows.sort(key=lambda row: (row[0], row[1], row[2]))
    numbers = {(place, copy): n for n, (_, copy, place, _, _) in enumerate(rows)}
    tries = dict[int, int]()
    return [
        _arrival(n, row, numbers, tries, scenario.limiters.count, scenario.load.spread[1])
        for n, row in enumerate(rows)
    ]


def _arrival(
    number: int, row: tuple[float, int, int, Entry, int], numbers: dict[tuple[int, int], int],
    tries: dict[int, int], limiters: int, spread: int,
) -> Arrival:  # fmt: skip
    t, copy, _, entry, first = row
    account = account_number(entry.account, copy)
    repeats = numbers.get((first, copy), -1) if first >= 0 else -1
    if repeats >= 0:
        tries[repeats] = tries.get(repeats, 0) + 1
    place = int(account, 16) % limiters
    return Arrival(
        round(t, 6), number, account, entry.plan, entry.cls, entry.units, place, spread, repeats,
        tries.get(repeats, 0),
    )  # fmt: skip


def _check_names(entries: Iterable[Entry], scenario: Scenario) -> None:
    for what, known, have in (
        ("class", {c.name for c in scenario.classes}, {e.cls for e in entries}),
        ("plan", {p.name for p in scenario.plans}, {e.plan for e in entries}),
    ):
        if strange := sorted(have - known):
            raise CaptureError(
                f"the capture holds {what} {strange[0]!r:.60}, which the scenario does not: expected one of "
                f"{', '.join(sorted(known))} (names can be mapped in a mapping file)"
            )
