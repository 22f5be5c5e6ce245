"""One day of the soak, played and judged in a process of its own."""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path
from tempfile import TemporaryDirectory

import uvloop

from cypresspulley.rehearsal.limiters import HarnessError
from cypresspulley.rehearsal.play import play
from tests.soak.draw import scenario
from tests.soak.judge import Result, judged
from tests.soak.processor import FOLDER

LIMITER = [sys.executable, "-m", "tests.soak.limiter"]
CROWDED = 3  # every third seed has a crowd of idle clients


def play_seed(seed: int, mutant: str) -> Result:
    """A day and its verdict; a void one is played twice."""
    result = uvloop.run(_play(seed, mutant))
    return uvloop.run(_play(seed, mutant)) if result.void and not result.finds else result


async def _play(seed: int, mutant: str) -> Result:
    os.environ |= {"SOAK_SEED": str(seed), "SOAK_BEGAN": repr(time.time())}
    os.environ["SOAK_CROWD"] = "1" if seed % CROWDED == 0 else ""
    os.environ["SOAK_MUTANT"] = mutant
    day = scenario(seed)
    with TemporaryDirectory() as folder:
        os.environ[FOLDER] = folder
        try:
            return judged(seed, await play(day, seed, command=LIMITER), Path(folder))
        except HarnessError as error:
            return Result(seed, 0, 0, (), str(error))
