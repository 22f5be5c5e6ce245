"""The quota audit tells requests within quota from those over it, and charges only sent ones that are within."""

from __future__ import annotations

from typing import Any

from benchmarks.quota_audit import Audit, Audited
from cypresspulley import interface as api
from cypresspulley.rehearsal.scenario import PlanRow
from tests import world as w

PLAN = PlanRow(name="small", share=1, rate=1, burst=2)


def test_only_what_is_sent_inside_takes_units() -> None:
    audit = Audit((PLAN,))
    day = (0.0, "sent"), (0.0, "refused: gate"), (0.0, "sent"), (0.0, "sent"), (0.5, "sent"), (1.0, "sent")
    for now, decision in day:
        audit.record_decision(now, w.request(1, plan="small"), decision)
    assert audit.decisions == {
        ("small", "sent", True): 3, ("small", "refused: gate", True): 1, ("small", "sent", False): 2,
    }  # fmt: skip


def test_a_try_counts_once_by_what_became_of_it_first() -> None:
    reported = list[tuple[int, str]]()

    answers: dict[int, list[api.Action]] = {
        1: [api.Send(1, "s0", 1.0)],
        2: [api.Refuse(2, 0.1, "quota", -1.0)],
    }

    class Scripted:
        def handle(self, now: float, event: Any) -> list[api.Action]:
            return answers.get(event.id, [])

    audited = Audited(Scripted(), lambda _now, request, decision: reported.append((request.id, decision)))  # type: ignore[arg-type]
    for id in (1, 2, 3):
        audited.handle(0.0, w.request(id))
    audited.handle(0.0, api.BodyProgress(1, True, True))  # sent again
    audited.handle(0.0, api.ClientDisconnected(3))
    assert reported == [(1, "sent"), (2, "refused: quota")] and not audited._open
