"""Runs one limiter as ``python -m cypresspulley``, configured by the file that LB_CONFIG names."""

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
from random import Random
from typing import TYPE_CHECKING

import uvloop

from cypresspulley import interface as api
from cypresspulley.config import Config, ConfigError, load_config_from_env
from cypresspulley.descriptors import MIN_FULL_LIMIT, descriptor_limit, divide_descriptors, find_least_limit
from cypresspulley.lifecycle import Lifecycle
from cypresspulley.memory import BYTES_PER_MEGABYTE, MemoryBudget, divide_memory
from cypresspulley.memory import find_least_limit as find_least_memory
from cypresspulley.net.admin import AdminServer
from cypresspulley.net.client_request import PathHandler
from cypresspulley.net.counter import Counter, CounterClient
from cypresspulley.net.discovery import DiscoveryClient
from cypresspulley.net.frontend import Frontend
from cypresspulley.net.http import split_address
from cypresspulley.net.node import DecisionModule, Node, UnixClock
from cypresspulley.net.peer_link import PeerLink
from cypresspulley.net.upstream import Upstream
from cypresspulley.operators import Operators, OperatorsError, load_operators
from cypresspulley.policy.gateway import Gateway
from cypresspulley.reload import ConfigReloader, SighupHandler
from cypresspulley.resident import MemoryTrimmer, resident_bytes
from cypresspulley.service import Service
from cypresspulley.settings import SocketSettings
from cypresspulley.takeover.channel import Folder

if TYPE_CHECKING:
    from cypresspulley.accesslog import LogFile
    from cypresspulley.histories.writer import AnyHistory
    from cypresspulley.plans.limiter import PlanBookClient
    from cypresspulley.together import FleetServices

log = logging.getLogger("cypresspulley")

ACCEPT_AFTER_SIGTERM_SECONDS = 0.5  # new connections are accepted for this long after SIGTERM
# SIGKILL may follow SIGTERM after the longest deadline plus this time; requests open by then are lost.
KILL_GRACE_SECONDS = 0.7
FLUSH_TIMEOUT_SECONDS = 0.2  # for sending the responses to requests that are failed at the end
EXIT_MARGIN_SECONDS = 0.2  # held back because the exit of a process may be delayed
MIN_ANSWER_SECONDS = 0.02  # lower bound of the time for answering accepted requests


def answer_timeout(longest_deadline: float) -> float:
    """Return the seconds left for answering accepted requests once no new connections are accepted.

    ``longest_deadline`` is the longest deadline of a request in seconds.
    """
    return max(
        MIN_ANSWER_SECONDS,
        longest_deadline
        + KILL_GRACE_SECONDS
        - ACCEPT_AFTER_SIGTERM_SECONDS
        - FLUSH_TIMEOUT_SECONDS
        - EXIT_MARGIN_SECONDS,
    )


MAX_LOG_LINES_PER_SECOND = 20
MAX_LOG_RECORD_CHARACTERS = 4000
LOG_FORMAT = "%(asctime)s %(name)s: %(message)s"


class BoundedFormatter(logging.Formatter):
    """Cuts a record, with its traceback, at a number of characters."""

    def format(self, record: logging.LogRecord) -> str:
        text = super().format(record)
        if len(text) <= MAX_LOG_RECORD_CHARACTERS:
            return text
        return (
            f"{text[:MAX_LOG_RECORD_CHARACTERS]}... ({len(text) - MAX_LOG_RECORD_CHARACTERS} more characters)"
        )


class LogRateLimiter(logging.Filter):
    """Drops the log lines beyond a number per second; the next second's first line reports how many."""

    def __init__(self, per_second: int) -> None:
        super().__init__()
        self._limit = per_second
        self._second = 0
        self._lines_in_second = 0

    def filter(self, record: logging.LogRecord) -> bool:
        if (second := int(time.monotonic())) != self._second:
            dropped, self._second, self._lines_in_second = self._lines_in_second - self._limit, second, 0
            if dropped > 0:
                record.msg = f"{record.msg} (and {dropped} lines dropped before)"
        self._lines_in_second += 1
        return self._lines_in_second <= self._limit


async def serve(
    config: Config,
    operators: Operators,
    clock: Callable[[], float] | None = None,
    read_config: Callable[[], Config] = load_config_from_env,
    wrap_gateway: Callable[[Gateway], DecisionModule] | None = None,
    on_service_created: Callable[[Service], None] | None = None,
    wall_clock: Callable[[], float] = time.time,
    history: AnyHistory | None = None,
    sighup_handler: SighupHandler | None = None,
    read_resident_bytes: Callable[[], int] | None = None,
) -> None:
    """Run one limiter until SIGTERM or SIGINT.

    The limiter depends on the machine only through the running loop, Unix time from ``clock`` and, at SIGHUP, the
    configuration from ``read_config``. ``wrap_gateway`` may put an observer of every event and action between the
    decisions and the node. ``on_service_created`` receives the service that answers the operators' calls.
    ``wall_clock`` may step: only the fleet services read it, and they write ``history`` if one is given.
    ``sighup_handler`` may have received SIGHUP already. ``read_resident_bytes`` returns the memory of this process;
    None if others share it, and then its limit is not applied. Raise ``ConfigError`` if the configuration cannot be
    run.
    """
    loop, stop, sighup_handler = (
        asyncio.get_running_loop(),
        asyncio.Event(),
        sighup_handler or SighupHandler(),
    )
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, sighup_handler)
    loop.set_exception_handler(
        lambda _loop, context: log.error("%s", context.get("message"), exc_info=context.get("exception"))
    )
    owns_process = clock is None  # False if several limiters run in one process
    clock = clock or UnixClock()
    limit = descriptor_limit(config.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
    if limit < (least := find_least_limit(config.operator is not None, operators)):
        raise ConfigError(f"limits.sockets, or the process's limit: expected at least {least}, got {limit}")
    if limit < MIN_FULL_LIMIT:
        log.warning("%d descriptors: below %d clients get less than a third of them", limit, MIN_FULL_LIMIT)
    budget = divide_descriptors(limit, config.operator is not None, operators)
    service = Service(Lifecycle(), _open_takeover_folder(config))
    if on_service_created is not None:
        on_service_created(service)
    admin_server = await _start_admin_server(config, service, budget.admin_connections)
    timing = config.timing
    upstream = Upstream(clock, timing.dial_timeout, timing.idle_timeout, budget.servers)
    counter = _build_counter(config, operators)
    offer = await service.wait_for_offer(clock)
    gateway = _build_gateway(config, clock)
    if offer is not None and not service.adopt(gateway, clock(), offer, upstream):
        gateway, offer = _build_gateway(config, clock), None
    decisions: DecisionModule = gateway if wrap_gateway is None else wrap_gateway(gateway)
    plans = None
    if operators.plans is not None:
        decisions, plans = _connect_plan_book(config, operators.plans, decisions, gateway, clock)
    fleet_services = None
    if operators.fleet is not None:
        fleet_services = _build_fleet_services(config, operators, clock, wall_clock, history)
        decisions = fleet_services.wrap(decisions, gateway)
        if fleet_services.closing is not None:
            service.purge = fleet_services.closing.purge
    if operators.tally is not None:
        from cypresspulley.tally import Tally

        decisions = Tally(
            decisions, operators.tally, config.settings.warm_after, lambda: upstream.dials_started
        )
    node, access_log = _build_node(
        config.settings, decisions, clock, upstream, counter, operators, fleet_services
    )
    if config.known is not None and offer is None:
        node.apply_listing(config.known)
    service.peer_link = peer_link = PeerLink(node)
    peer_link.start(config, None if offer is None else offer.peer_socket)
    graphql_handler = _build_graphql_handler(config.settings, operators, clock)
    frontend = Frontend(
        node,
        config.settings,
        budget.clients,
        graphql_handler,
        time.monotonic if owns_process else clock,
        read_resident_bytes,
    )
    at_rest = 0 if read_resident_bytes is None else read_resident_bytes()
    if read_resident_bytes is not None:
        memory = _divide_memory(config.memory_mb, at_rest, budget.clients)
        gateway.quotas.max_accounts = memory.accounts

        def share_memory(processes: int) -> None:
            shared = divide_memory(config.memory_mb * BYTES_PER_MEGABYTE, at_rest, budget.clients, processes)
            frontend.memory.limit_bytes = shared.request_bytes
            upstream.relay.limit_bytes = shared.transfer_bytes

        service.share_memory = share_memory
        share_memory(1 if offer is None else 2)
    trimmer = None if read_resident_bytes is None else MemoryTrimmer(at_rest, read_resident_bytes)

    def sweep() -> None:
        node.check_wall_clock(time.time)
        if trimmer is not None:
            trimmer.check(time.monotonic())

    frontend.on_sweep = sweep if owns_process else None
    frontend.relay, frontend.read_scheduler = upstream.relay, upstream.read_scheduler
    try:
        if config.operator is None:
            await frontend.listen(*config.listen)
        else:
            await frontend.listen_shared(*config.listen, None if offer is None else offer.listener)
    except OSError as error:
        raise ConfigError(f"cannot listen: {error}") from None
    known_version = config.known.version if config.known else None
    discovery_client = DiscoveryClient(
        node.apply_listing, Random(config.seed).random, timing.discovery_pushes, node.record_discovery_contact
    )
    discovery_client.follow(*config.discovery, known_version)
    if counter is not None:
        counter.start()
    if plans is not None:
        plans.start()
    if fleet_services is not None:
        try:
            await fleet_services.start()
        except OSError as error:
            raise ConfigError(f"fleet: cannot listen: {error}") from None

    def retune(settings: api.Settings, new_timing: SocketSettings) -> None:
        nonlocal timing
        timing = new_timing
        upstream.retune(timing.dial_timeout, timing.idle_timeout)
        discovery_client.set_pushed(timing.discovery_pushes)
        if counter is not None and settings.counter_timeout > 0:
            counter.set_timeout(settings.counter_timeout)
        node.retune(settings)
        frontend.reader.retune(settings)
        if graphql_handler is not None:
            graphql_handler.retune(settings)

    def apply_addresses(new: Config) -> None:
        nonlocal counter
        peer_link.apply(new)
        if counter is None and (new_counter := _build_counter(new, operators)) is not None:
            counter = new_counter
            node.use_counter(counter)
            counter.start()
        elif counter is not None and new.counter is not None:
            counter.move(*new.counter)

    reload = ConfigReloader(config, discovery_client, read_config, retune, apply_addresses)

    if owns_process:  # in a shared process, objects frozen by one limiter would never be freed
        gc.collect()
        gc.freeze()  # the objects of the start live as long as the process, so the collector can skip them
    service.serve(node, frontend, gateway, upstream, clock, offer is not None)
    log.info("ready")
    closing = fleet_services.closing if fleet_services is not None else None
    sighup_handler.ready(reload, closing.reload if closing is not None else None)
    await stop.wait()
    log.info("stopping")
    if fleet_services is not None:
        fleet_services.leave()
    peer_link.leave()
    if not service.leave():
        # Clients have not been notified of the shutdown yet: connections that they still open are accepted and served.
        await asyncio.sleep(ACCEPT_AFTER_SIGTERM_SECONDS)
    service.stop_offering()
    await frontend.close(answer_timeout(timing.longest_deadline))
    node.fail_open_requests()
    await frontend.close(FLUSH_TIMEOUT_SECONDS)
    sighup_handler.close()
    service.close()
    if admin_server is not None:
        admin_server.close()
    discovery_client.close()
    upstream.close()
    if counter is not None:
        counter.close()
    peer_link.close()
    if plans is not None:
        await plans.close()
    if fleet_services is not None:
        await fleet_services.close()
    if access_log is not None:
        access_log.close()


def _divide_memory(limit_mb: int, at_rest: int, connections: int) -> MemoryBudget:
    """Divide the memory that the configuration allows. Raise ``ConfigError`` if no limiter works with it."""
    if limit_mb < (least := find_least_memory(at_rest)):
        raise ConfigError(f"limits.memory_mb: expected at least {least}, got {limit_mb}")
    return divide_memory(limit_mb * BYTES_PER_MEGABYTE, at_rest, connections)


def _connect_plan_book(
    config: Config,
    table: tuple[str, str],
    decisions: DecisionModule,
    gateway: Gateway,
    clock: Callable[[], float],
) -> tuple[DecisionModule, PlanBookClient]:
    """Return the decisions wrapped with a plan book, and the client of its writer.

    The module is imported only if the operators configured plans. Raise ``ConfigError``.
    """
    try:
        from cypresspulley.plans.limiter import PlanBookClient
    except ImportError as error:
        raise ConfigError(f"plans needs its extra: pip install 'cypresspulley[plans]' ({error})") from None
    try:
        address, token = split_address(table[0]), os.environ.get("FAWNSEAM_PLANS_TOKEN", "")
        # Usage is reported under this name, so two limiters with the same name could not be distinguished.
        name = str(config.raw.get("name") or os.environ.get("LB_NAME") or "limiter")
        plans = PlanBookClient(address, token, table[1], name, clock)
    except ValueError as error:
        raise ConfigError(f"plans: {error}") from None
    return plans.wrap_decisions(decisions, gateway, config.settings), plans


def _build_fleet_services(
    config: Config, operators: Operators, clock: Callable[[], float], wall_clock: Callable[[], float],
    history: AnyHistory | None,
) -> FleetServices:  # fmt: skip
    """Return the services that limiters provide together as a fleet.

    The module is imported only if the operators' file has a fleet. Raise ``ConfigError``.
    """
    try:
        from cypresspulley.together import FleetServices

        name = str(config.raw.get("name") or os.environ.get("LB_NAME") or "limiter")
        return FleetServices(operators, name, config.settings, config.seed, clock, wall_clock, history)
    except ImportError as error:
        raise ConfigError(f"fleet needs its extra: pip install 'cypresspulley[fleet]' ({error})") from None
    except (OperatorsError, OSError) as error:
        raise ConfigError(str(error)) from None


def _build_gateway(config: Config, clock: Callable[[], float]) -> Gateway:
    try:
        return Gateway(config.settings, config.seed, clock())
    except ValueError as error:
        raise ConfigError(str(error)) from None


def _open_takeover_folder(config: Config) -> Folder | None:
    """Return the folder in which a successor finds this process; None without the operators' interface."""
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


async def _start_admin_server(config: Config, service: Service, max_connections: int) -> AdminServer | None:
    """Start the operators' interface if one is configured.

    It starts before any slow step, so that it answers "not ready" meanwhile.
    """
    if config.operator is None:
        return None
    admin_server = AdminServer(service.call, max_connections)
    try:
        await admin_server.listen(*config.operator)
    except OSError as error:
        raise ConfigError(f"operator: cannot listen at {config.operator}: {error}") from None
    return admin_server


def _build_counter(config: Config, operators: Operators) -> Counter | None:
    """Return a client of the platform's counter, or of the storage engine that the operators configured instead."""
    timeout = config.settings.counter_timeout
    if not timeout or operators.keeper is None:
        return CounterClient(*config.counter, timeout) if config.counter and timeout else None
    try:
        from cypresspulley.keeper.engine import EngineCounter, parse_engine_url
    except ImportError as error:
        raise ConfigError(f"keeper needs its extra: pip install 'cypresspulley[keeper]' ({error})") from None
    try:
        return EngineCounter(parse_engine_url(operators.keeper), timeout)
    except ValueError as error:
        raise ConfigError(f"keeper.url: {error}") from None


def _build_graphql_handler(
    settings: api.Settings, operators: Operators, clock: Callable[[], float]
) -> PathHandler | None:
    """Return the handler of GraphQL requests, or None if the operators did not configure it.

    The modules are imported only if it is configured. Raise ``ConfigError``.
    """
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


def _build_node(
    settings: api.Settings, gateway: DecisionModule, clock: Callable[[], float], upstream: Upstream,
    counter: Counter | None, operators: Operators, fleet_services: FleetServices | None,
) -> tuple[Node, LogFile | None]:  # fmt: skip
    """Return the node, and the access log if the operators configured one.

    The access log's module is imported only in that case. Raise ``ConfigError`` if its file cannot be opened.
    """
    if operators.access_log is None:
        node_class = Node if fleet_services is None else fleet_services.node(Node)
        return node_class(settings, gateway, clock, upstream, counter), None
    from cypresspulley.accesslog import LogFile, LoggedNode

    try:
        file = LogFile(operators.access_log)
    except OSError as error:
        raise ConfigError(f"cannot write the access log: {error}") from None
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, file.reopen)
    logged_class = LoggedNode if fleet_services is None else fleet_services.node(LoggedNode)
    return logged_class(settings, gateway, clock, upstream, counter, file), file


def _load_operators(arguments: list[str]) -> Operators:
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
    handler.addFilter(LogRateLimiter(MAX_LOG_LINES_PER_SECOND))
    sighup_handler = SighupHandler()
    signal.signal(
        signal.SIGHUP, lambda *_: sighup_handler()
    )  # until the loop handles SIGHUP, whose default action would end the process
    handler.setFormatter(BoundedFormatter(LOG_FORMAT))
    logging.basicConfig(level=logging.INFO, handlers=[handler])
    try:
        operators = _load_operators(sys.argv[1:] if arguments is None else arguments)
        config = load_config_from_env()
        uvloop.run(
            serve(config, operators, sighup_handler=sighup_handler, read_resident_bytes=resident_bytes)
        )
    except ConfigError as error:
        print(f"cypresspulley: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
