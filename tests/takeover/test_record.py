"""The file that records suspended servers and drains: a call whose record cannot be written is not acknowledged."""

from __future__ import annotations

import errno
import os
from pathlib import Path

import pytest

from cypresspulley.takeover.channel import Folder
from tests.loopback import Origin, listening, run
from tests.takeover.test_handover import Process


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
