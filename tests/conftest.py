"""How the tests share a machine: those that hold clocks against each other stand in one row, the others give way.

With ``pytest -n N --dist loadgroup`` all tests marked ``timed`` run on one worker, one after the other. They play days
on sockets, and the kit voids a run in which it was late itself. Every other test lowers its worker's priority before
it begins, so that the timed ones, and the limiters that these start, find a processor whatever else runs. The groups
and the longest tests begin first: nothing long is left for the end.
"""

from __future__ import annotations

import os

import pytest
from hypothesis import HealthCheck, settings

GIVE_WAY = 5  # steps of niceness by which workers of other tests stand behind

# The same examples each time, and no verdict by the clock: how long one takes is other work's doing as well.
settings.register_profile(
    "here", derandomize=True, deadline=None, suppress_health_check=[HealthCheck.too_slow]
)
settings.load_profile("here")

_priority = {"lowered": False}


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    for item in items:
        if item.get_closest_marker("timed"):
            item.add_marker(pytest.mark.xdist_group("timed"))
    items.sort(key=_place)


def _place(item: pytest.Item) -> int:
    """First the timed ones, then the long ones, then all others as they were found."""
    return 0 if item.get_closest_marker("timed") else 1 if item.get_closest_marker("long") else 2


def pytest_runtest_setup(item: pytest.Item) -> None:
    """Give way to the timed tests; a priority once lowered stays so, and they have their own worker."""
    if (
        "PYTEST_XDIST_WORKER" in os.environ
        and not item.get_closest_marker("timed")
        and not _priority["lowered"]
    ):
        os.nice(GIVE_WAY)
        _priority["lowered"] = True
