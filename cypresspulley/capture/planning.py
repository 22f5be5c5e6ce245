"""The day of a capture: files read and merged, and the plan of a scenario whose load they are."""

from __future__ import annotations

import math
from dataclasses import dataclass

from cypresspulley.capture.arrivals import ReplayOptions, build_arrivals
from cypresspulley.capture.load import LoadedCaptures, load_captures
from cypresspulley.capture.mapping import load_mapping
from cypresspulley.capture.model import Entry
from cypresspulley.capture.retries import MAX_RETRY_GAP_S, mark_retries
from cypresspulley.capture.skew import Clock, merge_sources
from cypresspulley.rehearsal.plan import Plan, draw
from cypresspulley.rehearsal.scenario import Scenario


@dataclass(frozen=True, slots=True)
class CaptureInput:
    """Which files are read, and how."""

    files: tuple[str, ...]
    kind: str = "auto"
    notation: str = ""
    mapping: str | None = None
    strict: bool = False
    max_retry_gap: float = MAX_RETRY_GAP_S


def read_captures(what: CaptureInput) -> tuple[list[Entry], LoadedCaptures, list[Clock]]:
    """Files to merged entries in order of time, with their retries marked."""
    loaded = load_captures(what.files, load_mapping(what.mapping), what.kind, what.notation, what.strict)
    entries, clocks = merge_sources(loaded.sources)
    mark_retries(entries, what.max_retry_gap)
    return entries, loaded, clocks


def captured_scenario(base: Scenario, arrivals_end: float, clients: bool) -> Scenario:
    """A scenario whose load is the capture's: as long as it, its clients retrying only if they are to."""
    seconds = min(600.0, max(1.0, math.ceil(arrivals_end + 0.001)))
    options = base.clients if clients else base.clients.model_copy(update={"retries": 0})
    faults = tuple(f for f in base.faults if f.at < seconds)
    return base.model_copy(update={"seconds": seconds, "clients": options, "faults": faults})


def plan_captured_load(scenario: Scenario, seed: int) -> tuple[Scenario, Plan]:
    """The plan of a scenario whose load names a capture; ``CaptureError`` where that cannot be used."""
    wish = scenario.load
    assert wish.capture is not None
    entries, _, _ = read_captures(CaptureInput((wish.capture,), mapping=wish.mapping))
    replay_options = ReplayOptions(wish.speed, wish.stretch_accounts, clients_retry=wish.scripted_clients)
    return build_plan(entries, scenario, replay_options, seed)


def build_plan(
    entries: list[Entry], scenario: Scenario, replay_options: ReplayOptions, seed: int
) -> tuple[Scenario, Plan]:
    arrivals = build_arrivals(entries, scenario, replay_options, seed)
    made = captured_scenario(scenario, arrivals[-1].t, replay_options.clients_retry)
    return made, draw(made, seed, tuple(arrivals))
