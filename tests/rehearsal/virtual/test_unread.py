"""In virtual time a stopped process's connections show the bytes that came meanwhile, as a machine's do.

What was seen: ``fawnseam explore account-flood --first 52 --seeds 1 --seconds 2 --inside 12`` blamed limiter-2 at
1.369 s: "its connection was ended with no answer". The limiter had been stopped, and on waking it closed a connection
that had long been silent. It asks its machine before whether bytes lie unread there (FIONREAD); the kit's network
answered by a descriptor on which nothing ever lay, whatever had come.
"""

from __future__ import annotations

from cypresspulley.explore.examine import examine
from cypresspulley.explore.schedule import draw_scenario, drawable_kinds, scale_down
from cypresspulley.rehearsal.scenario import load_scenario


def test_the_day_that_showed_it_shows_nothing() -> None:
    scenario = load_scenario("account-flood")
    kinds = dict.fromkeys(drawable_kinds(scenario), 1.0)
    assert examine(draw_scenario(scale_down(scenario, 2.0, 12.0), 52, kinds)).failures == ()
