"""Converts captured entries to arrivals with original or scaled timing, with or without retries. Does no I/O."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

from cypresspulley.capture.model import CaptureError, Entry
from cypresspulley.rehearsal.plan import MAX_ARRIVALS, Arrival, random_for
from cypresspulley.rehearsal.scenario import Scenario

ACCOUNT_PATTERN = re.compile(r"[0-9a-f]{16}")
ACCOUNT_NUMBER_LIMIT = 2**33
MAX_COPY_DELAY_S = 1.0  # upper bound of the random delay of a copied account's requests


@dataclass(frozen=True, slots=True)
class ReplayOptions:
    """How a replay changes the captured load. ``start`` and ``end`` are seconds from the capture's first entry."""

    speed: float = 1.0
    account_copies: int = 1  # accounts that replace each captured account, with the same requests
    start: float = 0.0
    end: float = float("inf")
    clients_retry: bool = False  # the scripted clients retry, so the captured retries are omitted


def account_number(account: str, copy: int = 0) -> str:
    """Return the account unchanged if it is a valid account number and not a copy, else a number hashed from it."""
    if copy == 0 and ACCOUNT_PATTERN.fullmatch(account) and int(account, 16) < ACCOUNT_NUMBER_LIMIT:
        return account
    digest = blake2b(f"{account}/{copy}".encode(), digest_size=8).digest()
    return f"{int.from_bytes(digest, 'big') % ACCOUNT_NUMBER_LIMIT:016x}"


def select_window(entries: list[Entry], options: ReplayOptions) -> list[tuple[int, Entry]]:
    """Return the entries between ``start`` and ``end`` with their indexes in the capture."""
    if not entries:
        return []
    first_time = entries[0].t
    return [(n, e) for n, e in enumerate(entries) if options.start <= e.t - first_time < options.end]


def build_arrivals(
    entries: list[Entry], scenario: Scenario, options: ReplayOptions, seed: int
) -> list[Arrival]:
    """Return the arrivals in order of time, from entries that are in order and whose retries are marked.

    A retry whose first attempt lies outside the window becomes a first attempt. Raises ``CaptureError`` for an unknown
    class or plan, an empty window, or more than ``MAX_ARRIVALS`` requests.
    """
    _check_names(entries, scenario)
    chosen = select_window(entries, options)
    if not chosen:
        raise CaptureError("no captured request lies between --from and --to")
    chosen_indexes, first_time = {index for index, _ in chosen}, chosen[0][1].t
    attempts = list[
        tuple[float, int, int, Entry, int]
    ]()  # time, copy, index, entry, index of the first attempt
    for index, entry in chosen:
        first_index = entry.repeats if entry.repeats in chosen_indexes else -1
        if first_index >= 0 and options.clients_retry:
            continue
        for copy in range(options.account_copies):
            delay = (
                random_for(seed, "copy", entry.account, copy).uniform(0, MAX_COPY_DELAY_S) if copy else 0.0
            )
            attempts.append(((entry.t - first_time + delay) / options.speed, copy, index, entry, first_index))
    if len(attempts) > MAX_ARRIVALS:
        raise CaptureError(
            f"{len(attempts)} requests; expected at most {MAX_ARRIVALS}: choose --from and --to"
        )
    attempts.sort(key=lambda attempt: (attempt[0], attempt[1], attempt[2]))
    arrival_numbers = {(index, copy): n for n, (_, copy, index, _, _) in enumerate(attempts)}
    retry_counts = dict[int, int]()
    return [
        _arrival(n, attempt, arrival_numbers, retry_counts, scenario.limiters.count, scenario.load.spread[1])
        for n, attempt in enumerate(attempts)
    ]


def _arrival(
    number: int, attempt: tuple[float, int, int, Entry, int], arrival_numbers: dict[tuple[int, int], int],
    retry_counts: dict[int, int], limiters: int, spread: int,
) -> Arrival:  # fmt: skip
    t, copy, _, entry, first_index = attempt
    account = account_number(entry.account, copy)
    repeats = arrival_numbers.get((first_index, copy), -1) if first_index >= 0 else -1
    if repeats >= 0:
        retry_counts[repeats] = retry_counts.get(repeats, 0) + 1
    limiter_index = int(account, 16) % limiters
    return Arrival(
        round(t, 6), number, account, entry.plan, entry.cls, entry.units, limiter_index, spread, repeats,
        retry_counts.get(repeats, 0),
    )  # fmt: skip


def _check_names(entries: Iterable[Entry], scenario: Scenario) -> None:
    for what, known, used in (
        ("class", {c.name for c in scenario.classes}, {e.cls for e in entries}),
        ("plan", {p.name for p in scenario.plans}, {e.plan for e in entries}),
    ):
        if unknown := sorted(used - known):
            raise CaptureError(
                f"the capture holds {what} {unknown[0]!r:.60}, which the scenario does not: expected one of "
                f"{', '.join(sorted(known))} (names can be mapped in a mapping file)"
            )
