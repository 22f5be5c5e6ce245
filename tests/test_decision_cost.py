"""The cost of a request's decisions with the usual number of servers and with sixteen times as many.

The tests count the interpreter's instructions in the files of the policy, which are the same on every machine. The
requirements allow a process 1.4 times the processor time, which ``benchmarks/many_servers.py`` measures on whole
processes.
"""

from __future__ import annotations

import heapq
import sys
from random import Random
from types import FrameType
from typing import Any

import pytest

from cypresspulley import interface as api
from cypresspulley.policy.gateway import Gateway

SERVER_FACTOR = 16
MAX_COST_FACTOR = 1.4
REQUEST_RATE = 40.0  # requests per second at one limiter
WARM_UP, COUNTED = 600, 400  # requests
FAILURE_SHARE = 0.05  # of the attempts


def settings(gateways: int) -> api.Settings:
    classes = (
        api.RequestClass("lookup", aim=1.2, worth=2.0, effect=api.Effect.SAFE),
        api.RequestClass("entry", 2.0, 3.0, api.Effect.KEYED, scope=api.Scope.ZONE, window=4.0),
    )
    return api.Settings(
        index=0, gateways=gateways, zone="a", classes=classes, plans=(api.Plan("free"),), max_attempts=4,
        may_cancel=True, cold_share=0.3, warm_after=10.0, fall_multiple=2.5, fall_window=2.0,
    )  # fmt: skip


class InstructionCounter:
    """Counts the interpreter's instructions in the files of the policy while its context is active."""

    def __init__(self) -> None:
        self.count = 0

    def __call__(self, frame: FrameType, event: str, _arg: Any) -> Any:
        if "policy" not in frame.f_code.co_filename:
            return None
        frame.f_trace_opcodes = True
        if event == "opcode":
            self.count += 1
        return self

    def __enter__(self) -> InstructionCounter:
        sys.settrace(self)
        return self

    def __exit__(self, *_: object) -> None:
        sys.settrace(None)


def instructions(gateways: int, servers: int) -> float:
    """Return the instructions per request, including ticks, answers, failures and a server list change per second."""
    rng = Random(5)
    gateway = Gateway(settings(gateways), 1, 0.0)
    entries = [api.ServerEntry(f"s{n}", api.Health.UP, "abc"[n % 3], n // 3) for n in range(servers)]
    gateway.handle(0.0, api.ServerList(tuple(entries), True))
    coming = list[tuple[float, int, api.Event]]()
    at, counter, number = 0.0, InstructionCounter(), 10**6
    for id in range(WARM_UP + COUNTED):
        at += rng.expovariate(REQUEST_RATE)
        heapq.heappush(
            coming, (at, id, api.Request(id, rng.choice(("lookup", "entry")), "free", 3.0, f"a{id % 50}"))
        )
        if id % int(REQUEST_RATE) == 0:
            entry = rng.choice(entries)
            drains = api.ServerEntry(entry.name, api.Health.DRAINING, entry.zone, entry.cell)
            heapq.heappush(coming, (at, number, api.ServerList((drains,), False)))
            heapq.heappush(coming, (at + 0.5, number + 1, api.ServerList((entry,), False)))
            number += 2
    begin = WARM_UP / REQUEST_RATE
    while coming:
        now, _, event = heapq.heappop(coming)
        if now < begin:
            actions = gateway.handle(now, event)
        else:
            with counter:
                actions = gateway.handle(now, event)
        for action in actions:
            number += 1
            if isinstance(action, api.Send):
                status = api.Status.ERROR if rng.random() < FAILURE_SHARE else api.Status.OK
                ended = api.Outcome(
                    action.id, 0, action.server, status, 0.1, status is api.Status.OK,
                    {"inflight": float(rng.randint(0, 6))},
                )  # fmt: skip
                heapq.heappush(coming, (now + rng.expovariate(10.0), number, ended))
            elif isinstance(action, api.SetTimer) and now < at:
                heapq.heappush(coming, (now + action.delay, number, api.TimerFired(action.token)))
    return counter.count / COUNTED


@pytest.mark.parametrize(("gateways", "servers"), [(200, 200), (12, 20), (3, 12)])
def test_sixteen_times_the_servers_cost_a_request_no_more_than_the_page_allows(
    gateways: int, servers: int
) -> None:
    usual, many = instructions(gateways, servers), instructions(gateways, SERVER_FACTOR * servers)
    assert many <= MAX_COST_FACTOR * usual, (
        f"{usual:.0f} instructions at {servers}, {many:.0f} at {SERVER_FACTOR * servers}"
    )


@pytest.mark.parametrize(("gateways", "servers"), [(200, 200), (12, 20), (3, 12)])
def test_a_gateways_part_costs_no_more_connections_than_the_page_allows(gateways: int, servers: int) -> None:
    """The requirements allow 2.5 times the connections and 40 more.

    Each server of the subset costs at least one connection, and two or three with the usual few servers. The limit is
    95 where ``benchmarks/many_servers.py`` counts 22 connections with the usual number of servers.
    """
    sizes = list[int]()
    for count in (servers, SERVER_FACTOR * servers):
        gateway = Gateway(settings(gateways), 1, 0.0)
        entries = tuple(api.ServerEntry(f"s{n}", api.Health.UP, "a") for n in range(count))
        gateway.handle(0.0, api.ServerList(entries, True))
        sizes.append(len(gateway.load_balancer.subset))
    assert sizes[1] <= 2.5 * sizes[0] + 48
