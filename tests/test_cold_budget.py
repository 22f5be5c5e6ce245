"""What 200 limiters together send to a server that has just started, against the figure at which it falls."""

from __future__ import annotations

import pytest

from tests.cold_start import Day


@pytest.mark.parametrize(
    "day",
    [
        Day(1),
        Day(2, even=True),
        Day(3, able=12.0),
        Day(4, fresh=0.7),
        Day(5, told=(0.0, 0.0), wave=(2.0, 3.0, 5.0)),
    ],
    ids=["uneven", "even", "thin", "restarted", "silent, then a burst"],
)
def test_two_hundred_limiters_keep_a_cold_server_as_busy_as_the_others_and_never_push_it_over(
    day: Day,
) -> None:
    day.play()
    assert day.worst() < 1.0
    assert day.used() > 0.7
