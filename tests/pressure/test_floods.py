"""One client at full speed neither delays the others nor fills memory or log."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.loopback import run
from tests.pressure.deployment import deployed
from tests.pressure.floods import FLOODS, ask_for_new_accounts, send_at_full_speed

SECONDS = 3.0
MAX_LOOKUP_SECONDS = 0.5
MAX_GROWTH_MB = 8.0
MAX_LOG_BYTES_PER_SECOND = 100_000
MEMORY_MB = 64


@pytest.mark.long
@pytest.mark.parametrize("name", FLOODS)
def test_a_flood_on_one_connection_delays_nobody_and_leaves_nothing(name: str, tmp_path: Path) -> None:
    async def main() -> None:
        async with deployed(tmp_path, memory_mb=MEMORY_MB) as deployment:
            at_rest = deployment.memory_mb()
            flood = asyncio.to_thread(send_at_full_speed, deployment.address, FLOODS[name], SECONDS)
            _, found = await asyncio.gather(flood, deployment.look_up_for(SECONDS))
            assert found.unanswered == 0 and found.slowest < MAX_LOOKUP_SECONDS
            assert deployment.memory_mb("VmHWM") - at_rest < MAX_GROWTH_MB
            assert deployment.log.stat().st_size < SECONDS * MAX_LOG_BYTES_PER_SECOND

    run(main())


def test_ever_new_accounts_do_not_fill_the_memory(tmp_path: Path) -> None:
    async def main() -> None:
        async with deployed(tmp_path, memory_mb=MEMORY_MB) as deployment:
            count = await asyncio.to_thread(ask_for_new_accounts, deployment.address, SECONDS)
            assert count > 1000
            assert deployment.memory_mb("VmHWM") < MEMORY_MB

    run(main())
