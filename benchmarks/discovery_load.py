"""Counts the calls of a restarted fleet to discovery during an outage and after it, in virtual time.

    python -m benchmarks.discovery_load [--limiters 230] [--beside CHECKOUT] [--json FILE]

All limiters start at one moment without a list. For ``LASTS`` seconds discovery turns all calls away (503), refuses
connections, lets dials hang, or accepts calls without a response. Then it is back, as described on the bench's page:
one service that would need ``ALL_IN`` seconds for a call of each limiter, one after another, and that turns away (503)
what it could not answer within ``TURN`` seconds. A call that its caller has given up is still processed. The page does
not say what a refusal costs; it is played with nothing and with a tenth of a call. Printed are the calls per second
over the last half of the outage, the most calls within 0.1 s and within 1 s after the return, and when half and all of
the limiters had their list. ``--beside`` plays the discovery.py of another checkout as well. A run takes some 60 s.
"""

from __future__ import annotations

import argparse
import asyncio
import importlib.util
import json
import logging
import sys
from bisect import bisect_left
from functools import partial
from pathlib import Path
from random import Random
from types import ModuleType
from typing import Any

from cypresspulley.net import discovery
from cypresspulley.rehearsal.virtual.loop import VirtualLoop, run_virtual

ADDRESS = ("10.0.0.1", 8500)
LASTS, WITHIN = 20.0, 90.0  # seconds of the outage, and at most after it
ALL_IN, TURN = 8.0, 2.0
TROUBLES = ("503", "refused", "hangs", "mute")
BUSY_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
TEXT = b'{"seq":43,"whole":true,"hosts":[]}\n'
ANSWER = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(TEXT), TEXT)
HEARTBEAT_CHUNK = b"1\r\n\n\r\n"


class Service:
    """Discovery for all limiters: one queue of calls, processed in order."""

    def __init__(self, loop: VirtualLoop, trouble: str, call: float, refusal: float) -> None:
        """``call`` and ``refusal`` are the processing times of a call and of a refusal, in seconds."""
        self._loop, self._trouble, self._call, self._refusal = loop, trouble, call, refusal
        self._free_at = 0.0  # when all accepted calls have been processed
        self.calls = list[float]()

    def __repr__(self) -> str:
        return f"<Service {self._trouble}, {len(self.calls)} calls>"

    @property
    def up(self) -> bool:
        return self._loop.time() >= LASTS

    async def listen(self) -> None:
        connect = self._loop.network.connect

        async def dial(factory: Any, host: str, port: int, source: str = "127.0.0.1") -> Any:
            self.calls.append(self._loop.time())
            if not self.up and self._trouble == "refused":
                raise ConnectionRefusedError(111, "refused")
            if not self.up and self._trouble == "hangs":
                await self._loop.create_future()
            return await connect(factory, host, port, source)

        self._loop.network.connect = dial  # type: ignore[method-assign]
        await self._loop.create_server(lambda: _Call(self), *ADDRESS)

    def receive_request(self, call: _Call) -> None:
        now = self._loop.time()
        if not self.up:
            return call.send(BUSY_RESPONSE) if self._trouble == "503" else None
        starts_at = max(now, self._free_at)
        if starts_at + self._call - now > TURN:
            self._free_at = starts_at + self._refusal
            return call.send(BUSY_RESPONSE)
        self._free_at = starts_at + self._call
        self._loop.call_at(self._free_at, call.follow)
        return None


class _Call(asyncio.Protocol):
    def __init__(self, service: Service) -> None:
        self._service, self._transport = service, None
        self._loop, self._data = asyncio.get_running_loop(), b""

    def __repr__(self) -> str:
        return "<_Call>"

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None

    def data_received(self, data: bytes) -> None:
        self._data += data
        if self._data.endswith(b"\r\n\r\n"):
            self._data = b""
            self._service.receive_request(self)

    def send(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)

    def follow(self) -> None:
        self.send(ANSWER)
        self._loop.call_later(2.0, self._send_heartbeat)

    def _send_heartbeat(self) -> None:
        if self._transport is not None:
            self.send(HEARTBEAT_CHUNK)
            self._loop.call_later(2.0, self._send_heartbeat)


async def play(
    loop: VirtualLoop, module: ModuleType, limiters: int, trouble: str, refusal: float
) -> dict[str, float]:
    """Play one combination and return a row of the table."""
    call = ALL_IN / limiters
    service, first_list_at, done = (
        Service(loop, trouble, call, refusal * call),
        dict[int, float](),
        asyncio.Event(),
    )
    await service.listen()

    def on_listing(limiter: int, _listing: Any) -> None:
        first_list_at.setdefault(limiter, loop.time() - LASTS)
        if len(first_list_at) == limiters:
            done.set()

    followers = [
        module.Discovery(*ADDRESS, 41, partial(on_listing, limiter), Random(limiter).random)
        for limiter in range(limiters)
    ]
    tasks = [loop.create_task(follower.follow()) for follower in followers]
    try:
        async with asyncio.timeout(LASTS + WITHIN):
            await done.wait()
    except TimeoutError:
        pass
    for task in tasks:
        task.cancel()
    calls = sorted(service.calls)
    calls_after_return = [at for at in calls if at >= LASTS]
    times = sorted(first_list_at.values()) + [float("inf")] * (limiters - len(first_list_at))

    def peak_calls(seconds: float) -> int:
        return max(
            (
                bisect_left(calls_after_return, at + seconds) - place
                for place, at in enumerate(calls_after_return)
            ),
            default=0,
        )

    before = bisect_left(calls, LASTS) - bisect_left(calls, LASTS / 2)
    return {
        "calls_per_s": before / (LASTS / 2), "most_in_0.1_s": peak_calls(0.1), "most_in_1_s": peak_calls(1.0),
        "calls_after": len(calls_after_return), "half_read_s": times[limiters // 2], "all_read_s": times[-1],
    }  # fmt: skip


def load_discovery(checkout: str) -> ModuleType:
    """Load the discovery module of another checkout."""
    spec = importlib.util.spec_from_file_location(
        "other_discovery", Path(checkout) / "cypresspulley/net/discovery.py"
    )
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules["other_discovery"] = module
    spec.loader.exec_module(module)
    return module


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--limiters", type=int, default=230)
    parser.add_argument("--beside", help="another checkout")
    parser.add_argument("--json", help="a file for the figures")
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    modules = {"this": discovery} | ({"other": load_discovery(options.beside)} if options.beside else {})
    rows = []
    for refusal in (0.0, 0.1):
        for trouble in TROUBLES:
            for name, module in modules.items():
                row = run_virtual(
                    partial(play, module=module, limiters=options.limiters, trouble=trouble, refusal=refusal),
                    1,
                )
                rows.append({"code": name, "trouble": trouble, "refusal": refusal} | row)
                print(
                    name, trouble, refusal, {key: round(value, 2) for key, value in row.items()}, flush=True
                )
    if options.json:
        Path(options.json).write_text(json.dumps(rows, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
