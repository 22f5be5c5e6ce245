"""Accepted requests are answered before SIGKILL, sent 0.7 s + the longest deadline (at most 3 s) after SIGTERM."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path
from typing import Any

from cypresspulley.settings import parse_socket_settings
from tests.loopback import Origin, ask, listening, run
from tests.test_program import WIRE_SETTINGS, config, started

KILL_GRACE_SECONDS = 0.7  # seconds from the longest deadline to SIGKILL
# Seconds after SIGTERM at which a client that has not noticed the shutdown connects and sends its request.
CONNECT_AT = 0.45
SEND_AT = 0.74


def with_deadline(seconds: float) -> dict[str, Any]:
    return WIRE_SETTINGS | {"classes": [WIRE_SETTINGS["classes"][0] | {"hard_limit_s": seconds}]}


def test_a_request_that_came_late_in_a_drain_is_answered_before_the_earliest_kill(tmp_path: Path) -> None:
    """Guards against a request whose server hangs during the whole shutdown, so that it gets no response."""

    async def main() -> None:
        await asyncio.gather(
            *(shut_down(deadline, tmp_path / f"{deadline}") for deadline in (0.25, 0.5, 1.0, 3.0))
        )

    run(main())


async def shut_down(deadline: float, folder: Path) -> None:
    """Shut down a limiter whose request class has this deadline in seconds."""
    folder.mkdir()
    origin = Origin(lambda _n: None)
    raw = config("127.0.0.1:1") | {"settings": with_deadline(deadline)}
    async with listening(origin.talk) as dial:
        raw["known"]["hosts"][0]["dial"] = dial
        async with started(raw, folder) as program:
            program.process.send_signal(signal.SIGTERM)
            terminated_at = time.monotonic()
            await asyncio.sleep(CONNECT_AT)
            reader, writer = await program.connect()
            await asyncio.sleep(terminated_at + SEND_AT - time.monotonic())
            kill_at = terminated_at + min(3.0, deadline) + KILL_GRACE_SECONDS
            async with asyncio.timeout(kill_at - time.monotonic()):
                if not reader.at_eof():  # the connection is open: a request on it is accepted
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
