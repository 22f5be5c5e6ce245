"""A successor that takes too long between the offer and its first request, over loopback sockets."""

from __future__ import annotations

from pathlib import Path

import pytest

from cypresspulley.policy.store_share import StoreShare
from cypresspulley.takeover import handover
from cypresspulley.takeover.states import STATE_TIMEOUT_SECONDS, TakeoverState
from tests.loopback import Origin, listening, run
from tests.takeover.test_failed_steps import answered, check_next_upgrade
from tests.takeover.test_handover import Process, accepting, until


class SlowProcess(Process):
    """A process that holds its offer and doesn't serve before ``serve`` is called."""

    def __init__(self, folder: Path, dial: str) -> None:
        super().__init__(folder, dial)
        self._serve = self.service.serve
        self.service.serve = lambda *arguments: None  # type: ignore[method-assign]

    def serve(self) -> None:
        self._serve(self.node, self.frontend, self.gateway, self.upstream, self.clock, self.inherited)


@pytest.fixture(autouse=True)
def short_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(STATE_TIMEOUT_SECONDS, TakeoverState.OFFERED, 0.2)
    monkeypatch.setattr(handover, "LATE_AFTER_SECONDS", 0.1)


async def start_late(folder: Path, dial: str) -> tuple[Process, SlowProcess]:
    """Return a process that serves, and a successor for which it has waited too long."""
    old = await Process(folder, dial).start()
    assert await answered(old)
    new = SlowProcess(folder, dial)
    await new.start()
    new.frontend.pause()  # it hasn't begun to accept
    await until(lambda: old.machine.state is TakeoverState.LATE)
    return old, new


def test_the_old_process_serves_while_the_new_one_is_late_and_hands_over_when_it_serves(
    tmp_path: Path,
) -> None:
    """Guards against two processes that both refill every store, because the old one had given the new one up."""

    async def main() -> None:
        async with listening(Origin().talk) as dial:
            old, new = await start_late(tmp_path, dial)
            assert accepting(old) and await answered(old)
            assert old.gateway.quotas.share is StoreShare.REFILLED
            began = new.clock()
            new.serve()
            new.frontend.resume()
            await until(lambda: old.service.lifecycle.handed_over)
            assert not accepting(old) and old.gateway.quotas.share.value == "retained"
            accounts = new.gateway.quotas.accounts.values()
            assert accounts and all(account.refilled_at >= began for account in accounts)
            assert await answered(new)
            await old.end()
            await new.end()

    run(main())


def test_a_late_process_that_dies_has_drawn_nothing(tmp_path: Path) -> None:
    async def main() -> None:
        async with listening(Origin().talk) as dial:
            old, new = await start_late(tmp_path, dial)
            lent = {key: account.lent for key, account in old.gateway.quotas.accounts.items()}
            assert lent and None not in lent.values()
            kept = {key: account.level for key, account in old.gateway.quotas.accounts.items()}
            new.die()
            await until(lambda: old.machine.state is TakeoverState.WATCHING)
            for key, account in old.gateway.quotas.accounts.items():
                given = lent[key]
                assert given is not None and account.level >= kept[key] + given.level - 1e-9
            await check_next_upgrade(tmp_path, dial, old)

    run(main())


def test_a_further_process_replaces_one_that_is_late(tmp_path: Path) -> None:
    async def main() -> None:
        async with listening(Origin().talk) as dial:
            old, late = await start_late(tmp_path, dial)
            await check_next_upgrade_beside(tmp_path, dial, old)
            late.die()

    run(main())


async def check_next_upgrade_beside(folder: Path, dial: str, old: Process) -> None:
    new = await Process(folder, dial).start()
    assert new.inherited
    await until(lambda: old.service.lifecycle.handed_over)
    assert await answered(new)
    await old.end()
    await new.end()
