"""Runs a limiter with failing system calls and a stepping wall clock, as drawn from SOAK_SEED.

    python -m tests.soak.limiter

SOAK_CROWD also starts a process that holds idle connections to it; SOAK_MUTANT may name a fault of the limiter that the
soak test has to find. LB_CONFIG is read as usual.
"""

from __future__ import annotations

import errno
import json
import os
import resource
import socket
import subprocess
import sys
import threading
import time
from contextlib import ExitStack
from pathlib import Path
from random import Random
from typing import Any

from cypresspulley.__main__ import main
from tests.soak.mutants import MUTANTS
from tests.soak.processor import start_wait_writer

ACCEPT_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.ECONNABORTED, errno.EPROTO)
ACCEPT_FAILURE_SHARE = 0.05  # of all calls of accept
CLOCK_STEPS_SECONDS = (0.0, 5.0, -5.0, 3600.0, -3600.0)
# After the first limiter's start. All limiters step at the same time, as machines with a common time source do.
CLOCK_STEP_DELAY_SECONDS = (1.0, 6.0)


def fail_accept(rng: Random) -> None:
    accept = socket.socket.accept

    def failing(listener: socket.socket) -> tuple[socket.socket, Any]:
        if rng.random() < ACCEPT_FAILURE_SHARE:
            number = rng.choice(ACCEPT_ERRORS)
            raise OSError(number, os.strerror(number))
        return accept(listener)

    socket.socket.accept = failing  # type: ignore[method-assign, assignment]


def step_clock(seed: int, started_at: float) -> None:
    """Steps the wall clock once, by the same amount and at the same time in all limiters."""
    rng, now = Random(seed), time.time
    step, at = rng.choice(CLOCK_STEPS_SECONDS), started_at + rng.uniform(*CLOCK_STEP_DELAY_SECONDS)
    time.time = lambda: now() + (step if now() >= at else 0.0)


def run_out_of_descriptors(rng: Random) -> None:
    """Repeatedly leaves no free file descriptor for a short time."""
    before = resource.getrlimit(resource.RLIMIT_NOFILE)
    while True:
        time.sleep(rng.uniform(1.0, 4.0))
        taken = {int(path.name) for path in Path("/proc/self/fd").iterdir()}
        free = min(set(range(len(taken) + 1)) - taken)
        resource.setrlimit(resource.RLIMIT_NOFILE, (free, before[1]))
        time.sleep(rng.uniform(0.02, 0.2))
        resource.setrlimit(resource.RLIMIT_NOFILE, before)


def listening_address() -> str:
    """Returns the configured address for clients."""
    return str(json.loads(Path(os.environ["LB_CONFIG"]).read_text())["listen"])


def run() -> int:
    seed, started_at = int(os.environ["SOAK_SEED"]), float(os.environ["SOAK_BEGAN"])
    name = os.environ.get("LB_NAME", "")
    rng = Random(f"{seed} {name}")
    start_wait_writer(name, time.time)
    step_clock(seed, started_at)
    fail_accept(rng)
    if seed % 2:
        threading.Thread(target=run_out_of_descriptors, args=(rng,), daemon=True).start()
    if os.environ.get("SOAK_CROWD"):
        subprocess.Popen([sys.executable, "-m", "tests.soak.crowd", listening_address(), str(seed)])
    with ExitStack() as stack:
        if mutant := os.environ.get("SOAK_MUTANT"):
            stack.enter_context(MUTANTS[mutant]())
        return main(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(run())
