"""In virtual time the connections of a stopped process report bytes that arrived meanwhile, as a kernel does.

``fawnseam explore account-flood --first 52 --seeds 1 --seconds 2 --inside 12`` blamed limiter-2 at 1.369 s: "its
connection was ended with no answer". The limiter had been stopped and on resuming closed an idle connection. Before
that it asks for unread bytes (FIONREAD), and the virtual network answered with a descriptor that never had any.
"""

from __future__ import annotations

from cypresspulley.explore.examine import examine
from cypresspulley.explore.schedule import draw_scenario, drawable_kinds, scale_down
from cypresspulley.rehearsal.scenario import load_scenario


def test_the_day_that_showed_it_shows_nothing() -> None:
    scenario = load_scenario("account-flood")
    kinds = dict.fromkeys(drawable_kinds(scenario), 1.0)
    assert examine(draw_scenario(scale_down(scenario, 2.0, 12.0), 52, kinds)).failures == ()
