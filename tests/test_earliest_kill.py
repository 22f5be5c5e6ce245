"""SIGKILL comes at the longest deadline (3 s at most) and 0.7 s after SIGTERM: what was taken is answered by then."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path
from typing import Any

from cypresspulley.settings import parse_socket_settings
from tests.loopback import Origin, ask, listening, run
from tests.test_program import WIRE_SETTINGS, config, started

GRACE = 0.7
# Seconds after SIGTERM: clients have not heard yet, and go on with what they opened.
OPENED = 0.45
SENT = 0.74


def with_deadline(seconds: float) -> dict[str, Any]:
    return WIRE_SETTINGS | {"classes": [WIRE_SETTINGS["classes"][0] | {"hard_limit_s": seconds}]}


def test_a_request_that_came_late_in_a_drain_is_answered_before_the_earliest_kill(tmp_path: Path) -> None:
    """Its server hangs through the whole of the shutdown."""

    async def main() -> None:
        await asyncio.gather(
            *(drained(deadline, tmp_path / f"{deadline}") for deadline in (0.25, 0.5, 1.0, 3.0))
        )

    run(main())


async def drained(deadline: float, folder: Path) -> None:
    """End a limiter whose classes have this longest deadline, in seconds."""
    folder.mkdir()
    origin = Origin(lambda _n: None)
    raw = config("127.0.0.1:1") | {"settings": with_deadline(deadline)}
    async with listening(origin.talk) as dial:
        raw["known"]["hosts"][0]["dial"] = dial
        async with started(raw, folder) as program:
            program.process.send_signal(signal.SIGTERM)
            told_at = time.monotonic()
            await asyncio.sleep(OPENED)
            reader, writer = await program.connect()
            await asyncio.sleep(told_at + SENT - time.monotonic())
            kill_at = told_at + min(3.0, deadline) + GRACE
            async with asyncio.timeout(kill_at - time.monotonic()):
                if not reader.at_eof():  # it stays open: a request on it is taken
                    writer.write(ask(ttl=int(deadline * 1000)))
                    await origin.got.wait()
                    head = await reader.readuntil(b"\r\n\r\n")
                    assert head.split()[1] in (b"429", b"502", b"503", b"504")
                assert await program.process.wait() == 0


def test_the_longest_deadline_is_the_settings_and_three_seconds_at_most() -> None:
    for limits, longest in (((0.25,), 0.25), ((1.0, 2.0), 2.0), ((4.0, 1.0), 3.0), ((), 3.0)):
        row = WIRE_SETTINGS["classes"][0]
        rows = [row | {"name": f"class-{at}", "hard_limit_s": limit} for at, limit in enumerate(limits)]
        timing = parse_socket_settings(WIRE_SETTINGS | {"classes": rows or WIRE_SETTINGS["classes"]})
        assert getattr(timing, "longest_deadline", None) == longest
