"""A dial that fails because of this machine must not count against the server that it was for."""

from __future__ import annotations

import asyncio
import errno
import os

from cypresspulley import interface as api
from tests.loopback import Limiter, Script, ask, forward, run
from tests.test_endings_clients import Peer

LOCAL_ERRNOS = (
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EADDRNOTAVAIL,
    errno.EADDRINUSE,
    errno.ENETUNREACH,
    errno.ENETDOWN,
    errno.EPERM,
)
SERVER_ERRNOS = (errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ETIMEDOUT)


async def outcome_of(error: int) -> api.Status:
    """Return the status that the decision module gets for an attempt whose dial fails with this errno."""
    script = Script(forward)
    async with Limiter(script, {"s1": "127.0.0.1:1"}) as limiter:
        loop = asyncio.get_running_loop()

        async def create_connection(*_: object) -> None:
            raise OSError(error, os.strerror(error))

        original, loop.create_connection = loop.create_connection, create_connection  # type: ignore
        try:
            peer = Peer(limiter)
            peer.send(ask())
            (outcome,) = await script.until(api.Outcome)
        finally:
            loop.create_connection = original  # type: ignore
        assert limiter.upstream._open_connections == 0
        peer.socket.close()
    status: api.Status = outcome.status
    return status


def test_a_dial_that_fails_by_our_own_doing_is_no_sign_of_its_server() -> None:
    async def main() -> None:
        for error in LOCAL_ERRNOS:
            assert await outcome_of(error) is api.Status.FULL, errno.errorcode[error]

    run(main())


def test_a_dial_that_its_server_or_the_way_to_it_fails_is_one() -> None:
    async def main() -> None:
        for error in SERVER_ERRNOS:
            assert await outcome_of(error) is api.Status.UNREACHABLE, errno.errorcode[error]

    run(main())
