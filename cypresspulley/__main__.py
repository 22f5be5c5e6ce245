"""``python -m cypresspulley``: one limiter, configured by the file that LB_CONFIG names."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import resource
import signal
import sys
import time
from collections.abc import Callable
from functools import partial
from random import Random
from typing import TYPE_CHECKING

import uvloop

from cypresspulley import interface as api
from cypresspulley.config import Config, ConfigError, configured
from cypresspulley.lifecycle import Lifecycle
from cypresspulley.net.counter import Counter, CounterClient
from cypresspulley.net.discovery import Follower
from cypresspulley.net.door import Door
from cypresspulley.net.frontend import Frontend, PathHandler
from cypresspulley.net.http import split_address
from cypresspulley.net.node import DecisionModule, Node, UnixClock
from cypresspulley.net.upstream import Upstream
from cypresspulley.operators import Operators, OperatorsError, load_operators
from cypresspulley.policy.gateway import Gateway
from cypresspulley.reload import Hangup, Reload
from cypresspulley.service import Service
from cypresspulley.settings import SocketSettings
from cypresspulley.takeover.channel import Folder

if TYPE_CHECKING:
    from cypresspulley.accesslog import LogFile
    from cypresspulley.histories.writer import AnyHistory
    from cypresspulley.net.peers import Peers
    from cypresspulley.plans.limiter import Plans
    from cypresspulley.together import Together

log = logging.getLogger("cypresspulley")

# Descriptors kept from clients and servers: 14 of a process at rest with its listener, 32 of discovery at most (15
# calls and an old watch at each of two addresses), those of the counter and of other limiters, and those being closed.
RESERVED_DESCRIPTORS = 58
DOOR_DESCRIPTORS = 80  # and for the operators' door
LARGEST_RESERVE = 0.75  # of all descriptors, where they are few
ACCEPT_FOR = 0.5  # seconds after SIGTERM for which clients still come
# SIGKILL may come so many seconds later than the longest deadline after SIGTERM, and what it finds is lost.
KILL_AFTER = 0.7
FLUSH_WITHIN = 0.2  # seconds for the answers to what even then is open
END_MARGIN = 0.2  # seconds kept back of all: a process that ends may be held up
LEAST_ANSWER = 0.02  # seconds for what was taken, at least


def answer_within(longest_deadline: float) -> float:
    """Seconds, after those in which clients still come, in which what was taken may be answered."""
    return max(LEAST_ANSWER, longest_deadline + KILL_AFTER - ACCEPT_FOR - FLUSH_WITHIN - END_MARGIN)


LOGS_A_SECOND = 20


class LogLimit(logging.Filter):
    """Drops what exceeds so many lines a second, and tells how many."""

    def __init__(self, per_second: int) -> None:
        super().__init__()
        self._limit, self._second, self._seen = per_second, 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        if (second := int(time.monotonic())) != self._second:
            dropped, self._second, self._seen = self._seen - self._limit, second, 0
            if dropped > 0:
                record.msg = f"{record.msg} (and {dropped} lines dropped before)"
        self._seen += 1
        return self._seen <= self._limit


def descriptor_limit(told: int, allowed: int) -> int:
    """How many descriptors there are: what the configuration says, or the machine allows where that is less."""
    return told if allowed == resource.RLIM_INFINITY else min(told, allowed)


def connection_share(limit: int, door: bool) -> int:
    """Connections that clients may hold, and servers as many again, of ``limit`` descriptors: the rest is kept for
    discovery, the counter and the listener, whoever fills up his own."""
    reserve = RESERVED_DESCRIPTORS + DOOR_DESCRIPTORS * door
    return max(1, (limit - min(reserve, int(LARGEST_RESERVE * limit))) // 2)


async def serve(
    config: Config,
    operators: Operators,
    clock: Callable[[], float] | None = None,
    reread: Callable[[], Config] = configured,
    watched: Callable[[Gateway], DecisionModule] | None = None,
    opened: Callable[[Service], None] | None = None,
    wall: Callable[[], float] = time.time,
    history: AnyHistory | None = None,
    hangup: Hangup | None = None,
) -> None:
    """Run one limiter until SIGTERM or SIGINT. All that it takes from the machine is the running loop, Unix time
    from ``clock`` and, at SIGHUP, the configuration from ``reread``. ``watched`` may put something between the
    decisions and the node that sees every event and action; ``opened`` gets what the operators' door calls on;
    ``wall`` is the wall clock, which may step: only what limiters do together looks at it, and writes ``history``
    where one is given; ``hangup`` may have heard SIGHUP already."""
    loop, stop, hangup = asyncio.get_running_loop(), asyncio.Event(), hangup or Hangup()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, hangup)
    loop.set_exception_handler(
        lambda _loop, context: log.error("%s", context.get("message"), exc_info=context.get("exception"))
    )
    alone = clock is None  # in a process of its own
    clock = clock or UnixClock()
    # Usual clients hold a third of all at most; what silent ones hold beyond gives way to them.
    limit = descriptor_limit(config.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
    clients = servers = connection_share(limit, config.operator is not None)
    service = Service(Lifecycle(), _folder(config))
    if opened is not None:
        opened(service)
    door = await _door(config, service)
    timing = config.timing
    upstream = Upstream(clock, timing.dial_timeout, timing.idle_timeout, servers)
    counter = _counter(config, operators)
    offer = await service.offered(clock)
    gateway = _gateway(config, clock)
    if offer is not None and not service.adopt(gateway, clock(), offer, upstream):
        gateway, offer = _gateway(config, clock), None
    decisions: DecisionModule = gateway if watched is None else watched(gateway)
    plans = None
    if operators.plans is not None:
        decisions, plans = _plans(config, operators.plans, decisions, gateway, clock)
    together = None
    if operators.fleet is not None:
        together = _together(config, operators, clock, wall, history)
        decisions = together.deciding(decisions, gateway)
        if together.closing is not None:
            service.purge = together.closing.purge
    if operators.tally is not None:
        from cypresspulley.tally import Tally

        decisions = Tally(
            decisions, operators.tally, config.settings.warm_after, lambda: upstream.dials_started
        )
    node, access_log = _node(config.settings, decisions, clock, upstream, counter, operators, together)
    if config.known is not None and offer is None:
        node.apply_listing(config.known)
    between = PeerLink(node)
    await between.follow(config)
    other = _other_front(config.settings, operators, clock)
    frontend = Frontend(node, config.settings, clients, other, time.monotonic if alone else clock)
    frontend.on_sweep = partial(node.check_wall_clock, time.time) if alone else None
    frontend.relay = upstream.relay
    try:
        if config.operator is None:
            await frontend.listen(*config.listen)
        else:
            await frontend.listen_shared(*config.listen, None if offer is None else offer.listener)
    except OSError as error:
        raise ConfigError(f"cannot listen: {error}") from None
    since = config.known.version if config.known else None
    follower = Follower(
        node.apply_listing, Random(config.seed).random, timing.discovery_pushes, node.record_discovery_contact
    )
    follower.follow(*config.discovery, since)
    if counter is not None:
        counter.start()
    if plans is not None:
        plans.start()
    if together is not None:
        try:
            await together.start()
        except OSError as error:
            raise ConfigError(f"fleet: cannot listen: {error}") from None

    def retune(settings: api.Settings, newest: SocketSettings) -> None:
        nonlocal timing
        timing = newest
        upstream.retune(timing.dial_timeout, timing.idle_timeout)
        follower.retune(timing.discovery_pushes)
        if counter is not None and settings.counter_timeout > 0:
            counter.retune(settings.counter_timeout)
        node.retune(settings)
        frontend.reader.retune(settings)
        service.retuned()

    def rewire(new: Config) -> None:
        nonlocal counter
        between.follow_later(new)
        if counter is None and (brought := _counter(new, operators)) is not None:
            counter = brought
            node.use_counter(counter)
            counter.start()
        elif counter is not None and new.counter is not None:
            counter.move(*new.counter)

    reload = Reload(config, follower, reread, retune, rewire)

    if alone:  # where many limiters share a process, what one freezes stays for good
        gc.collect()
        gc.freeze()  # what is here now stays: the collector need not walk it again
    service.serve(node, frontend, gateway, upstream, clock, offer is not None)
    log.info("ready")
    closing = together.closing if together is not None else None
    hangup.ready(reload, closing.reload if closing is not None else None)
    await stop.wait()
    log.info("stopping")
    if together is not None:
        together.leave()
    if not service.leave():
        await asyncio.sleep(ACCEPT_FOR)  # clients do not know yet: what they still open is taken and answered
    await frontend.close(answer_within(timing.longest_deadline))
    node.fail_open_requests()
    await frontend.close(FLUSH_WITHIN)
    hangup.close()
    service.close()
    if door is not None:
        door.close()
    follower.close()
    upstream.close()
    if counter is not None:
        counter.close()
    between.close()
    if plans is not None:
        await plans.close()
    if together is not None:
        await together.close()
    if access_log is not None:
        access_log.close()


def _plans(
    config: Config,
    table: tuple[str, str],
    decisions: DecisionModule,
    gateway: Gateway,
    clock: Callable[[], float],
) -> tuple[DecisionModule, Plans]:
    """The decisions by a plan book, where the operators name its writer; what is off is not even imported."""
    try:
        from cypresspulley.plans.limiter import Plans
    except ImportError as error:
        raise ConfigError(f"plans needs its extra: pip install 'cypresspulley[plans]' ({error})") from None
    try:
        address, token = split_address(table[0]), os.environ.get("FAWNSEAM_PLANS_TOKEN", "")
        # Its use is told under this name: two limiters of one name would each be taken for the other.
        name = str(config.raw.get("name") or os.environ.get("LB_NAME") or "limiter")
        plans = Plans(address, token, table[1], name, clock)
    except ValueError as error:
        raise ConfigError(f"plans: {error}") from None
    return plans.deciding(decisions, gateway, config.settings), plans


def _together(
    config: Config, operators: Operators, clock: Callable[[], float], wall: Callable[[], float],
    history: AnyHistory | None,
) -> Together:  # fmt: skip
    """What limiters do together, where the operators' file has a fleet; what is off is not even imported."""
    try:
        from cypresspulley.together import Together

        name = str(config.raw.get("name") or os.environ.get("LB_NAME") or "limiter")
        return Together(operators, name, config.settings, config.seed, clock, wall, history)
    except ImportError as error:
        raise ConfigError(f"fleet needs its extra: pip install 'cypresspulley[fleet]' ({error})") from None
    except (OperatorsError, OSError) as error:
        raise ConfigError(str(error)) from None


def _gateway(config: Config, clock: Callable[[], float]) -> Gateway:
    try:
        return Gateway(config.settings, config.seed, clock())
    except ValueError as error:
        raise ConfigError(str(error)) from None


def _folder(config: Config) -> Folder | None:
    """Where a successor finds this process: there is one where operators have a door."""
    path = os.environ.get("TMPDIR")
    if config.operator is None:
        return None
    if not path:
        log.info("takeover: TMPDIR is not set: a second process will share the port and nothing else")
        return None
    try:
        return Folder(path, f"{config.listen[0]}-{config.listen[1]}")
    except OSError as error:
        log.error("takeover: no folder to meet a successor in: %s", error)
        return None


async def _door(config: Config, service: Service) -> Door | None:
    """The operators' way in, where the configuration names one: before anything slow, so that it says no meanwhile."""
    if config.operator is None:
        return None
    door = Door(service.call)
    try:
        await door.listen(*config.operator)
    except OSError as error:
        raise ConfigError(f"operator: cannot listen at {config.operator}: {error}") from None
    return door


def _counter(config: Config, operators: Operators) -> Counter | None:
    """The platform's keeper, or the engine that the operators name in its place."""
    timeout = config.settings.counter_timeout
    if not timeout or operators.keeper is None:
        return CounterClient(*config.counter, timeout) if config.counter and timeout else None
    try:
        from cypresspulley.keeper.engine import EngineCounter, engine_url
    except ImportError as error:
        raise ConfigError(f"keeper needs its extra: pip install 'cypresspulley[keeper]' ({error})") from None
    try:
        return EngineCounter(engine_url(operators.keeper), timeout)
    except ValueError as error:
        raise ConfigError(f"keeper.url: {error}") from None


def _other_front(
    settings: api.Settings, operators: Operators, clock: Callable[[], float]
) -> PathHandler | None:
    """GraphQL's way in, where the operators want it; what is off is not even imported."""
    if operators.graphql is None:
        return None
    try:
        from cypresspulley.graphql.handler import GraphQLHandler
        from cypresspulley.graphql.options import load_document_cache, options_from
    except ImportError as error:
        raise ConfigError(
            f"graphql needs its extra: pip install 'cypresspulley[graphql]' ({error})"
        ) from None
    path, table = operators.graphql
    try:
        options = options_from(table, path)
        return GraphQLHandler(settings, options, load_document_cache(options), clock)
    except ValueError as error:
        raise ConfigError(str(error)) from None


class PeerLink:
    """The way to the other limiters, where the settings allow messages and the configuration names one."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._peers: Peers | None = None
        self._listen: tuple[str, int] | None = None
        self._task: asyncio.Task[None] | None = None

    async def follow(self, config: Config) -> None:
        """Go on by a configuration; ``ConfigError`` where its address cannot be had."""
        addresses = config.peers if config.settings.may_message_peers else None
        if addresses is None or addresses.listen != self._listen:
            self._leave()
        if addresses is None:
            return
        if self._peers is not None:
            return self._peers.follow(list(addresses.peers), addresses.everyone)
        from cypresspulley.net.peers import Peers

        peers = Peers(
            list(addresses.peers),
            addresses.everyone,
            lambda sender, text: self._node.feed(api.PeerMessage(sender, text)),
        )
        try:
            await peers.listen(*addresses.listen)
        except OSError as error:
            raise ConfigError(f"cannot listen for messages of limiters: {error}") from None
        self._peers, self._listen, self._node.broadcast = peers, addresses.listen, peers.tell

    def follow_later(self, config: Config) -> None:
        """The same from a reload: an address that cannot be had is told in the log, and messages are off."""
        before, self._task = self._task, None

        async def in_turn() -> None:
            if before is not None:
                await asyncio.wait([before])
            try:
                await self.follow(config)
            except ConfigError as error:
                log.error("%s", error)

        self._task = asyncio.get_running_loop().create_task(in_turn())

    def _leave(self) -> None:
        if self._peers is not None:
            self._peers.close()
        self._peers, self._listen, self._node.broadcast = None, None, None

    def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
        self._leave()


def _node(
    settings: api.Settings, gateway: DecisionModule, clock: Callable[[], float], upstream: Upstream,
    counter: Counter | None, operators: Operators, together: Together | None,
) -> tuple[Node, LogFile | None]:  # fmt: skip
    """The node, with an access log where the operators want one; what is off is not even imported."""
    if operators.access_log is None:
        plain = Node if together is None else together.node(Node)
        return plain(settings, gateway, clock, upstream, counter), None
    from cypresspulley.accesslog import LogFile, LoggedNode

    try:
        file = LogFile(operators.access_log)
    except OSError as error:
        raise ConfigError(f"cannot write the access log: {error}") from None
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, file.reopen)
    logged = LoggedNode if together is None else together.node(LoggedNode)
    return logged(settings, gateway, clock, upstream, counter, file), file


def _operators(arguments: list[str]) -> Operators:
    if not arguments:
        return Operators()
    if len(arguments) != 2 or arguments[0] != "--operators":
        raise ConfigError("expected no arguments, or --operators FILE")
    try:
        return load_operators(arguments[1])
    except OperatorsError as error:
        raise ConfigError(str(error)) from None


def main(arguments: list[str] | None = None) -> int:
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(LogLimit(LOGS_A_SECOND))
    hangup = Hangup()
    signal.signal(
        signal.SIGHUP, lambda *_: hangup()
    )  # until the loop handles it: it must never end the process
    logging.basicConfig(level=logging.INFO, handlers=[handler], format="%(asctime)s %(name)s: %(message)s")
    try:
        operators = _operators(sys.argv[1:] if arguments is None else arguments)
        uvloop.run(serve(configured(), operators, hangup=hangup))
    except ConfigError as error:
        print(f"cypresspulley: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
