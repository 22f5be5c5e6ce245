"""Overlapping faults of one kind on one target: the effect starts with the first and ends with the last.

``python -m tests.soak --first 7036 --seeds 1`` falsely reported "told bag-00 0.281 s too much" at 6.98 s, in 5 of 5
runs. The scenario cuts east-hall at 5.92 s for 2.77 s, and again at 6.98 s. The second cut overwrote the start of the
first, so that attempts delayed since then counted as sent at 6.98 s, and the end of the first cut healed the second
one. All other lasting faults ended with the first of two overlapping ones as well.
"""

from __future__ import annotations

import pytest

from cypresspulley.rehearsal.overlapping_faults import OverlappingFaults, Value
from cypresspulley.rehearsal.play import LoopbackNetwork
from cypresspulley.rehearsal.standins.network import Link
from tests.rehearsal.small import small


def test_a_cut_inside_another_neither_begins_it_anew_nor_ends_it() -> None:
    link = Link("limiter-1")
    link.cut(1.0)
    link.cut(2.0)
    assert link.cut_at == 1.0
    link.heal()
    assert link.is_cut, "the second one lasts"
    link.heal()
    assert not link.is_cut
    link.cut(5.0)
    assert link.is_cut and link.cut_at == 5.0


def test_cuts_of_both_halls_of_a_way_are_two() -> None:
    net = LoopbackNetwork(small(), "127.1")
    link = net.link("limiter-1", "east", "west")
    net.cut("east", True, 1.0)
    net.cut("west", True, 2.0)
    net.cut("east", False, 3.0)
    assert link.is_cut and link.cut_at == 1.0
    net.cut("west", False, 4.0)
    assert not link.is_cut


def test_of_spells_that_overlap_the_latest_one_that_lasts_is_in_force() -> None:
    faults, seen = OverlappingFaults(), list[Value]()
    faults.begin("server-slow", "s", 0.1, seen.append)
    faults.begin("server-slow", "s", 0.3, seen.append)
    faults.begin("server-slow", "other", 0.2, lambda _: None)
    faults.end("server-slow", "s", 0.1, seen.append)
    assert seen == [0.1, 0.3], "the second one lasts"
    faults.begin("server-slow", "s", 0.2, seen.append)
    faults.end("server-slow", "s", 0.2, seen.append)
    faults.end("server-slow", "s", 0.3, seen.append)
    assert seen == [0.1, 0.3, 0.2, 0.3, 0.0]


def test_a_spell_of_on_and_off_is_switched_once_each_way() -> None:
    faults, seen = OverlappingFaults(), list[Value]()
    for _ in range(3):
        faults.begin("server-hang", "s", True, seen.append)
    for _ in range(3):
        faults.end("server-hang", "s", True, seen.append)
    assert seen == [True, False]
    with pytest.raises(ValueError):
        faults.end("server-hang", "s", True, seen.append)
