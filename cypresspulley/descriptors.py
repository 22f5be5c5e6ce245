"""Shares of the file descriptors: how many each part of a limiter may hold. No I/O.

Clients that wait for an answer hold a third of the descriptors at most, and each of them may hold a connection to a
server, so clients and servers get a third each at every limit from ``MIN_FULL_LIMIT`` on. What else is open fits into
the rest. The operators' interface takes what remains of it: callers beyond its share wait in the accept queue.
"""

from __future__ import annotations

import resource
from dataclasses import dataclass

from cypresspulley.operators import Operators

MIN_FULL_LIMIT = 256  # descriptors; below it the shares shrink in proportion


@dataclass(frozen=True, slots=True)
class Consumer:
    """A part of the limiter that holds descriptors beside connections of clients, servers and operators."""

    name: str
    most: int  # descriptors at once
    at_bound: str


ALWAYS_OPEN = (
    Consumer("process: streams, event loop, signals, clients' listener", 18, "constant"),
    Consumer("discovery: calls and an old watch at two addresses", 32, "no further call is made"),
    Consumer("counter: a connection at each of two addresses", 2, "the old one is closed"),
    Consumer("limiters' messages: a socket, and the next one", 2, "the old one is closed"),
    Consumer("connections being accepted or closed", 4, "one is accepted in each iteration of the loop"),
)
# By the key of the operators' file that switches it on.
OPTIONAL = {
    "access_log": Consumer("access log: the file, and the next one", 2, "the old one is closed"),
    "history": Consumer("history of this process", 1, "constant"),
    "fleet": Consumer("fleet: its socket", 1, "constant"),
    "plans": Consumer("plan book: the follower's connection, the exporter's", 2, "constant"),
}
# With the operators' interface: its listener, a connection being accepted, and for a takeover the folder, a listener, a
# channel to either side and a descriptor being passed.
ADMIN_BASE_DESCRIPTORS = 7
MAX_ADMIN_DESCRIPTORS = 80
MIN_ADMIN_CONNECTIONS = 8
MAX_ADMIN_CONNECTIONS = 64
WORKING_CONNECTIONS = 5  # to a client, a server, discovery, the counter, and a socket for limiters' messages
MAX_RESERVED_SHARE = 0.75  # of a low limit, so that some are left for clients and servers


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """The number of connections that each group may hold at once."""

    clients: int
    servers: int
    admin_connections: int  # of the operators' interface; 0 if there is none


def descriptor_limit(configured: int, rlimit: int) -> int:
    """Return the number of usable descriptors: the configured one, or the resource limit if that is lower."""
    return configured if rlimit == resource.RLIM_INFINITY else min(configured, rlimit)


def count_reserved(operators: Operators) -> int:
    """Return the descriptors that neither clients, servers nor the operators' interface may use."""
    enabled = [each for key, each in OPTIONAL.items() if getattr(operators, key) is not None]
    return sum(each.most for each in (*ALWAYS_OPEN, *enabled))


def find_least_limit(has_admin_server: bool, operators: Operators) -> int:
    """Return the descriptors without which a limiter cannot work at all. Full shares take ``MIN_FULL_LIMIT``."""
    always = ALWAYS_OPEN[0].most + ALWAYS_OPEN[-1].most + WORKING_CONNECTIONS
    optional = count_reserved(operators) - count_reserved(Operators())
    return always + optional + has_admin_server * (ADMIN_BASE_DESCRIPTORS + 1)


def divide_descriptors(limit: int, has_admin_server: bool, operators: Operators) -> DescriptorBudget:
    """Divide ``limit`` descriptors; servers may hold as many connections as clients."""
    reserved = count_reserved(operators)
    if not has_admin_server:
        share = _connection_share(limit, reserved)
        return DescriptorBudget(share, share, 0)
    third = -(-limit // 3)
    admin = min(MAX_ADMIN_DESCRIPTORS, limit - 2 * third - reserved)
    admin = max(ADMIN_BASE_DESCRIPTORS + MIN_ADMIN_CONNECTIONS, admin)
    share = _connection_share(limit, reserved + admin)
    return DescriptorBudget(share, share, min(MAX_ADMIN_CONNECTIONS, admin - ADMIN_BASE_DESCRIPTORS))


def _connection_share(limit: int, reserved: int) -> int:
    return max(1, (limit - min(reserved, int(MAX_RESERVED_SHARE * limit))) // 2)
