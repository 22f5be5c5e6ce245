"""The decisions on real sockets against misbehaving servers and counters: their recorded state must stay correct."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace

from cypresspulley import interface as api
from cypresspulley.net.counter import CounterClient
from cypresspulley.policy.gateway import Gateway
from tests.loopback import OK, SETTINGS, Limiter, Origin, Script, ask, listening, listing, run


class GatewayScript(Script):
    """The gateway itself in place of a script, on a clock that a test can advance."""

    def __init__(self, settings: api.Settings = SETTINGS) -> None:
        self.now = 1000.0
        self.gateway = Gateway(settings, 1, self.now)
        super().__init__(lambda event: self.gateway.handle(self.now, event))


class SlowOthersScript(GatewayScript):
    """The gateway where attempts at ``s1`` take the idle latency, and those at other servers 1.6 times as long.

    That makes the others barely the worse choice after a failure of ``s1``, which makes its cost 1.56 times as high.
    The times that the sockets take play no part.
    """

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.Outcome):
            idle = self.gateway.load_balancer.idle_latency["lookup"]
            event = replace(event, elapsed=idle if event.server == "s1" else 1.6 * idle)
        return super().handle(now, event)


class ResettingListener:
    """Accepts connections and resets each before any data is exchanged."""

    def __init__(self, listener: socket.socket) -> None:
        self._listener, self.resets = listener, 0
        asyncio.get_running_loop().add_reader(listener, self._reset)

    def _reset(self) -> None:
        taken, _ = self._listener.accept()
        taken.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        taken.close()
        self.resets += 1


@contextmanager
def resetting_listener() -> Iterator[tuple[ResettingListener, str]]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setblocking(False)
        host, port = listener.getsockname()
        resetter = ResettingListener(listener)
        try:
            yield resetter, f"{host}:{port}"
        finally:
            asyncio.get_running_loop().remove_reader(listener)


def test_a_server_that_resets_new_connections_is_there_and_not_lost() -> None:
    async def main() -> None:
        script = GatewayScript(replace(SETTINGS, warm_after=60.0))
        with resetting_listener() as (resetter, address):
            async with Limiter(script, {"s1": address}) as limiter:
                for _ in range(60):
                    script.now += 0.1
                    await limiter.fetch(ask())
                assert resetter.resets >= 20
        assert {event.status for event in script.events if isinstance(event, api.Outcome)} <= {
            api.Status.DROPPED, api.Status.BROKEN,
        }  # fmt: skip
        # Its next answer would else make it cold for 60 s.
        assert not script.gateway.load_balancer.servers["s1"].unreachable

    run(main())


def test_a_server_that_had_work_of_two_classes_out_comes_back_from_its_trial() -> None:
    async def main() -> None:
        held = Origin(lambda _n: None)
        failing = [True]
        shaky, firm = Origin(lambda _n: b"" if failing[0] else OK), Origin()
        writers = list[asyncio.StreamWriter]()

        async def first(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            await (held if len(writers) < 3 else shaky).talk(reader, writer)

        async with listening(first) as one, listening(firm.talk) as two, listening(firm.talk) as three:
            script = SlowOthersScript(replace(SETTINGS, max_attempts=1))
            async with Limiter(script, {"s1": one}) as limiter:
                lookup = asyncio.create_task(limiter.fetch(ask()))
                while len(held.seen) < 1:
                    await asyncio.sleep(0)
                post = asyncio.create_task(limiter.fetch(ask("/post?account=00000000b4d65521", b"x")))
                while len(held.seen) < 2:
                    await asyncio.sleep(0)
                for writer, task in zip(writers, (lookup, post), strict=True):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                    await task
                limiter.node.apply_listing(listing({"s1": one, "s2": two, "s3": three}))
                server = script.gateway.load_balancer.servers["s1"]
                while not server.on_trial:
                    script.now += 0.1
                    await limiter.fetch(ask())
                failing[0], before = False, len(shaky.seen)
                script.now += 20.0
                for _ in range(40):
                    script.now += 0.1
                    await limiter.fetch(ask())
                assert len(shaky.seen) > before

    run(main())


def test_resets_that_the_whole_fleet_shares_put_no_server_out() -> None:
    """One in eight answers of each server is a reset, sometimes two in a row; no server is dead."""

    async def main() -> None:
        def origin(shift: int) -> Origin:
            return Origin(lambda n: b"" if (n + shift) % 16 in (0, 1) else OK)

        origins = [origin(5 * number) for number in range(3)]
        peers = [listening(origin.talk) for origin in origins]
        async with peers[0] as one, peers[1] as two, peers[2] as three:
            script = GatewayScript()
            async with Limiter(script, {"s1": one, "s2": two, "s3": three}) as limiter:
                servers = script.gateway.load_balancer.servers.values()
                out = 0
                for _ in range(400):
                    script.now += 0.05
                    await limiter.fetch(ask())
                    out += sum(server.ejected_until > script.now for server in servers)
        assert out < 120  # of 1200; if two in a row were enough it would be about half

    run(main())


def test_what_breaks_together_is_one_event() -> None:
    async def main() -> None:
        taken, drop = asyncio.Semaphore(0), asyncio.Event()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            taken.release()
            await drop.wait()

        async with listening(talk) as one:
            script = GatewayScript(replace(SETTINGS, max_attempts=1))
            async with Limiter(script, {"s1": one}) as limiter:
                tasks = [asyncio.create_task(limiter.fetch(ask())) for _ in range(4)]
                for _ in tasks:
                    await taken.acquire()
                script.now += 0.5
                drop.set()
                await asyncio.gather(*tasks)
                assert (
                    script.gateway.load_balancer.servers["s1"].failure_rate < 0.65
                )  # counted as several failures in a row it would be 0.8

    run(main())


def test_calls_that_end_with_one_connection_of_the_counter_are_one_sign_of_silence() -> None:
    async def main() -> None:
        # The quota is so small that the counter is asked at once.
        plans = (api.Plan("basic", rate=1.0, burst=4.0),)
        script = GatewayScript(replace(SETTINGS, plans=plans, has_counter=True, counter_timeout=0.05))
        script.now += 10.0  # the other gateways may have used more since the start than is left
        accounts, origin = iter(range(1, 9)), Origin()
        connections, lines = asyncio.Queue[asyncio.StreamWriter](), asyncio.Queue[bytes]()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            connections.put_nowait(writer)
            while line := await reader.readline():
                lines.put_nowait(line)

        async with listening(talk) as counter, listening(origin.talk) as server:
            host, port = counter.split(":")
            client = CounterClient(host, int(port), 10.0)
            client.start()
            async with Limiter(script, {"s1": server}, counter=client) as limiter:

                async def break_under(calls: int) -> None:
                    writer = await connections.get()
                    asked = [
                        asyncio.create_task(limiter.fetch(ask(f"/lookup?account={next(accounts):016x}")))
                        for _ in range(calls)
                    ]
                    for _ in asked:
                        assert (await lines.get()).startswith(b"tally")
                    script.now += 0.1
                    writer.transport.abort()
                    for answer in await asyncio.gather(*asked):
                        assert " 200 " in answer[0]
                    script.now += 0.1

                await break_under(3)
                assert (
                    script.gateway.quotas.counter_calls.silent_until < script.now
                )  # the next customer is asked for
                await break_under(1)
                assert (
                    script.gateway.quotas.counter_calls.silent_until > script.now
                )  # twice, and no answer in between
            client.close()

    run(main())


def test_a_server_that_is_silent_for_once_and_answers_again_is_not_cold() -> None:
    async def main() -> None:
        origin = Origin(lambda n: OK if n > 1 else None)
        lookup = api.RequestClass("lookup", 0.1, 1.0, api.Effect.SAFE)
        script = GatewayScript(replace(SETTINGS, classes=(lookup,), warm_after=60.0, max_attempts=1))
        async with listening(origin.talk) as address, Limiter(script, {"s1": address}) as limiter:
            task = asyncio.create_task(limiter.fetch(ask()))
            await origin.got.wait()
            script.now += 0.5  # it was silent for as long as the request waited
            assert " 429 " in (await task)[0]
            (outcome,) = await script.until(api.Outcome)
            assert outcome.status is api.Status.TIMEOUT
            assert " 200 " in (await limiter.fetch(ask()))[0]
            assert script.gateway.load_balancer.servers["s1"].cold_since is None

    run(main())
