"""The file that records suspended servers and drains: a call whose record cannot be written is not acknowledged."""

from __future__ import annotations

import errno
import os
from pathlib import Path

import pytest

from cypresspulley.takeover.channel import Folder
from tests.loopback import Origin, listening, run
from tests.takeover.test_handover import Process, until


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO], ids=errno.errorcode.get)
def test_a_call_that_cannot_be_recorded_is_answered_no_until_it_can(
    error: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        async with listening(Origin().talk) as dial:
            process = await Process(tmp_path, dial).start()
            with monkeypatch.context() as patched:
                patched.setattr(Folder, "write", fail_to_write(error))
                assert (await process.service.call("suspend", "s1")).status == 503
                assert "s1" in process.gateway.load_balancer.bans, (
                    "it has taken effect, and the call may be repeated"
                )
                assert (await process.service.call("drain", "")).status == 503
            assert (await process.service.call("suspend", "s1")).status == 200
            assert (await process.service.call("drain", "")).status == 200
            process.die()
            successor = await Process(tmp_path, dial).start()
            assert successor.gateway.load_balancer.bans == {"s1"} and successor.service.lifecycle.drained
            await successor.end()

    run(main())


def fail_to_write(error: int) -> object:
    def write(_folder: Folder, _name: str, _text: str) -> None:
        raise OSError(error, os.strerror(error))

    return write


@pytest.mark.parametrize("drained", [False, True])
def test_a_ban_on_a_process_that_leaves_records_no_drain_of_its_own(drained: bool, tmp_path: Path) -> None:
    """Guards against a later start that is drained because its predecessor got a ban while it was leaving."""

    async def main() -> None:
        async with listening(Origin().talk) as dial:
            process = await Process(tmp_path, dial).start()
            if drained:
                assert (await process.service.call("drain", "")).status == 200
            process.service.leave()
            assert (await process.service.call("suspend", "s1")).status == 200
            process.die()
            later = await Process(tmp_path, dial).start()
            assert later.gateway.load_balancer.bans == {"s1"}
            assert later.service.lifecycle.drained is drained
            await later.end()

    run(main())


def test_a_drain_that_ended_beside_a_leaving_process_stays_ended(tmp_path: Path) -> None:
    """The leaving process gets calls of its successor, and writes the same record."""

    async def main() -> None:
        async with listening(Origin().talk) as dial:
            old = await Process(tmp_path, dial).start()
            assert (await old.service.call("drain", "")).status == 200
            new = await Process(tmp_path, dial).start()
            await until(lambda: old.service.lifecycle.handed_over)
            old.service.leave()
            assert (await new.service.call("activate", "")).status == 200
            assert (await new.service.call("suspend", "s1")).status == 200  # written by the old one last
            old.die()
            new.die()
            later = await Process(tmp_path, dial).start()
            assert later.gateway.load_balancer.bans == {"s1"} and not later.service.lifecycle.drained
            await later.end()

    run(main())


def test_a_successor_of_a_process_that_leaves_already_is_not_drained(tmp_path: Path) -> None:
    """The same cause in the snapshot: a start that meets a leaving process turned its clients away."""

    async def main() -> None:
        async with listening(Origin().talk) as dial:
            old = await Process(tmp_path, dial).start()
            old.service.leave()
            new = await Process(tmp_path, dial).start()
            assert new.inherited and not new.service.lifecycle.drained
            old.die()
            await new.end()

    run(main())
