"""Plays and judges one seed of the soak test in the current process."""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path
from tempfile import TemporaryDirectory

import uvloop

from cypresspulley.rehearsal.limiters import HarnessError
from cypresspulley.rehearsal.play import play
from tests.soak.draw import draw_scenario
from tests.soak.judge import Result, judge_day
from tests.soak.processor import FOLDER_VARIABLE

LIMITER = [sys.executable, "-m", "tests.soak.limiter"]
CROWD_SEED_DIVISOR = 3  # every third seed has idle connections


def play_seed(seed: int, mutant: str) -> Result:
    """Plays a seed and returns its result. A void play is repeated once."""
    result = uvloop.run(_play(seed, mutant))
    return uvloop.run(_play(seed, mutant)) if result.void and not result.failures else result


async def _play(seed: int, mutant: str) -> Result:
    os.environ |= {"SOAK_SEED": str(seed), "SOAK_BEGAN": repr(time.time())}
    os.environ["SOAK_CROWD"] = "1" if seed % CROWD_SEED_DIVISOR == 0 else ""
    os.environ["SOAK_MUTANT"] = mutant
    day = draw_scenario(seed)
    with TemporaryDirectory() as folder:
        os.environ[FOLDER_VARIABLE] = folder
        try:
            records = await play(day, seed, command=LIMITER)
            return judge_day(seed, records, Path(folder), day.limiters.memory_mb)
        except HarnessError as error:
            return Result(seed, 0, 0, (), str(error))
