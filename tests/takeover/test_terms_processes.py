"""Terms that change while there are two processes of one limiter: real processes, and a plan book's writer.

Tries are counted where servers get them, against one bucket by the terms in force at each instant.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from cypresspulley.plans.book import Terms
from cypresspulley.plans.bucket_level import BucketLevel
from cypresspulley.plans.plan_writer import PlanWriter
from cypresspulley.plans.serve import Publisher, unix_ms
from cypresspulley.plans.store import Store
from tests.loopback import OK, ask, listening, read_message, run
from tests.plans.disk import Disk
from tests.ports import free_port
from tests.test_program import Program, call_operators, config, started

ACCOUNT = "00000000b4d65521"
BEFORE, HALVED, RAISED = (
    Terms(rate, burst, rate, burst) for rate, burst in ((6.0, 8.0), (3.0, 4.0), (12.0, 16.0))
)
HEARD_SECONDS = 0.3  # until both processes have heard of a change, and a process of another's end
SLACK_UNITS = 2.0  # a tenth of the burst, one request at least, and as much for what was on its way
PRESS_INTERVAL_SECONDS = 0.05
REQUESTS_AT_ONCE = 3


class Reference:
    """The account's ceiling as one process would keep it; a server's arrivals draw on it."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._bucket = BucketLevel(
            BEFORE.ceiling_burst, self._loop.time(), BEFORE.ceiling_rate, BEFORE.ceiling_burst
        )
        self.lowest, self.drawn = BEFORE.ceiling_burst, 0

    def apply(self, terms: Terms) -> None:
        self._bucket = self._bucket.with_limits(self._loop.time(), terms.ceiling_rate, terms.ceiling_burst)

    def draw(self) -> None:
        self._bucket = self._bucket.refilled_until(self._loop.time()).with_units_drawn(1.0)
        self.lowest, self.drawn = min(self.lowest, self._bucket.units), self.drawn + 1


class Deployment:
    """A writer, a server, and the processes of one limiter."""

    def __init__(
        self, folder: Path, dial: str, writer: PlanWriter, address: str, reference: Reference
    ) -> None:
        self._folder, self._dial, self.writer, self.reference = folder, dial, writer, reference
        self._operators = folder / "operators.toml"
        self._operators.write_text(f'[plans]\nwriter = "{address}"\ninstallation = "vadodara"\n')
        self._listen = f"127.0.0.1:{free_port()}"

    @asynccontextmanager
    async def process(self) -> AsyncIterator[Program]:
        """Start a process and yield it once it says yes."""
        door = f"127.0.0.1:{free_port()}"
        raw: dict[str, Any] = config(self._dial) | {"listen": self._listen, "operator": door}
        async with started(raw, self._folder, "--operators", str(self._operators)) as program:
            while await call_operators(door, "GET", "/v1/readyz") != 200:
                await asyncio.sleep(0.01)
            yield program

    def set_terms(self, plan: str, terms: Terms) -> None:
        self.writer.set_terms(plan, terms, unix_ms(), unix_ms(), "meera")

    def assign(self, plan: str) -> None:
        self.writer.assign_plan(ACCOUNT, plan, unix_ms(), unix_ms(), "meera")

    async def press(self, program: Program, seconds: float) -> None:
        """Ask for more than the ceiling gives, each time on a new connection; each request has to be answered."""
        loop, asked = asyncio.get_running_loop(), list[asyncio.Task[str]]()
        until = loop.time() + seconds
        while loop.time() < until:
            asked += [asyncio.create_task(status(program)) for _ in range(REQUESTS_AT_ONCE)]
            await asyncio.sleep(PRESS_INTERVAL_SECONDS)
        assert set(await asyncio.gather(*asked)) <= {"200", "429"}


async def status(program: Program) -> str:
    reader, writer = await program.connect()
    writer.write(ask(X_Quota="units=1,spread=1,first=0"))
    first, _, _ = await read_message(reader)
    writer.close()
    return first.split(" ")[1]


def halve(deployment: Deployment) -> None:
    deployment.set_terms("basic", HALVED)
    deployment.reference.apply(HALVED)


def begin_reservation(deployment: Deployment) -> None:
    deployment.set_terms("basic+wedding", RAISED)
    deployment.assign("basic+wedding")
    deployment.reference.apply(RAISED)


def put_in_a_plan(deployment: Deployment) -> None:
    deployment.set_terms("unheard of", HALVED)
    deployment.assign("unheard of")
    deployment.reference.apply(HALVED)


def end_reservation(deployment: Deployment) -> None:
    deployment.assign("basic")


async def kill(program: Program) -> None:
    program.process.kill()


async def stop_and_kill(program: Program) -> None:
    program.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(3.0)
    program.process.kill()


async def terminate(program: Program) -> None:
    program.process.terminate()
    await program.process.wait()


@asynccontextmanager
async def deployed(folder: Path, has_reservation: bool) -> AsyncIterator[Deployment]:
    plan_writer = PlanWriter(Store(Disk()), "vadodara")
    publisher = Publisher(plan_writer, "t", heartbeat_s=0.05)
    host, port = await publisher.listen("127.0.0.1", 0)
    reference = Reference()

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await read_message(reader)
            reference.draw()
            writer.write(OK)

    async with listening(talk) as dial:
        deployment = Deployment(folder, dial, plan_writer, f"{host}:{port}", reference)
        deployment.set_terms("basic", BEFORE)
        if has_reservation:
            deployment.set_terms("basic+wedding", BEFORE)
            deployment.assign("basic+wedding")
        yield deployment
    await publisher.close()


@pytest.mark.long
@pytest.mark.parametrize("end", [kill, terminate, stop_and_kill])
@pytest.mark.parametrize("change", [begin_reservation, put_in_a_plan, halve, end_reservation])
def test_tries_stay_within_the_terms_in_force_and_the_next_upgrade_is_served(
    change: Callable[[Deployment], None],
    end: Callable[[Program], Any],
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an upgrade that fails after a change: nothing accepted again, or tries by the terms of before."""
    monkeypatch.setenv("FAWNSEAM_PLANS_TOKEN", "t")
    monkeypatch.setenv("TMPDIR", str(tmp_path))

    async def main() -> None:
        async with (
            deployed(tmp_path, has_reservation=change is end_reservation) as deployment,
            deployment.process() as old,
        ):
            await asyncio.sleep(HEARD_SECONDS)
            await deployment.press(old, 0.6)
            async with deployment.process() as new:
                change(deployment)
                await asyncio.sleep(HEARD_SECONDS)
                await deployment.press(new, 0.6)
                await end(new)
            await asyncio.sleep(HEARD_SECONDS)
            before = deployment.reference.drawn
            await deployment.press(old, 2.0)
            assert deployment.reference.drawn - before >= 3, "the old process serves on"
            async with deployment.process() as third:
                await terminate(old)
                await deployment.press(third, 0.6)
                assert deployment.reference.lowest >= -SLACK_UNITS

    run(main())
