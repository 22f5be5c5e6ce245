"""The project's own writer of a plan book, started as an operator does, and calls to it."""

from __future__ import annotations

import asyncio
from pathlib import Path

import rig

TOKEN = "review"
PLANS = ".venv-dev/bin/fawnseam plans"
# The figures of ``business`` in the settings of rig.py, as the book's terms.
TERMS = "--rate 2.7 --burst 16 --ceiling-rate 4.8 --ceiling-burst 28"


class Book:
    """A writer that serves, and the operators' file of limiters that follow it."""

    def __init__(self, record: rig.Record, processes: rig.Processes) -> None:
        self._record, self._processes = record, processes
        self.port = rig.free_port()
        self.operators: Path = processes.folder / "operators.toml"

    async def start(self) -> None:
        """Start the writer, put the plan ``business`` into the book, and wait until it is in force."""
        folder = self._processes.folder / "book"
        await self._processes.start(
            "writer",
            f"exec {PLANS} serve {folder} --installation vadodara --listen {rig.HOST}:{self.port}",
            FAWNSEAM_PLANS_TOKEN=TOKEN,
        )
        self.operators.write_text(
            f'[plans]\nwriter = "{rig.HOST}:{self.port}"\ninstallation = "vadodara"\n', encoding="utf-8"
        )
        for _ in range(200):
            try:
                _, writer = await asyncio.open_connection(rig.HOST, self.port)
                writer.close()
                break
            except OSError:
                await asyncio.sleep(0.05)
        await self.call("change", f"--plan business {TERMS} --effective +0.3")
        await asyncio.sleep(0.6)

    async def call(self, name: str, rest: str) -> None:
        """Make one operator's call. Raise CannotRunError if it is refused."""
        process = await self._processes.start(
            f"call-{name}",
            f"exec {PLANS} {name} {rest} --to {rig.HOST}:{self.port} --author meera",
            FAWNSEAM_PLANS_TOKEN=TOKEN,
        )
        if await process.wait() != 0:
            raise rig.CannotRunError(f"plans {name} {rest}: {self._processes.log_of(f'call-{name}')}")
        self._record.put(f"plans {name} {rest}")
