"""Tests of the node over loopback sockets: one final response, deadlines, failures of the decision module."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace

import pytest

from cypresspulley import interface as api
from cypresspulley.net.node import UnixClock
from cypresspulley.policy.gateway import Gateway
from tests.loopback import (
    OK,
    SETTINGS,
    Limiter,
    Origin,
    Script,
    ask,
    forward,
    listening,
    listing,
    read_message,
    run,
)


def test_the_clock_is_unix_time() -> None:
    assert abs(UnixClock()() - time.time()) < 1.0


def test_the_known_list_comes_first_and_is_whole() -> None:
    async def main() -> None:
        script = Script(forward)
        async with Limiter(script, {"s1": "127.0.0.1:1"}):
            assert isinstance(script.events[0], api.ServerList) and script.events[0].complete

    run(main())


def test_a_served_request_ends_with_its_outcome() -> None:
    async def main() -> None:
        script = Script(forward)
        async with listening(Origin().talk) as dial, Limiter(script, {"s1": dial}) as limiter:
            assert (await limiter.fetch(ask()))[2] == b"hi"
            (outcome,) = await script.until(api.Outcome)
            assert (outcome.attempt, outcome.status, outcome.finished) == (0, api.Status.OK, True)
            assert limiter.node.open_requests == 0

    run(main())


def test_silent_decisions_do_not_keep_the_client_past_its_time() -> None:
    async def main() -> None:
        script = Script(lambda _event: [])
        async with Limiter(script, {}) as limiter:
            began = time.monotonic()
            assert " 504 " in (await limiter.fetch(ask(ttl=300)))[0]
            assert time.monotonic() - began > 0.2
            await script.until(api.ClientDisconnected)  # so that the decision module forgets the request

    run(main())


def test_an_attempt_ends_before_the_clients_time_whatever_its_own_limit() -> None:
    async def main() -> None:
        origin = Origin(lambda _n: None)

        def send_with_long_timeout(event: api.Event) -> list[api.Action]:
            if isinstance(event, api.Request):
                return [api.Send(event.id, "s1", 60.0)]
            return forward(event)

        script = Script(send_with_long_timeout)
        async with listening(origin.talk) as dial, Limiter(script, {"s1": dial}) as limiter:
            # The decision module refuses the request after the timeout.
            assert " 429 " in (await limiter.fetch(ask(ttl=400)))[0]
            (outcome,) = await script.until(api.Outcome)
            assert outcome.status is api.Status.TIMEOUT and outcome.elapsed < 0.4
            assert int(origin.seen[0][1]["x-timeout-ms"]) < 400

    run(main())


def test_attempts_past_the_cap_are_not_sent() -> None:
    async def main() -> None:
        origin = Origin(lambda _n: b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")

        def again(event: api.Event) -> list[api.Action]:
            if isinstance(event, api.Outcome) and event.status is api.Status.NOT_SENT:
                return [api.Fail(event.id)]
            if isinstance(event, api.Request | api.Outcome):
                return [api.Send(event.id, "s1", 5.0)]
            return []

        async with listening(origin.talk) as dial, Limiter(Script(again), {"s1": dial}) as limiter:
            assert " 502 " in (await limiter.fetch(ask()))[0]
            assert len(origin.seen) == 2  # max_attempts

    run(main())


def test_a_send_for_an_ended_request_is_dropped_and_answers_stay_single() -> None:
    async def main() -> None:
        origin = Origin()

        def send_contradictory_actions(event: api.Event) -> list[api.Action]:
            if not isinstance(event, api.Request):
                return []
            return [
                api.Refuse(event.id, 0.1), api.Fail(event.id), api.Send(event.id, "s1", 1.0),
                api.Cancel(event.id, 0), api.Send(99, "nobody", 1.0), api.Refuse(99, 0.1),
            ]  # fmt: skip

        async with (
            listening(origin.talk) as dial,
            Limiter(Script(send_contradictory_actions), {"s1": dial}) as limiter,
        ):
            reader, writer = await limiter.connect()
            writer.write(ask() + ask(Connection="close"))
            answers = (await reader.read()).count(b"HTTP/1.1 429")
            assert answers == 2 and not origin.seen

    run(main())


def test_the_first_of_two_copies_answers_and_the_other_is_cancelled() -> None:
    async def main() -> None:
        slow, fast = Origin(lambda _n: None), Origin()

        def both(event: api.Event) -> list[api.Action]:
            if isinstance(event, api.Request):
                return [api.Send(event.id, "s1", 5.0), api.Send(event.id, "s2", 5.0)]
            return []

        async with listening(slow.talk) as first, listening(fast.talk) as second:
            script = Script(both)
            async with Limiter(script, {"s1": first, "s2": second}) as limiter:
                assert " 200 " in (await limiter.fetch(ask()))[0]
                outcomes = {o.attempt: o for o in await script.until(api.Outcome, 2)}
                assert outcomes[1].status is api.Status.OK and outcomes[1].finished
                assert outcomes[0].status is api.Status.CANCELLED and outcomes[0].finished

    run(main())


def test_a_failure_of_the_decisions_is_contained(caplog: pytest.LogCaptureFixture) -> None:
    async def main() -> None:
        def broken(event: api.Event) -> list[api.Action]:
            if isinstance(event, api.Request) and event.request_class == "post":
                raise ZeroDivisionError
            return forward(event)

        script = Script(broken)
        async with listening(Origin().talk) as dial, Limiter(script, {"s1": dial}) as limiter:
            request = ask("/post?account=00000000b4d65521", b"abc")
            assert " 500 " in (await limiter.fetch(request))[0]
            assert " 200 " in (await limiter.fetch(ask()))[0]

    run(main())
    assert "the decision module failed on Request" in caplog.text


def test_timers_fire_and_a_failed_tick_comes_again() -> None:
    async def main() -> None:
        failed = list[api.Event]()

        def once(event: api.Event) -> list[api.Action]:
            if isinstance(event, api.TimerFired) and not failed:
                failed.append(event)
                raise ZeroDivisionError
            return [api.SetTimer(0.01, 7)] if isinstance(event, api.ServerList) else []

        script = Script(once)
        async with Limiter(script, {}):
            assert await script.until(api.TimerFired, 2) == [api.TimerFired(7)] * 2

    run(main())


@pytest.mark.parametrize("whole", [True, False])
def test_a_drain_stops_sends_even_if_the_decisions_go_on(whole: bool) -> None:
    async def main() -> None:
        origin, script = Origin(), Script(forward)
        async with listening(origin.talk) as dial, Limiter(script, {"s1": dial}) as limiter:
            assert " 200 " in (await limiter.fetch(ask()))[0]
            told = listing({} if whole else {"s1": dial}, api.Health.DRAINING, whole)
            limiter.node.apply_listing(told)
            await origin.left.wait()
            assert " 429 " in (await limiter.fetch(ask()))[0]
            assert len(origin.seen) == 1

    run(main())


def test_probes_and_counts_come_back_as_events() -> None:
    async def main() -> None:
        origin = Origin(lambda n: OK if n == 1 else b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")

        def probe(event: api.Event) -> list[api.Action]:
            return [api.Probe("s1"), api.Count(5, 4.0, 1.0)] if isinstance(event, api.ServerList) else []

        script = Script(probe)
        async with listening(origin.talk) as dial, Limiter(script, {"s1": dial}) as limiter:
            (good,) = await script.until(api.Probed)
            assert (good.server, good.status) == ("s1", api.Status.OK)
            assert origin.seen[0][0] == "GET /healthz HTTP/1.1"
            limiter.node.apply_listing(listing({"s1": dial}))
            assert (await script.until(api.Probed, 2))[1].status is api.Status.ERROR
            # No counter is configured.
            assert script.events.count(api.Counted(5, api.Status.UNREACHABLE)) == 2

    run(main())


def test_a_departed_clients_connection_gets_nothing_more() -> None:
    async def main() -> None:
        script = Script(lambda _event: [])
        async with Limiter(script, {}) as limiter:
            reader, writer = await limiter.connect()
            writer.write(ask())
            (event,) = await script.until(api.Request)
            writer.write_eof()
            await script.until(api.ClientDisconnected)
            script.answer = lambda _event: [api.Refuse(event.id, 0.1)]
            limiter.node.feed(api.TimerFired(1))
            assert await reader.read() == b""
            with pytest.raises(asyncio.IncompleteReadError):
                await read_message(reader)

    run(main())


def test_what_is_open_when_the_process_ends_is_failed_and_not_lost() -> None:
    async def main() -> None:
        origin, script = Origin(lambda _n: None), Script(forward)
        async with listening(origin.talk) as dial, Limiter(script, {"s1": dial}) as limiter:
            reader, writer = await limiter.connect()
            writer.write(ask())
            await origin.got.wait()
            limiter.frontend.drain()
            await limiter.frontend.close(0.01)
            limiter.node.fail_open_requests()
            assert " 504 " in (await read_message(reader))[0]
            await script.until(api.ClientDisconnected)
            await limiter.frontend.close(10)

    run(main())


def real_decision_module() -> Script:
    """The real decision module, with servers that start cold and are overloaded easily."""
    clock, settings = UnixClock(), replace(SETTINGS, cold_share=0.15, warm_after=15.0, fall_multiple=2.5)
    gateway = Gateway(settings, 1, clock())
    return Script(lambda event: gateway.handle(clock(), event))


def test_spoilt_answers_of_all_servers_put_none_of_them_out() -> None:
    """Guards against counting malformed responses as broken connections: each server was then taken for dead, and for
    cold for 15 s once it responded again."""

    async def main() -> None:
        spoilt = b"HTTP/1.1 200 OK\r\nContent-Length: 1x\r\n\r\nhi"
        origin = Origin(lambda n: spoilt if n % 6 == 0 else OK)
        async with (
            listening(origin.talk) as dial,
            Limiter(real_decision_module(), {"s1": dial, "s2": dial, "s3": dial}) as limiter,
        ):
            answers = [(await limiter.fetch(ask()))[0] for _ in range(30)]  # within its even share
            assert all(" 200 " in answer for answer in answers)  # a lookup may be retried on another server

    run(main())


def test_single_broken_connections_make_no_server_dead() -> None:
    """Guards against taking each broken connection for the death of a server and the next response for its restart:
    soon all servers were cold for 15 s."""

    async def main() -> None:
        origin = Origin(lambda n: b"" if n % 6 == 0 else OK)
        async with (
            listening(origin.talk) as dial,
            Limiter(real_decision_module(), {"s1": dial, "s2": dial, "s3": dial}) as limiter,
        ):
            answers = [(await limiter.fetch(ask()))[0] for _ in range(30)]
            assert all(" 200 " in answer for answer in answers)

    run(main())


def test_what_a_server_rejects_fails_without_another_attempt_or_a_mark_against_it() -> None:
    async def main() -> None:
        rejected = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"
        origin = Origin(lambda n: rejected if n <= 8 else OK)
        async with (
            listening(origin.talk) as dial,
            Limiter(real_decision_module(), {"s1": dial, "s2": dial}) as limiter,
        ):
            for attempts in range(1, 9):
                assert " 502 " in (await limiter.fetch(ask()))[0] and len(origin.seen) == attempts
            assert " 200 " in (await limiter.fetch(ask()))[0]

    run(main())
