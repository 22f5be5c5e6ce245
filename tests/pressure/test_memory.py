"""A limiter keeps below the memory that its configuration names, whatever its clients hold open."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.loopback import run
from tests.pressure.clients import PRESSURES, hold_open
from tests.pressure.deployment import deployed
from tests.pressure.servers import BEHAVIOURS

CONNECTIONS = 300
SECONDS = 5.0
MEMORY_MB = (64, 192)
COMBINATIONS = {name: (name,) for name in PRESSURES} | {"all": tuple(PRESSURES)}


@pytest.mark.long
@pytest.mark.parametrize("memory", MEMORY_MB)
@pytest.mark.parametrize("names", COMBINATIONS.values(), ids=COMBINATIONS.keys())
def test_clients_that_hold_what_they_can_do_not_bring_it_over_its_memory_limit(
    names: tuple[str, ...], memory: int, tmp_path: Path
) -> None:
    async def main() -> None:
        async with deployed(tmp_path, BEHAVIOURS, memory_mb=memory) as deployment:
            pressures = [
                asyncio.create_task(hold_open(deployment, PRESSURES[name], CONNECTIONS // len(names)))
                for name in names
            ]
            found = await deployment.look_up_for(SECONDS)
            assert deployment.memory_mb("VmHWM") < memory
            assert found.unanswered == 0
            for pressure in pressures:
                pressure.cancel()
            await asyncio.gather(*pressures, return_exceptions=True)

    run(main())
