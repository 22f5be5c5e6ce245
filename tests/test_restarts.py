"""Client connections of a limiter that shuts down: each row of ``lifecycle.SHUTDOWN_ACTIONS`` on real sockets."""

from __future__ import annotations

import asyncio
import socket

import pytest

from cypresspulley import interface as api
from cypresspulley.lifecycle import SHUTDOWN_ACTIONS, ConnectionAction, ConnectionState, ShutdownPhase
from cypresspulley.net import frontend
from tests.loopback import Limiter, Script, ask, forward, listening, read_message, run

POST = "/post?account=00000000b4d65521"
LARGE = 200_000  # bytes; a body of this size is streamed


def refuse(event: api.Event) -> list[api.Action]:
    return [api.Refuse(event.id, 0.25)] if isinstance(event, api.Request) else []


def no_actions(_event: api.Event) -> list[api.Action]:
    return []


class Client:
    """A client that connects, sends and inspects its socket without yielding to the limiter's event loop."""

    def __init__(self, limiter: Limiter) -> None:
        self.socket = socket.create_connection(limiter._address)
        self.socket.setblocking(False)
        self.seen = b""

    def send(self, data: bytes) -> None:
        self.socket.sendall(data)

    async def until(self, text: bytes) -> None:
        while text not in self.seen:
            data = await asyncio.get_running_loop().sock_recv(self.socket, 65536)
            assert data, f"it ended after {self.seen!r}"
            self.seen += data

    async def end(self) -> list[int]:
        """Return the status codes of all responses up to the connection's end; a reset raises ConnectionError."""
        while data := await asyncio.get_running_loop().sock_recv(self.socket, 65536):
            self.seen += data
        return [int(part.split(b" ")[1]) for part in self.seen.split(b"HTTP/1.1")[1:]]

    def reset(self) -> bool:
        return self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0


def start_shutdown(limiter: Limiter, grace: float = 10.0) -> asyncio.Task[None]:
    """Drain and close the frontend, as the program does after clients have had time to notice the shutdown."""
    limiter.frontend.drain()
    return asyncio.create_task(limiter.frontend.close(grace))


async def yield_to_loop(count: int = 8) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


def test_each_place_has_a_row_in_each_phase_and_no_request_is_met_by_an_end() -> None:
    assert set(SHUTDOWN_ACTIONS) == {(phase, place) for phase in ShutdownPhase for place in ConnectionState}
    asked = (
        ConnectionState.UNREAD,
        ConnectionState.UPLOAD,
        ConnectionState.AWAITING_ANSWER,
        ConnectionState.ANSWERING,
    )
    assert {SHUTDOWN_ACTIONS[phase, place] for phase in ShutdownPhase for place in asked} == {
        ConnectionAction.KEEP
    }
    assert all(
        do is not ConnectionAction.HALF_CLOSE
        for (_, place), do in SHUTDOWN_ACTIONS.items()
        if place is ConnectionState.PARTIAL
    )


def test_queued_connections_are_taken_before_the_listener_goes() -> None:
    async def main() -> None:
        async with Limiter(Script(refuse), {}) as limiter:
            limiter.frontend.drain()
            late = [Client(limiter) for _ in range(20)]
            for client in late:
                client.send(ask())
            await limiter.frontend.close(10)  # the loop has not run since they connected
            assert [await client.end() for client in late] == [[429]] * 20

    run(main())


def test_a_connection_that_came_a_moment_ago_may_still_ask(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(frontend, "DRAIN_IDLE_TIMEOUT", 5.0)

    async def main() -> None:
        async with Limiter(Script(refuse), {}) as limiter:
            new, old = Client(limiter), Client(limiter)
            while len(limiter.frontend._clients) < 2:
                await yield_to_loop(1)
            next(iter(limiter.frontend._clients)).last_active_at -= 5.0
            closing = start_shutdown(limiter)
            assert await new.end() == []
            old.send(ask())
            assert await old.end() == [429]
            await closing

    run(main())


@pytest.mark.parametrize("kept", [True, False])
def test_an_idle_connection_with_a_request_unread_is_answered(kept: bool) -> None:
    async def main() -> None:
        async with Limiter(Script(refuse), {}) as limiter:
            client = Client(limiter)
            if kept:
                client.send(ask())
                await client.until(b"\r\n\r\n")
            await yield_to_loop()
            client.send(ask())
            await start_shutdown(limiter)
            assert await client.end() == [429] * (1 + kept)

    run(main())


def test_an_idle_connection_that_waits_for_the_sweep_is_answered_too() -> None:
    """Guards against closing an idle connection whose timeout expires while a request is unread in the socket."""

    async def main() -> None:
        async with Limiter(Script(refuse), {}) as limiter:
            client = Client(limiter)
            while not limiter.frontend._clients:
                await yield_to_loop(1)
            await yield_to_loop()
            client.send(ask())
            next(iter(limiter.frontend._clients)).last_active_at -= 2 * frontend.IDLE_TIMEOUT
            limiter.frontend._sweep()
            await client.until(b" 429 ")

    run(main())


def test_what_crosses_the_end_of_an_idle_connection_meets_no_reset() -> None:
    async def main() -> None:
        async with Limiter(Script(refuse), {}) as limiter:
            client = Client(limiter)
            client.send(ask())
            await client.until(b"\r\n\r\n")
            closing = start_shutdown(limiter)
            assert await client.end() == [429]
            client.send(ask())
            await yield_to_loop(50)
            assert not client.reset() and not closing.done()
            client.socket.close()
            await closing

    run(main())


def test_pipelined_requests_are_all_answered_and_what_comes_behind_the_last_resets_nothing() -> None:
    async def main() -> None:
        script = Script(no_actions)
        async with Limiter(script, {}) as limiter:
            client = Client(limiter)
            client.send(ask() + ask() + ask())
            requests = await script.until(api.Request, 3)
            closing = start_shutdown(limiter)
            await yield_to_loop()
            script.answer = lambda _event: [api.Refuse(each.id, 0.1) for each in requests]
            limiter.node.feed(api.TimerFired(1))
            client.send(ask())
            await yield_to_loop(50)
            assert await client.end() == [429] * 3 and client.seen.count(b"Connection: close") == 1
            assert not client.reset()
            client.socket.close()
            await closing

    run(main())


@pytest.mark.parametrize("cut", [9, 60, -1])
def test_half_a_request_may_come_whole_and_is_refused_at_the_last_moment(cut: int) -> None:
    async def main() -> None:
        async with Limiter(Script(refuse), {}) as limiter:
            whole, unfinished = Client(limiter), Client(limiter)
            request = ask(POST, b"some body")
            for client in (whole, unfinished):
                client.send(request[:cut])
            while not all(client._receiving for client in limiter.frontend._clients):
                await yield_to_loop(1)
            closing = start_shutdown(limiter, 0.1)
            await yield_to_loop()
            whole.send(request[cut:])
            assert await whole.end() == [429]
            await closing
            await limiter.frontend.close(10)
            assert await unfinished.end() == [503] and b"Connection: close" in unfinished.seen

    run(main())


def test_an_upload_under_way_goes_on_and_is_answered() -> None:
    async def main() -> None:
        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            _, _, body = await read_message(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body[-9:]), body[-9:]))
            await asyncio.Event().wait()

        script = Script(forward)
        async with listening(talk) as dial, Limiter(script, {"s1": dial}) as limiter:
            client, request = Client(limiter), ask(POST, b"x" * LARGE)
            client.send(request[:100_000])
            await script.until(api.Request)
            closing = start_shutdown(limiter)
            await yield_to_loop()
            client.send(request[100_000:])
            assert await client.end() == [200] and client.seen.endswith(b"x" * 9)
            await closing

    run(main())


def test_an_upload_that_never_ends_is_failed_at_the_last_moment() -> None:
    async def main() -> None:
        script = Script(forward)
        async with Limiter(script, {}) as limiter:
            script.answer = no_actions
            client = Client(limiter)
            client.send(ask(POST, b"x" * LARGE)[:100_000])
            await script.until(api.Request)
            await start_shutdown(limiter, 0.05)
            limiter.node.fail_open_requests()
            closing = asyncio.create_task(limiter.frontend.close(10))
            client.send(b"x" * 1000)
            assert await client.end() == [504] and not client.reset()
            client.socket.close()
            await closing

    run(main())


def test_an_answer_that_flows_comes_whole_and_its_connection_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    for name, value in (("SWEEP_INTERVAL", 0.01), ("IDLE_TIMEOUT", 1e9), ("DRAIN_NOTICE_TIME", 1e9)):
        monkeypatch.setattr(frontend, name, value)

    async def main() -> None:
        rest = asyncio.Event()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE + b"x" * (LARGE - 1))
            await rest.wait()
            writer.write(b"y")
            await asyncio.Event().wait()

        async with listening(talk) as dial, Limiter(Script(forward), {"s1": dial}) as limiter:
            client = Client(limiter)
            client.send(ask())
            await client.until(b"x" * 1000)
            closing = start_shutdown(limiter)  # the response's head has been sent without Connection: close
            await yield_to_loop()
            rest.set()
            assert await client.end() == [200] and client.seen.endswith(b"xy")
            client.socket.close()
            await closing

    run(main())


def test_who_lingers_is_read_to_the_end() -> None:
    async def main() -> None:
        async with Limiter(Script(refuse), {}) as limiter:
            client = Client(limiter)
            client.send(b"nonsense\r\n\r\n")
            await client.until(b" 400 ")
            closing = start_shutdown(limiter)
            await yield_to_loop()
            client.send(b"x" * 1000)
            await yield_to_loop(50)
            assert await client.end() == [400] and not client.reset()
            client.socket.close()
            await closing

    run(main())


def test_what_still_comes_at_the_last_moment_is_refused_at_once() -> None:
    async def main() -> None:
        script = Script(no_actions)
        async with Limiter(script, {}) as limiter:
            taken, half, fresh = Client(limiter), Client(limiter), Client(limiter)
            half.send(ask()[:20])
            taken.send(ask())
            await script.until(api.Request)
            await start_shutdown(limiter, 0.05)
            limiter.node.fail_open_requests()
            fresh.send(ask())  # both before the loop runs again
            half.send(ask()[20:])
            await limiter.frontend.close(0.1)
            assert [await client.end() for client in (taken, half, fresh)] == [[504], [503], [503]]
            assert b"Retry-After: 0.500\r\n" in half.seen and b"Retry-After: 0.500\r\n" in fresh.seen
            assert len(await script.until(api.Request)) == 1, "the gateway no longer receives it"

    run(main())
