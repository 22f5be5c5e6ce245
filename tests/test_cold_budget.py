"""What 200 limiters together send to a server that has just started, compared with what overloads it."""

from __future__ import annotations

import pytest

from tests.cold_start import ColdStartSimulation


@pytest.mark.parametrize(
    "simulation",
    [
        ColdStartSimulation(1),
        ColdStartSimulation(2, is_even=True),
        ColdStartSimulation(3, server_rate=12.0),
        ColdStartSimulation(4, fresh_share=0.7),
        ColdStartSimulation(5, notice_ages=(0.0, 0.0), gap_and_burst=(2.0, 3.0, 5.0)),
    ],
    ids=["uneven", "even", "thin", "restarted", "silent, then a burst"],
)
def test_two_hundred_limiters_keep_a_cold_server_as_busy_as_the_others_and_never_push_it_over(
    simulation: ColdStartSimulation,
) -> None:
    simulation.run()
    assert simulation.worst_window() < 1.0
    assert simulation.used_share() > 0.7
