"""Faults of one kind on one target that overlap: the last one that ends ends it, and nothing began later than it did.

What was seen: ``python -m tests.soak --first 7036 --seeds 1`` blamed a limiter, five times of five at 6.98 s: "told
bag-00 0.281 s too much". The day cuts east-hall at 5.92 s for 2.77 s, and again at 6.98 s. The second cut overwrote
the instant since when what a cut holds back may have been under way: attempts of the time before were taken for sent
at 6.98 s. And the end of the first cut healed the second one.
"""

from __future__ import annotations

from cypresspulley.rehearsal.standins.network import Link


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
