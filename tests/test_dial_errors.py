"""A dial that fails by this machine's own doing says nothing of the server that it was for."""

from __future__ import annotations

import asyncio
import errno
import os

from cypresspulley import interface as api
from tests.loopback import Limiter, Script, ask, run, send_on
from tests.test_endings_clients import Peer

OWN = (
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EADDRNOTAVAIL,
    errno.EADDRINUSE,
    errno.ENETUNREACH,
    errno.ENETDOWN,
    errno.EPERM,
)
SERVERS = (errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ETIMEDOUT)


async def outcome_of(error: int) -> api.Status:
    """What the decisions are told of an attempt whose dial fails so."""
    script = Script(send_on)
    async with Limiter(script, {"s1": "127.0.0.1:1"}) as limiter:
        loop = asyncio.get_running_loop()

        async def create_connection(*_: object) -> None:
            raise OSError(error, os.strerror(error))

        made, loop.create_connection = loop.create_connection, create_connection  # type: ignore
        try:
            peer = Peer(limiter)
            peer.send(ask())
            (outcome,) = await script.until(api.Outcome)
        finally:
            loop.create_connection = made  # type: ignore
        assert limiter.upstream._open_connections == 0
        peer.socket.close()
    status: api.Status = outcome.status
    return status


def test_a_dial_that_fails_by_our_own_doing_is_no_sign_of_its_server() -> None:
    async def main() -> None:
        for error in OWN:
            assert await outcome_of(error) is api.Status.FULL, errno.errorcode[error]

    run(main())


def test_a_dial_that_its_server_or_the_way_to_it_fails_is_one() -> None:
    async def main() -> None:
        for error in SERVERS:
            assert await outcome_of(error) is api.Status.UNREACHABLE, errno.errorcode[error]

    run(main())
