"""Mutants of the takeover: each is convicted by a check that the code as it is passes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
import uvloop

from cypresspulley.policy.quota import Quotas
from cypresspulley.takeover import snapshot
from cypresspulley.takeover.handover import Peer
from tests.loopback import Origin, listening
from tests.takeover.test_failed_steps import check_next_upgrade, fail_once
from tests.takeover.test_handover import Process, until
from tests.takeover.test_terms_table import (
    test_terms_and_stores_hold_over_an_upgrade_and_the_one_after_it as check,
)

HANG_SECONDS = 1.0  # a process that doesn't accept again never does


def is_convicted(change: str, moment: str, end: str) -> bool:
    try:
        check(change, moment, end)
    except (AssertionError, KeyError):
        return True
    return False


@pytest.mark.parametrize("change", ["version halved", "reservation begins"])
def test_an_undo_by_remembered_terms_is_convicted(change: str, monkeypatch: pytest.MonkeyPatch) -> None:
    hand_over, count_lent_as_used = Quotas.hand_over, Quotas.count_lent_as_used
    remembered = dict[Quotas, dict[Any, Any]]()

    def remember(quotas: Quotas) -> None:
        remembered[quotas] = {key: account.terms for key, account in quotas.accounts.items()}
        hand_over(quotas)

    def put_back(quotas: Quotas, now: float) -> None:
        count_lent_as_used(quotas, now)
        for key, account in quotas.accounts.items():
            account.terms = account.plan = remembered[quotas][key]

    assert not is_convicted(change, "handed over", "killed")
    monkeypatch.setattr(Quotas, "hand_over", remember)
    monkeypatch.setattr(Quotas, "count_lent_as_used", put_back)
    assert is_convicted(change, "handed over", "killed")


def test_a_restore_that_drops_an_unknown_plan_is_convicted(monkeypatch: pytest.MonkeyPatch) -> None:
    restore = snapshot._restore_account

    def drop(quotas: Quotas, now: float, request: Any, values: Any, window: Any) -> None:
        if request.plan in quotas.plans.current:
            restore(quotas, now, request, values, window)

    assert not is_convicted("nothing", "before", "old one leaves")
    monkeypatch.setattr(snapshot, "_restore_account", drop)
    assert is_convicted("nothing", "before", "old one leaves")


def test_a_successor_that_holds_whole_stores_beside_its_predecessor_is_convicted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Quotas, "hand_over", lambda quotas: None)
    assert is_convicted("nothing", "before", "SIGTERM")


def end_transition(peer: Peer, _action: object, step: Callable[[], object]) -> bool:
    step()
    return True


@pytest.mark.parametrize("is_mutant", [False, True])
def test_an_action_that_raises_in_the_middle_is_convicted(
    is_mutant: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    if is_mutant:
        monkeypatch.setattr(Peer, "_try_step", end_transition)

    async def main() -> None:
        async with listening(Origin().talk) as dial:
            old, new = [await Process(tmp_path, dial).start() for _ in range(2)]
            await until(lambda: old.service.lifecycle.handed_over)
            fail_once(monkeypatch, snapshot.StateSplit, "undo", KeyError("a plan"))
            new.die()
            if not is_mutant:
                return await check_next_upgrade(tmp_path, dial, old)
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(check_next_upgrade(tmp_path, dial, old), HANG_SECONDS)

    uvloop.run(main())
