"""Reads and merges capture files and builds the plan of a scenario that uses them as its load."""

from __future__ import annotations

import math
from dataclasses import dataclass

from cypresspulley.capture.arrivals import ReplayOptions, build_arrivals
from cypresspulley.capture.load import LoadedCaptures, load_captures
from cypresspulley.capture.mapping import load_mapping
from cypresspulley.capture.model import Entry
from cypresspulley.capture.retries import MAX_RETRY_GAP_S, mark_retries
from cypresspulley.capture.skew import Clock, merge_sources
from cypresspulley.rehearsal.plan import Plan, draw_plan
from cypresspulley.rehearsal.scenario import Scenario


@dataclass(frozen=True, slots=True)
class CaptureInput:
    """The capture files to read and the options for reading them."""

    files: tuple[str, ...]
    kind: str = "auto"
    notation: str = ""
    mapping: str | None = None
    strict: bool = False
    max_retry_gap: float = MAX_RETRY_GAP_S


def read_captures(capture_input: CaptureInput) -> tuple[list[Entry], LoadedCaptures, list[Clock]]:
    """Read the files and return their merged entries in order of time, with retries marked."""
    loaded = load_captures(
        capture_input.files,
        load_mapping(capture_input.mapping),
        capture_input.kind,
        capture_input.notation,
        capture_input.strict,
    )
    entries, clocks = merge_sources(loaded.sources)
    mark_retries(entries, capture_input.max_retry_gap)
    return entries, loaded, clocks


def scenario_for_capture(base: Scenario, arrivals_end: float, clients: bool) -> Scenario:
    """Return the scenario with the duration of the capture (1 to 600 seconds) and without later faults.

    Scripted clients retry only if ``clients`` is true.
    """
    seconds = min(600.0, max(1.0, math.ceil(arrivals_end + 0.001)))
    client_options = base.clients if clients else base.clients.model_copy(update={"retries": 0})
    faults = tuple(f for f in base.faults if f.at < seconds)
    return base.model_copy(update={"seconds": seconds, "clients": client_options, "faults": faults})


def plan_captured_load(scenario: Scenario, seed: int) -> tuple[Scenario, Plan]:
    """Build the plan of a scenario whose load names a capture; raises ``CaptureError`` if it cannot be used."""
    load_settings = scenario.load
    assert load_settings.capture is not None
    entries, _, _ = read_captures(CaptureInput((load_settings.capture,), mapping=load_settings.mapping))
    replay_options = ReplayOptions(
        load_settings.speed, load_settings.stretch_accounts, clients_retry=load_settings.scripted_clients
    )
    return build_plan(entries, scenario, replay_options, seed)


def build_plan(
    entries: list[Entry], scenario: Scenario, replay_options: ReplayOptions, seed: int
) -> tuple[Scenario, Plan]:
    arrivals = build_arrivals(entries, scenario, replay_options, seed)
    capture_scenario = scenario_for_capture(scenario, arrivals[-1].t, replay_options.clients_retry)
    return capture_scenario, draw_plan(capture_scenario, seed, tuple(arrivals))
