"""Quotas shared by messages between gateways, with lost messages, and datagrams from unknown senders."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import replace
from random import Random

import hypothesis
import pytest
from hypothesis import strategies as st

from cypresspulley import interface as api
from cypresspulley.config import ConfigError, parse_config
from cypresspulley.messages import DIGITS, UNITS_PER_STEP
from cypresspulley.net.peers import MAX_MESSAGE, Peers, open_datagram_socket
from cypresspulley.policy.account import Account
from cypresspulley.policy.usage import MAX_UNKNOWN_ACCOUNTS, UsageBroadcast
from tests import world as w
from tests.loopback import Limiter, Origin, Script, ask, forward, listening, run
from tests.test_program import config

PLAN = api.Plan("small", rate=2.0, burst=8.0, over_cost=0.5)


def shared_settings(**changes: object) -> api.Settings:
    settings = w.settings(plans=(PLAN,), has_counter=False, may_message_peers=True, inbox_rate=40.0)
    return replace(settings, **changes)  # type: ignore[arg-type]


class RecordingWorld(w.World):
    """A world that records the messages of its gateway."""

    def __init__(self, config: api.Settings, seed: int = 1, now: float = 100.0) -> None:
        self.texts = list[str]()
        super().__init__(config, seed, now)

    def take_messages(self) -> list[str]:
        texts, self.texts = self.texts, []
        return texts

    def _check(self, action: api.Action) -> None:
        if isinstance(action, api.Broadcast):
            self.texts.append(action.text)
        super()._check(action)


class Fleet:
    """Gateways whose messages reach each other at once, or are lost with the probability ``loss``."""

    def __init__(self, loss: float = 0.0, seed: int = 1, config: api.Settings | None = None) -> None:
        base = config or shared_settings()
        self.rng, self.loss = Random(seed), loss
        self.worlds = [RecordingWorld(replace(base, index=i), seed + i) for i in range(base.gateways)]
        for world in self.worlds:
            world.feed(w.servers("s0", "s1", "s2", "s3"))

    def ask(self, at: int, now: float, id: int, units: float = 1.0, settle: float | None = None) -> bool:
        """Pass a request to gateway ``at``; the response arrives at once. Return whether it was sent to a server."""
        world = self.worlds[at]
        world.advance(now)
        before = len(world.sends)
        world.feed(w.request(id, "read", "small", "hotel", 3.0, units))
        for index, each in enumerate(self.worlds):
            each.advance(now)
            for text in each.take_messages():
                self._broadcast(index, now, text)
        for (asked, attempt), (server, _) in list(world.open_attempts.items()):
            event = w.outcome(asked, attempt, server, api.Status.OK)
            world.feed(replace(event, units=settle))
        return len(world.sends) > before

    def _broadcast(self, at: int, now: float, text: str) -> None:
        assert len(text.encode()) <= MAX_MESSAGE
        for index, world in enumerate(self.worlds):
            if index != at and self.rng.random() >= self.loss:
                world.advance(now)
                world.feed(api.PeerMessage(at, text))


def play(fleet: Fleet, seconds: float, shares: tuple[float, ...], every: float = 0.05) -> float:
    """Return the units sent to servers for an account far above its quota, spread over the gateways by ``shares``."""
    sent, now, id = 0.0, 100.0, 0
    while now < 100.0 + seconds:
        at = fleet.rng.choices(range(len(shares)), shares)[0]
        sent += fleet.ask(at, now, id := id + 1)
        now += every
    return sent


@pytest.mark.parametrize("shares", [(1, 1, 1), (8, 1, 1), (1, 0, 0)])
@pytest.mark.parametrize("loss", [0.0, 0.05])
def test_what_all_send_on_stays_near_the_quota_however_uneven(shares: tuple[float, ...], loss: float) -> None:
    quota = PLAN.burst + PLAN.rate * 30
    assert 0.8 * quota < play(Fleet(loss), 30, shares) < 1.25 * quota


def test_with_no_messages_the_even_share_is_what_is_left() -> None:
    sent = play(Fleet(loss=1.0), 30, (1, 0, 0))
    assert sent < 0.6 * (PLAN.burst + PLAN.rate * 30)


def test_the_true_units_settle_the_quota_at_every_gateway() -> None:
    dear, cheap = Fleet(), Fleet()
    for fleet, units in ((dear, 4.0), (cheap, 0.25)):
        for id in range(8):
            fleet.ask(0, 100.0 + 0.01 * id, id, 1.0, units)
        fleet.ask(0, 100.3, 8, 1.0, units)  # broadcasts the use
    assert [len(fleet.worlds[0].sends) for fleet in (dear, cheap)] == [2, 9]
    assert not dear.ask(1, 100.31, 99) and cheap.ask(1, 100.31, 99)


@pytest.mark.parametrize("units", [-1.0, 1e9, float("nan")])
def test_absurd_units_settle_nothing(units: float) -> None:
    fleet = Fleet()
    assert fleet.ask(0, 100.0, 1, 1.0, units)
    account = next(iter(fleet.worlds[0].gateway.quotas.accounts.values()))
    assert account.level == pytest.approx(PLAN.burst - 1)


def test_a_customer_met_later_starts_with_what_others_told_of_it() -> None:
    fleet = Fleet()
    for id in range(8):
        assert fleet.ask(0, 100.0 + 0.01 * id, id)
    fleet.ask(0, 100.4, 8)  # broadcasts the use
    assert not any(fleet.ask(1, 100.5, 20 + n) for n in range(2, 5))


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(st.one_of(st.text(max_size=300), st.text(DIGITS, max_size=256)))
def test_any_text_may_come_as_a_message(text: str) -> None:
    fleet = Fleet()
    fleet.ask(0, 100.0, 1)
    fleet.worlds[0].feed(api.PeerMessage(1, text))
    account = next(iter(fleet.worlds[0].gateway.quotas.accounts.values()))
    assert -2 * PLAN.burst <= account.level <= PLAN.burst


def test_a_gateway_that_is_back_does_not_take_the_stores_for_full() -> None:
    """The account's store was empty when the gateway was killed. Messages of older gateways show the restart to it."""
    fleet = Fleet()
    for id in range(100):
        fleet.ask(0, 100.0 + 0.05 * id, id)
    now = 105.0
    fleet.worlds[0] = RecordingWorld(replace(shared_settings(), index=0), 9, now)
    fleet.worlds[0].feed(w.servers("s0", "s1", "s2", "s3"))
    for world in fleet.worlds[1:]:
        world.advance(now + 1.1)
        for text in world.take_messages():
            fleet.worlds[0].advance(now + 1.1)
            fleet.worlds[0].feed(api.PeerMessage(1, text))
    sent = sum(fleet.ask(0, now + 1.2 + 0.01 * n, 200 + n) for n in range(8))
    assert sent <= PLAN.burst / 3 + PLAN.rate * 1.3


def test_messages_of_customers_nobody_meets_do_not_pile_up() -> None:
    usage = UsageBroadcast(0.0, 3, 40.0)
    for key in range(MAX_UNKNOWN_ACCOUNTS + 500):
        usage.store_unknown_use(0.0, key, 1.0)
    assert len(usage.unknown_use) == MAX_UNKNOWN_ACCOUNTS


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(st.lists(st.floats(-100, 100), min_size=1, max_size=50))
def test_what_is_written_is_read_and_the_rest_is_kept(amounts: list[float]) -> None:
    alone = w.settings(has_counter=False)
    accounts = [
        Account(0.0, api.Request(n, "read", "small", 1.0, f"{n}", 1.0, 3), PLAN, 0.0, alone)
        for n in range(len(amounts))
    ]
    for account, amount in zip(accounts, amounts, strict=True):
        account.unreported = amount
    usage, received = UsageBroadcast(0.0, 3, 40.0), dict[int, float]()
    for now in (1.0, 2.0):
        usage.unreported_accounts = {a.counter_name: a for a in accounts}
        for key, units in usage.read_message(now, usage.write_message(now)):
            received[key] = received.get(key, 0.0) + units
    for account, amount in zip(accounts, amounts, strict=True):
        assert received.get(account.counter_name % 64**6, 0.0) + account.unreported == pytest.approx(amount)
        assert abs(account.unreported) <= UNITS_PER_STEP


def test_messages_are_no_more_than_an_inbox_takes() -> None:
    few, many = UsageBroadcast(0.0, 3, 40.0), UsageBroadcast(0.0, 300, 40.0)
    assert few.interval == 0.25 and 299 / many.interval < 40.0


# On sockets.


def test_datagrams_come_from_known_addresses_only_and_whole() -> None:
    async def main() -> None:
        received, message_received = list[tuple[int, str]](), asyncio.Event()

        def on_message(sender: int, text: str) -> None:
            received.append((sender, text))
            message_received.set()

        with (
            socket.socket(type=socket.SOCK_DGRAM) as known_sender,
            socket.socket(type=socket.SOCK_DGRAM) as unknown_sender,
        ):
            for peer in (known_sender, unknown_sender):
                peer.bind(("127.0.0.1", 0))
            with socket.socket(type=socket.SOCK_DGRAM) as probe:
                probe.bind(("127.0.0.1", 0))
                port = probe.getsockname()[1]
            here, there = f"127.0.0.1:{port}", "{}:{}".format(*known_sender.getsockname())
            peers = Peers([here, there], there, on_message)
            peers.use_socket(open_datagram_socket("127.0.0.1", port))
            peers.start_reading()
            unknown_sender.sendto(b"AAAAAAgg", ("127.0.0.1", port))
            for data in (b"x" * 257, b"", b"\xff" * 8, b"good"):
                known_sender.sendto(data, ("127.0.0.1", port))
            await message_received.wait()
            assert received == [(1, "good")]
            known_sender.setblocking(False)
            peers.broadcast("y" * 300)  # logged, not sent
            peers.broadcast("hello")
            assert await asyncio.get_running_loop().sock_recv(known_sender, 500) == b"hello"
            peers.close()
            peers.broadcast("nobody")

    run(main())


def test_a_limiter_sends_what_the_decisions_tell() -> None:
    async def main() -> None:
        sent = list[str]()
        script = Script(lambda event: [api.Broadcast("AAAAAAgg")] if isinstance(event, api.Request) else [])
        async with Limiter(script, {}) as limiter:
            await limiter.fetch(ask(ttl=50))  # without a socket for messages it is dropped
            limiter.node.broadcast = sent.append
            await limiter.fetch(ask(ttl=50))
        assert sent == ["AAAAAAgg"]

    run(main())


@pytest.mark.parametrize(
    "headers, used, units",
    [
        (b"X-Quota-Used: 130\r\nX-Units-Charged: 3\r\n", 1.3, 3.0),
        (b"X-Quota-Used: what\r\nX-Units-Charged: -1\r\n", None, None),
        (b"X-Units-Charged: 99999999999999\r\nX-Quota-Used: 0\r\n", 0.0, None),
        (b"", None, None),
    ],
)
def test_answers_tell_use_and_true_units_and_odd_ones_are_passed_over(
    headers: bytes, used: float | None, units: float | None
) -> None:
    async def main() -> None:
        origin = Origin(lambda _n: b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n%b\r\nhi" % headers)
        script = Script(forward)
        async with listening(origin.talk) as dial, Limiter(script, {"s1": dial}) as limiter:
            assert (await limiter.fetch(ask()))[2] == b"hi"
            (outcome,) = await script.until(api.Outcome)
            assert (outcome.usage_share, outcome.units) == (used, units)

    run(main())


def test_a_configuration_without_peers_has_none_and_a_wrong_one_says_so() -> None:
    raw = config("127.0.0.1:1")
    assert parse_config(raw).peers is None
    peers = {"peer_listen": "127.0.0.1:7946", "peers_all": "127.0.0.1:7947", "peers": ["127.0.0.1:7948"]}
    found = parse_config(raw | peers).peers
    assert found is not None and found.listen == ("127.0.0.1", 7946)
    with pytest.raises(ConfigError, match="not an address"):
        parse_config(raw | peers | {"peers": ["nowhere"]})
    with pytest.raises(ConfigError, match="list of addresses"):
        parse_config(raw | peers | {"peers": "127.0.0.1:1"})
