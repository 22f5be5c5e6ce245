"""The admin API over loopback sockets: calls, malformed requests, drains and suspended servers."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from cypresspulley import interface as api
from cypresspulley.lifecycle import Lifecycle
from cypresspulley.net import admin as net_admin
from cypresspulley.net import frontend as net_frontend
from cypresspulley.net.admin import AdminServer, Reply, route
from cypresspulley.policy.gateway import Gateway
from cypresspulley.service import Service
from tests.loopback import OK, SETTINGS, Limiter, Origin, Script, ask, listening, listing, read_message, run

Address = tuple[str, int]


async def call(address: Address, method: str, path: str) -> tuple[int, dict[str, Any]]:
    """Send one request to the admin API, and return the response's status and JSON body."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: door\r\n\r\n".encode())
    first, headers, body = await read_message(reader)
    assert await reader.read() == b"" and headers["connection"] == "close"
    writer.close()
    return int(first.split()[1]), json.loads(body)


@asynccontextmanager
async def admin_server(service: Service) -> AsyncIterator[Address]:
    server = AdminServer(service.call)
    try:
        yield await server.listen("127.0.0.1", 0)
    finally:
        server.close()


class GatewayScript(Script):
    """A script that passes events to a real gateway and records them."""

    def __init__(self) -> None:
        gateway = Gateway(SETTINGS, 1, 0.0)
        super().__init__(lambda event: gateway.handle(0.0, event))
        self.gateway = gateway

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        super().handle(now, api.TimerFired(-1))
        self.events[-1] = event
        return self.gateway.handle(now, event)


@pytest.mark.parametrize(
    ("method", "target", "expected"),
    [
        ("GET", "/v1/readyz", ("readyz", "")),
        ("PUT", "/v1/servers/s-5be2a07c/suspend", ("suspend", "s-5be2a07c")),
        ("PUT", "/v1/servers/a%2Fb/resume", ("resume", "a/b")),
        ("PUT", "/v1/limiter/drain?by=rosa", ("drain", "")),
        ("POST", "/v1/limiter/drain", 405),
        ("PUT", "/v1/readyz", 405),
        ("PUT", "/v1/servers//suspend", 404),
        ("GET", "/", 404),
    ],
)
def test_calls_are_told_by_method_and_path(method: str, target: str, expected: tuple[str, str] | int) -> None:
    found = route(method, target)
    if isinstance(expected, int):
        assert isinstance(found, Reply) and found.status == expected
        assert bool(found.allow) is (expected == 405)
    else:
        assert found == expected


def test_a_starting_process_says_no_and_a_serving_one_yes() -> None:
    async def main() -> None:
        service = Service(Lifecycle())
        async with admin_server(service) as address, Limiter(GatewayScript(), {}) as limiter:
            assert (await call(address, "GET", "/v1/readyz"))[0] == 503
            assert (await call(address, "PUT", "/v1/limiter/drain"))[0] == 503
            service.serve(limiter.node, limiter.frontend)
            assert (await call(address, "GET", "/v1/readyz"))[0] == 200
            service.leave()
            assert (await call(address, "GET", "/v1/readyz"))[0] == 503
            assert (await call(address, "PUT", "/v1/limiter/activate"))[0] == 409

    run(main())


def test_calls_that_are_none_are_told_why() -> None:
    async def main() -> None:
        async with admin_server(Service(Lifecycle())) as address:
            status, body = await call(address, "DELETE", "/v1/limiter/drain")
            assert status == 405 and "PUT" in body["error"]
            status, body = await call(address, "GET", "/v2/readyz")
            assert status == 404 and "/v1/readyz" in body["expected"]
            for garbage, wanted in ((b"\x16\x03\x01hello\r\n\r\n", 400), (b"GET /" + b"x" * 9000, 413)):
                reader, writer = await asyncio.open_connection(*address)
                writer.write(garbage)
                first, _, text = await read_message(reader)
                assert f" {wanted} " in first and json.loads(text)["error"]
                writer.close()

    run(main())


def test_half_calls_and_silence_keep_nobody_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(net_admin, "REQUEST_TIMEOUT_SECONDS", 0.3)
    monkeypatch.setattr(net_admin, "MAX_CONNECTIONS", 20)  # the oldest of the 50 idle connections are evicted

    async def main() -> None:
        service = Service(Lifecycle())
        async with admin_server(service) as address, Limiter(GatewayScript(), {}) as limiter:
            service.serve(limiter.node, limiter.frontend)
            silent = [await asyncio.open_connection(*address) for _ in range(50)]
            for _, writer in silent[::2]:
                writer.write(b"GET /v1/rea")
            assert (await call(address, "GET", "/v1/readyz"))[0] == 200
            # All idle connections are closed by the server, with or without a response.
            for reader, writer in silent:
                try:
                    received = await reader.read()
                except ConnectionResetError:
                    received = b""
                assert received == b"" or b" 408 " in received
                writer.close()

    run(main())


def test_the_door_answers_with_all_client_connections_taken() -> None:
    async def main() -> None:
        service = Service(Lifecycle())
        async with admin_server(service) as address, Limiter(GatewayScript(), {}) as limiter:
            service.serve(limiter.node, limiter.frontend)
            held = [await limiter.connect() for _ in range(80)]  # 64 are accepted
            assert (await call(address, "GET", "/v1/readyz"))[0] == 200
            for _, writer in held:
                writer.close()

    run(main())


def test_a_drain_tells_fronts_no_closes_what_is_idle_and_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(net_frontend, "DRAIN_NOTICE_TIME", 0.1)
    monkeypatch.setattr(net_frontend, "DRAIN_IDLE_TIMEOUT", 0.05)
    monkeypatch.setattr(net_frontend, "SWEEP_INTERVAL", 0.02)

    async def main() -> None:
        service, origin = Service(Lifecycle()), Origin()
        async with (
            listening(origin.talk) as dial,
            admin_server(service) as address,
            Limiter(GatewayScript(), {"s1": dial}) as limiter,
        ):
            service.serve(limiter.node, limiter.frontend)
            health = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
            idle, idle_writer = await limiter.connect()
            busy, busy_writer = await limiter.connect()
            busy_writer.write(ask())
            _, headers, _ = await read_message(busy)
            assert "connection" not in headers
            for _ in range(2):  # a second drain has no effect
                assert (await call(address, "PUT", "/v1/limiter/drain"))[0] == 200
            busy_writer.write(ask())  # a request during the drain is served, and its connection closes
            status, headers, _ = await read_message(busy)
            assert " 200 " in status and headers["connection"] == "close" and await busy.read() == b""
            assert " 503 " in (await limiter.fetch(health))[0]
            assert (await call(address, "GET", "/v1/readyz"))[0] == 503
            assert await idle.read() == b""
            assert (await call(address, "PUT", "/v1/limiter/activate"))[0] == 200
            assert (await call(address, "PUT", "/v1/limiter/activate"))[0] == 200
            assert " 200 " in (await limiter.fetch(health))[0]
            again, again_writer = await limiter.connect()
            again_writer.write(ask())
            _, headers, _ = await read_message(again)
            assert "connection" not in headers
            for writer in (idle_writer, busy_writer, again_writer):
                writer.close()

    run(main())


def test_a_server_that_was_taken_out_gets_nothing_new_until_its_call_back() -> None:
    async def main() -> None:
        service, first, second = Service(Lifecycle()), Origin(), Origin()
        async with (
            listening(first.talk) as one,
            listening(second.talk) as two,
            admin_server(service) as address,
            Limiter(GatewayScript(), {"s1": one, "s2": two}) as limiter,
        ):
            service.serve(limiter.node, limiter.frontend)
            assert (await call(address, "PUT", "/v1/servers/s9/suspend"))[0] == 404
            assert (await call(address, "PUT", "/v1/servers/s9/resume"))[0] == 404
            for _ in range(2):
                assert (await call(address, "PUT", "/v1/servers/s1/suspend"))[0] == 200
            before = len(first.seen)
            for _ in range(12):
                assert " 200 " in (await limiter.fetch(ask()))[0]
            assert len(first.seen) == before and len(second.seen) >= 12
            limiter.node.apply_listing(listing({"s1": one, "s2": two}))  # a suspension outlasts a new list
            assert " 200 " in (await limiter.fetch(ask()))[0] and len(first.seen) == before
            assert (await call(address, "PUT", "/v1/servers/s1/resume"))[0] == 200
            while len(first.seen) == before:
                assert " 200 " in (await limiter.fetch(ask()))[0]

    run(main())


def test_a_server_taken_out_between_pick_and_dial_gets_nothing() -> None:
    async def main() -> None:
        origin = Origin(lambda _n: OK)
        script = Script(
            lambda event: (
                [api.Send(event.id, "s1", event.ttl), api.Ban("s1", True)]
                if isinstance(event, api.Request)
                else [api.Refuse(event.id, 0.2)]
                if isinstance(event, api.Outcome)
                else []
            )
        )
        async with listening(origin.talk) as dial, Limiter(script, {"s1": dial}) as limiter:
            status, _, _ = await limiter.fetch(ask())
            assert " 429 " in status and origin.seen == []
            (outcome,) = await script.until(api.Outcome)
            assert outcome.status is api.Status.NOT_SENT

    run(main())
