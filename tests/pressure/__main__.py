"""Measures one limiter under one or more pressures.

python -m tests.pressure short_fields,tiny_chunks --connections 340 --memory 64 --seconds 6
"""

from __future__ import annotations

import argparse
import asyncio
from pathlib import Path
from tempfile import TemporaryDirectory

import uvloop

from tests.pressure.clients import PRESSURES, hold_open
from tests.pressure.deployment import deployed
from tests.pressure.servers import BEHAVIOURS


async def measure(names: list[str], connections: int, memory: int, sockets: int, seconds: float) -> None:
    """Print memory at rest, at its peak and after, and what became of the well-behaved client's lookups."""
    with TemporaryDirectory() as folder:
        async with deployed(Path(folder), BEHAVIOURS, memory_mb=memory, sockets=sockets) as deployment:
            at_rest = deployment.memory_mb()
            tasks = [
                asyncio.create_task(hold_open(deployment, PRESSURES[name], connections // len(names)))
                for name in names
            ]
            found = await deployment.look_up_for(seconds)
            code = deployment.program.process.returncode
            if code is not None:
                return print(f"{names}: the process ended with {code}")
            peak = deployment.memory_mb("VmHWM")
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await asyncio.sleep(3.0)
            print(
                f"{','.join(names)}: {connections} connections, {memory} MB: at rest {at_rest:.0f}, peak {peak:.0f},"
                f" after {deployment.memory_mb():.0f} MB; lookups served {found.served} of"
                f" {len(found.statuses) + found.unanswered}, unanswered {found.unanswered},"
                f" slowest {found.slowest:.2f} s; log {deployment.log.stat().st_size / 1e6:.2f} MB"
            )


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("pressures")
    parser.add_argument("--connections", type=int, default=340)
    parser.add_argument("--memory", type=int, default=64)
    parser.add_argument("--sockets", type=int, default=1024)
    parser.add_argument("--seconds", type=float, default=6.0)
    options = parser.parse_args()
    names = list(PRESSURES) if options.pressures == "all" else options.pressures.split(",")
    uvloop.run(measure(names, options.connections, options.memory, options.sockets, options.seconds))


if __name__ == "__main__":
    main()
